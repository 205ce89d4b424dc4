"""The upstreams that may get work, by service and region, and their owners."""

from collections import defaultdict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.coordination import Members, TicketLog, owner_of
from lycheedyke.protocol import InstanceInfo, Phase, UpstreamLoad
from lycheedyke_daemon.runner import Runner

REFRESH_INTERVAL = timedelta(milliseconds=100)


class Target(NamedTuple):
    """An upstream that may get work, its owner, and the owner's counts."""

    upstream: str
    owner: InstanceInfo
    load: UpstreamLoad


class RoutingTable:
    """Targets by service and region, remade on each ticket and steadily.

    Args:
        log: the configuration in force.
        members: the live instances.
        runner: the own upstreams.
        clock: measures the age of the table.
    """

    def __init__(
        self,
        log: TicketLog,
        members: Members,
        runner: Runner,
        clock: Clock,
    ) -> None:
        """Makes an empty table."""
        self._log = log
        self._members = members
        self._runner = runner
        self._clock = clock
        self._ticket = -1
        self._made = timedelta()
        self._targets: dict[tuple[str, str], list[Target]] = {}

    def __repr__(self) -> str:
        """Returns the number of services and regions."""
        return f'<RoutingTable of {len(self._targets)} groups>'

    @property
    def made(self) -> timedelta:
        """When the targets were last collected; changes with them."""
        return self._made

    def targets(self, service: str, region: str) -> list[Target]:
        """Returns the upstreams of a service in a region that have owners."""
        self.refresh()
        return self._targets.get((service, region), [])

    def serves(self, region: str, service: str) -> bool:
        """Whether a region has an upstream of a service with an owner."""
        return bool(self.targets(service, region))

    def retry_share(self, service: str) -> float:
        """Returns the retries allowed for each first attempt."""
        found = self._log.configuration.services.get(service)
        return found.retry_share if found else 0

    def loads(self) -> dict[str, UpstreamLoad]:
        """Returns the counts of all upstreams with a live owner."""
        found = [load for peer in self._members.live() for load in peer.loads]
        found.extend(self._runner.loads())
        return {load.upstream: load for load in found}

    def refresh(self) -> None:
        """Collects the targets anew where that is due."""
        now = self._clock.elapsed()
        is_fresh = now < self._made + REFRESH_INTERVAL
        if is_fresh and self._ticket == self._log.number:
            return
        self._ticket = self._log.number
        self._made = now
        self._collect()

    def _collect(self) -> None:
        configuration = self._log.configuration
        loads = self.loads()
        groups: dict[tuple[str, str], list[Target]] = defaultdict(list)
        for name, upstream in configuration.upstreams.items():
            if upstream.phase is not Phase.serving:
                continue
            owner = owner_of(name, self._members.in_zone(upstream.zone))
            if owner is None:
                continue
            load = loads.get(name, UpstreamLoad(name, 0, 0, upstream.slots))
            region = configuration.region_of(upstream)
            groups[upstream.service, region].append(Target(name, owner, load))
        self._targets = groups
