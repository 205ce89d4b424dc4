"""The upstreams that may get work, by service and region, and their owners."""

from collections import defaultdict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.coordination import (
    AdmittingInstance,
    Members,
    TicketLog,
    find_admitting_instances,
    owner_of,
)
from lycheedyke.protocol import InstanceInfo, Phase, Upstream, UpstreamLoad
from lycheedyke.state import keep_in_use
from lycheedyke_daemon.upstream_runner import UpstreamRunner

REFRESH_INTERVAL = timedelta(milliseconds=100)
MILLISECOND = timedelta(milliseconds=1)


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
        runner: UpstreamRunner,
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
    def collected_at(self) -> timedelta:
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

    def run_limit(self, service: str) -> timedelta:
        """Returns the longest time that a request of a service may run."""
        found = self._log.configuration.services.get(service)
        return found.run_limit_ms * MILLISECOND if found else timedelta()

    def loads(self) -> dict[str, UpstreamLoad]:
        """Returns the counts of all upstreams with a live owner.

        Of several instances that admit work to one, those with most slots.
        """
        found = find_admitting_instances(self._members)
        return {
            name: max((one.load for one in each), key=lambda load: load.limit)
            for name, each in found.items()
        }

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
        admitters = find_admitting_instances(self._members)
        groups: dict[tuple[str, str], list[Target]] = defaultdict(list)
        for name, upstream in configuration.upstreams.items():
            if upstream.phase is not Phase.serving:
                continue
            group = groups[upstream.service, configuration.region_of(upstream)]
            found = admitters.get(name) or self._proposed(name, upstream)
            group.extend(Target(name, *each) for each in found)
        self._targets = {
            place: _in_use(targets) for place, targets in groups.items()
        }

    def _proposed(
        self, name: str, upstream: Upstream
    ) -> list[AdmittingInstance]:
        owner = owner_of(name, self._members.in_zone(upstream.zone))
        if owner is None:
            return []
        return [
            AdmittingInstance(owner, UpstreamLoad(name, 0, 0, upstream.slots))
        ]


def _in_use(targets: list[Target]) -> list[Target]:
    """Returns the targets without upstreams that fail, but for a third."""
    loads = {target.upstream: target.load for target in targets}
    kept = {load.upstream for load in keep_in_use(loads.values())}
    return [target for target in targets if target.upstream in kept]
