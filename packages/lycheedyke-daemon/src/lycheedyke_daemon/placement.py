"""Decides in which region a request runs: its home or that of a shift."""

import ipaddress
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.coordination import TicketLog
from lycheedyke.protocol import NotRun, Outcome, Reason
from lycheedyke.state import ShiftShares, hash_point
from lycheedyke_daemon.routing_table import RoutingTable
from lycheedyke_daemon.upstream_runner import UpstreamRunner
from lycheedyke_daemon.work import Work

DEFAULT_BLOCK_LENGTHS = {4: 24, 6: 48}  # noqa: WPS407
MAX_LOCATIONS = 8192
MIN_WAIT = timedelta(seconds=1)
MAX_WAIT = timedelta(seconds=30)


class ClientLocation(NamedTuple):
    """The address block and the home region of a client."""

    block: str
    home: str


class Placement:
    """Decides in which region requests run, by the shifts in force.

    Args:
        log: the configuration in force.
        table: the regions that have upstreams of a service.
        own_region: the region of this instance, and the home of clients that
            are in no configured block.
        clock: the clock of the shares of shifts.
    """

    def __init__(
        self,
        log: TicketLog,
        table: RoutingTable,
        own_region: str,
        clock: Clock,
    ) -> None:
        """Initializes the placement without shifts."""
        self._log = log
        self._table = table
        self._own_region = own_region
        self._blocks = log.configuration.blocks
        self._locations: dict[tuple[str, str], ClientLocation] = {}
        self.shares = ShiftShares(
            clock,
            lambda service, region: table.serves(region, service),
        )

    def __repr__(self) -> str:
        """Returns the class and the region of this instance."""
        return f'<Placement in {self._own_region}>'

    def locate(self, client: str, home: str = '') -> ClientLocation:
        """Returns the block and the home region of a client.

        Args:
            client: the IP address of the client, or ''.
            home: the home if no configured block contains the client; '' for
                the region of this instance.
        """
        home = home or self._own_region
        if not client:
            return ClientLocation('', home)
        blocks = self._log.configuration.blocks
        if blocks is not self._blocks or len(self._locations) >= MAX_LOCATIONS:
            self._blocks = blocks
            self._locations.clear()
        location = self._locations.get((client, home))
        if location is None:
            location = self._find_location(client, home)
            self._locations[client, home] = location
        return location

    def destination(self, service: str, location: ClientLocation) -> str:
        """Returns the region in which a client's request is to run."""
        point = hash_point(service, location.block)
        for path in self.shares.paths(service, location.home):
            if point < self.shares.share(path):
                return path.destination
        return location.home

    def permits(self, work: Work) -> bool:
        """Returns whether work may run in the region of this instance."""
        location = self.locate(work.client, work.home)
        if location.home == self._own_region:
            return True
        point = hash_point(work.service, location.block)
        return any(
            point < self.shares.share(path)
            for path in self.shares.paths(work.service, location.home)
            if path.destination == self._own_region
        )

    def refuse(self, service: str, location: ClientLocation) -> NotRun:
        """Returns the refusal of work whose region has no upstream."""
        point = hash_point(service, location.block)
        paths = self.shares.paths(service, location.home)
        if not paths:
            return NotRun(Reason.no_upstream)
        waits = [
            self.shares.time_until(path, point) or MAX_WAIT for path in paths
        ]
        wait = max(MIN_WAIT, min(*waits, MAX_WAIT))
        return NotRun(Reason.shift_cap, wait)

    def _find_location(self, client: str, home: str) -> ClientLocation:
        match = self._blocks.find(client)
        if match is not None:
            return ClientLocation(match.prefix, match.home)
        return ClientLocation(_default_block(client), home)


class RegionCheckedRunner:
    """Runs work on the upstreams of this instance, if the shifts allow it.

    Args:
        placement: decides whether the work may run in this region.
        runner: runs the work.
    """

    def __init__(self, placement: Placement, runner: UpstreamRunner) -> None:
        """Initializes the runner."""
        self._placement = placement
        self._runner = runner

    def __repr__(self) -> str:
        """Returns the class and the placement."""
        return f'<RegionCheckedRunner of {self._placement!r}>'

    async def run(self, upstream: str, work: Work) -> Outcome:
        """Returns the outcome of work on an upstream, or a refusal."""
        if self._placement.permits(work):
            return await self._runner.run(upstream, work)
        return NotRun(Reason.shift_cap)


def _default_block(client: str) -> str:
    host = ipaddress.ip_address(client)
    length = DEFAULT_BLOCK_LENGTHS[host.version]
    return str(ipaddress.ip_network((host, length), strict=False))
