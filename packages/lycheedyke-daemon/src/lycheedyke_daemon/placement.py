"""Where a client's request may run: its home region, or a shift's end."""

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
MOST_PLACES = 8192
LEAST_WAIT = timedelta(seconds=1)
MOST_WAIT = timedelta(seconds=30)


class ClientLocation(NamedTuple):
    """The block and the home region of a client."""

    block: str
    home: str


class Placement:
    """Judges where requests run, by the shifts in force here.

    Args:
        log: the configuration in force.
        table: the regions that serve.
        own_region: the home of clients that no block holds.
        clock: the time.
    """

    def __init__(
        self,
        log: TicketLog,
        table: RoutingTable,
        own_region: str,
        clock: Clock,
    ) -> None:
        """Makes a placement without shifts."""
        self._log = log
        self._table = table
        self._own_region = own_region
        self._blocks = log.configuration.blocks
        self._places: dict[tuple[str, str], ClientLocation] = {}
        self.shares = ShiftShares(
            clock,
            lambda service, region: table.serves(region, service),
        )

    def __repr__(self) -> str:
        """Returns the own region."""
        return f'<Placement in {self._own_region}>'

    def locate(self, client: str, home: str = '') -> ClientLocation:
        """Returns the block and the home region of a client.

        Args:
            client: the client's IP address, or ''.
            home: its home where no block holds it; '' for the own region.
        """
        home = home or self._own_region
        if not client:
            return ClientLocation('', home)
        blocks = self._log.configuration.blocks
        if blocks is not self._blocks or len(self._places) >= MOST_PLACES:
            self._blocks = blocks
            self._places.clear()
        place = self._places.get((client, home))
        if place is None:
            place = self._find_place(client, home)
            self._places[client, home] = place
        return place

    def destination(self, service: str, place: ClientLocation) -> str:
        """Returns the region in which a client's request is to run."""
        point = hash_point(service, place.block)
        for way in self.shares.paths(service, place.home):
            if point < self.shares.share(way):
                return way.destination
        return place.home

    def permits(self, work: Work) -> bool:
        """Whether work may run in the own region."""
        place = self.locate(work.client, work.home)
        if place.home == self._own_region:
            return True
        point = hash_point(work.service, place.block)
        return any(
            point < self.shares.share(way)
            for way in self.shares.paths(work.service, place.home)
            if way.destination == self._own_region
        )

    def refuse(self, service: str, place: ClientLocation) -> NotRun:
        """Returns the refusal of work whose region has no upstream."""
        point = hash_point(service, place.block)
        ways = self.shares.paths(service, place.home)
        if not ways:
            return NotRun(Reason.no_upstream)
        waits = [
            self.shares.time_until(way, point) or MOST_WAIT for way in ways
        ]
        wait = max(LEAST_WAIT, min(*waits, MOST_WAIT))
        return NotRun(Reason.shift_cap, wait)

    def _find_place(self, client: str, home: str) -> ClientLocation:
        found = self._blocks.find(client)
        if found is not None:
            return ClientLocation(found.prefix, found.home)
        return ClientLocation(_default_block(client), home)


class RegionCheckedRunner:
    """Runs work on own upstreams, if it may run in this region.

    Args:
        placement: judges the work.
        runner: runs it.
    """

    def __init__(self, placement: Placement, runner: UpstreamRunner) -> None:
        """Makes a runner that judges first."""
        self._placement = placement
        self._runner = runner

    def __repr__(self) -> str:
        """Returns the placement."""
        return f'<PlacedRunner of {self._placement!r}>'

    async def run(self, upstream: str, work: Work) -> Outcome:
        """Runs work on an own upstream, or refuses it."""
        if self._placement.permits(work):
            return await self._runner.run(upstream, work)
        return NotRun(Reason.shift_cap)


def _default_block(client: str) -> str:
    host = ipaddress.ip_address(client)
    length = DEFAULT_BLOCK_LENGTHS[host.version]
    return str(ipaddress.ip_network((host, length), strict=False))
