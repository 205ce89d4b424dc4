"""The upstreams that may receive requests, by service and region."""

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
    """An upstream that may receive requests, its owner, and its load there."""

    upstream: str
    owner: InstanceInfo
    load: UpstreamLoad


class RoutingTable:
    """The targets by service and region.

    The targets are collected anew after each ticket, and at least every
    `REFRESH_INTERVAL` while the table is in use.

    Args:
        log: the configuration in force.
        members: the live instances.
        runner: the upstreams of this instance.
        clock: measures the age of the table.
    """

    def __init__(
        self,
        log: TicketLog,
        members: Members,
        runner: UpstreamRunner,
        clock: Clock,
    ) -> None:
        """Initializes an empty table."""
        self._log = log
        self._members = members
        self._runner = runner
        self._clock = clock
        self._ticket = -1
        self._collected_at = timedelta()
        self._targets: dict[tuple[str, str], list[Target]] = {}

    def __repr__(self) -> str:
        """Returns the class and the number of service and region pairs."""
        return f'<RoutingTable of {len(self._targets)} groups>'

    @property
    def collected_at(self) -> timedelta:
        """The time at which the targets were last collected."""
        return self._collected_at

    def targets(self, service: str, region: str) -> list[Target]:
        """Returns the owned upstreams of a service in a region."""
        self.refresh()
        return self._targets.get((service, region), [])

    def serves(self, region: str, service: str) -> bool:
        """Returns whether a region has an owned upstream of a service."""
        return bool(self.targets(service, region))

    def retry_share(self, service: str) -> float:
        """Returns how many retries of a service each first attempt allows."""
        settings = self._log.configuration.services.get(service)
        return settings.retry_share if settings else 0

    def run_limit(self, service: str) -> timedelta:
        """Returns the maximum time that a request of a service may run."""
        settings = self._log.configuration.services.get(service)
        return settings.run_limit_ms * MILLISECOND if settings else timedelta()

    def loads(self) -> dict[str, UpstreamLoad]:
        """Returns the loads of all upstreams with a live owner.

        If several instances admit work to an upstream, the load is that of
        the instance with the highest limit.
        """
        admitting = find_admitting_instances(self._members)
        return {
            name: max(
                (instance.load for instance in instances),
                key=lambda load: load.limit,
            )
            for name, instances in admitting.items()
        }

    def refresh(self) -> None:
        """Collects the targets again if they are out of date."""
        now = self._clock.elapsed()
        is_fresh = now < self._collected_at + REFRESH_INTERVAL
        if is_fresh and self._ticket == self._log.number:
            return
        self._ticket = self._log.number
        self._collected_at = now
        self._collect()

    def _collect(self) -> None:
        configuration = self._log.configuration
        admitting = find_admitting_instances(self._members)
        groups: dict[tuple[str, str], list[Target]] = defaultdict(list)
        for name, upstream in configuration.upstreams.items():
            if upstream.phase is not Phase.serving:
                continue
            group = groups[upstream.service, configuration.region_of(upstream)]
            instances = admitting.get(name) or self._find_proposed(
                name, upstream
            )
            group.extend(Target(name, *each) for each in instances)
        self._targets = {
            group_key: _in_use(targets) for group_key, targets in groups.items()
        }

    def _find_proposed(
        self, name: str, upstream: Upstream
    ) -> list[AdmittingInstance]:
        owner = owner_of(name, self._members.in_zone(upstream.zone))
        if owner is None:
            return []
        return [
            AdmittingInstance(owner, UpstreamLoad(name, 0, 0, upstream.slots))
        ]


def _in_use(targets: list[Target]) -> list[Target]:
    """Returns the targets without failing upstreams.

    At most a third of the upstreams is left out.
    """
    loads = {target.upstream: target.load for target in targets}
    kept = {load.upstream for load in keep_in_use(loads.values())}
    return [target for target in targets if target.upstream in kept]
