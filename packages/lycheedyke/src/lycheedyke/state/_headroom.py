"""Headroom: the free share of the slots, by region, service and upstream."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from lycheedyke.protocol import UpstreamLoad
from lycheedyke.state._configuration import Configuration


class Headroom(msgspec.Struct):
    """The free share of the slots of a group of upstreams, 0 to 1.

    Attributes:
        least: the free share of the most loaded upstream.
        mean: the free slots divided by all slots.
        slots: the number of all slots.
        free: the number of free slots.
    """

    least: float
    mean: float
    slots: int
    free: int


class HeadroomReport(msgspec.Struct):
    """Headroom by region, by service, and by upstream."""

    regions: dict[str, Headroom]
    services: dict[str, Headroom]
    upstreams: dict[str, Headroom]


def free_slots(load: UpstreamLoad) -> int:
    """Returns the slots that no running or waiting request needs."""
    return max(0, load.limit - load.in_flight - load.waiting)


def report_headroom(
    configuration: Configuration,
    loads: Iterable[UpstreamLoad],
) -> HeadroomReport:
    """Returns the headroom of all upstreams whose load is known."""
    regions: dict[str, list[UpstreamLoad]] = defaultdict(list)
    services: dict[str, list[UpstreamLoad]] = defaultdict(list)
    upstreams: dict[str, list[UpstreamLoad]] = defaultdict(list)
    for load in loads:
        upstream = configuration.upstreams.get(load.upstream)
        if upstream is None or not load.limit:
            continue
        regions[configuration.region_of(upstream)].append(load)
        services[upstream.service].append(load)
        upstreams[load.upstream].append(load)
    return HeadroomReport(_sum(regions), _sum(services), _sum(upstreams))


def _sum(groups: dict[str, list[UpstreamLoad]]) -> dict[str, Headroom]:
    return {name: _add(loads) for name, loads in groups.items()}


def _add(loads: list[UpstreamLoad]) -> Headroom:
    slots = sum(load.limit for load in loads)
    free = sum(free_slots(load) for load in loads)
    return Headroom(
        least=min(free_slots(load) / load.limit for load in loads),
        mean=free / slots,
        slots=slots,
        free=free,
    )
