"""The slots that the callers of a host may use, by zone."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.state import RunTimeStats, UpstreamState

ZoneShares = dict[str, dict[str, float]]


class HostSlots(NamedTuple):
    """The slots that the callers of a host may use.

    Attributes:
        by_zone: the slots of each zone.
        has_limits: whether limits of upstreams change the slots.
    """

    by_zone: Mapping[str, float]
    has_limits: bool


def count_slots(
    upstreams: Collection[UpstreamState], times: RunTimeStats, now: timedelta
) -> HostSlots:
    """Returns the slots of upstreams.

    Args:
        upstreams: the upstreams that serve the host.
        times: provides the run times of the services.
        now: the time.
    """
    slots: defaultdict[str, float] = defaultdict(float)
    for state in upstreams:
        mean = times.of_service(state.record.service)
        share = state.capacity_share(mean, now)
        slots[state.record.zone] += state.record.slots * share
    return HostSlots(
        slots,
        not all(each.wishes.limit.is_settled(now) for each in upstreams),
    )
