"""Determines the entry instances that the callers of a zone should use.

Callers are distributed evenly over the zones, but upstreams are not. The
callers of a zone with few upstreams are sent to its own instances in
proportion to these upstreams, and to instances of a zone with spare upstreams.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import xxhash

MAX_LISTED = 64
MIN_LISTED = 3
# A smaller share of a zone's callers is not worth sending to another zone.
MIN_REMOTE_SHARE = 0.02


class ZoneCapacity(NamedTuple):
    """The capacity of a zone.

    Attributes:
        zone: the name of the zone.
        region: the region of the zone.
        slots: the slots of its upstreams.
        entries: the caller addresses of its entry instances.
    """

    zone: str
    region: str
    slots: float
    entries: tuple[str, ...]


def compute_zone_shares(
    capacities: Collection[ZoneCapacity],
) -> dict[str, dict[str, float]]:
    """Returns the share of each zone's callers that goes to each zone.

    The callers are assumed to be distributed evenly over the zones. A zone
    serves its own callers up to its share of all slots. The other callers go
    to a single zone, the one that is the least loaded with them: the callers
    of a zone request the same objects, and the upstreams of each additional
    zone would have to load these objects first.

    Args:
        capacities: the capacity of each zone.
    """
    by_slots = slot_shares(capacities)
    demand = 1 / max(1, len(capacities))
    loads = {zone: min(demand, share) for zone, share in by_slots.items()}
    shares: dict[str, dict[str, float]] = {}
    for capacity in sorted(capacities):
        away = max(0, 1 - by_slots.get(capacity.zone, 0) / demand)
        target = _least_loaded(capacity.zone, away * demand, loads, by_slots)
        shares[capacity.zone] = {capacity.zone: 1}
        if target is not None and away > MIN_REMOTE_SHARE:
            loads[target] += away * demand
            shares[capacity.zone] = {capacity.zone: 1 - away, target: away}
    return shares


def ramp_shares(
    before: Mapping[str, float],
    target: Mapping[str, float],
    capacities: Collection[ZoneCapacity],
    max_step: float,
) -> dict[str, float]:
    """Returns the next shares of a zone on the path to the target shares.

    A new configuration may send callers to another region. If all callers
    moved at once, they would find neither warm upstreams nor free slots.

    Args:
        before: the current shares.
        target: the target shares.
        capacities: the capacity of each zone.
        max_step: the maximum share of the callers that may change their region
            in this step. The callers of a zone that has lost its capacity
            move at once and are not counted; neither counts a zone that had
            no callers.
    """
    held = _shares_with_capacity(before, capacities)
    if not held:
        return dict(target)
    zones = sorted(set(held) | set(target))
    changes = {name: target.get(name, 0) - held.get(name, 0) for name in zones}
    crossing = _cross_region_share(changes, capacities)
    scale = max_step / crossing if crossing > max_step else 1
    if scale == 1:
        return dict(target)
    return {name: held.get(name, 0) + scale * changes[name] for name in zones}


def list_entries(
    zone: str,
    shares: Mapping[str, float],
    entries: Mapping[str, tuple[str, ...]],
) -> list[str]:
    """Returns addresses, the number from each zone proportional to its share.

    A caller picks one address at random, so a zone gets the share of callers
    that its addresses have of the list. The order does not depend on the
    instance: equal arguments give equal lists.

    Args:
        zone: the zone of the callers.
        shares: the share of each zone.
        entries: the addresses of each zone.
    """
    usable = {
        name: share
        for name, share in shares.items()
        if share > 0 and entries.get(name)
    }
    if not usable:
        return _ranked(
            zone, [each for group in entries.values() for each in group]
        )
    scale = min(len(entries[name]) / share for name, share in usable.items())
    scale = max(scale, MIN_LISTED / sum(usable.values()))
    listed: list[str] = []
    for name, share in sorted(usable.items()):
        count = max(1, round(share * scale))
        listed.extend(_ranked(zone, entries[name])[:count])
    return listed[:MAX_LISTED]


def slot_shares(capacities: Iterable[ZoneCapacity]) -> dict[str, float]:
    """Returns the share of all slots that each zone with instances has."""
    slots = {
        each.zone: each.slots
        for each in capacities
        if each.entries and each.slots > 0
    }
    total = sum(slots.values())
    return {zone: count / total for zone, count in slots.items()}


def _shares_with_capacity(
    shares: Mapping[str, float],
    capacities: Iterable[ZoneCapacity],
) -> dict[str, float]:
    """Returns the shares among the zones that have callers and capacity."""
    with_capacity = {
        each.zone for each in capacities if each.entries and each.slots > 0
    }
    held = {
        zone: share
        for zone, share in shares.items()
        if share > 0 and zone in with_capacity
    }
    total = sum(held.values())
    return {zone: share / total for zone, share in held.items()}


def _cross_region_share(
    changes: Mapping[str, float],
    capacities: Iterable[ZoneCapacity],
) -> float:
    """Returns the share of the callers that change their region."""
    regions = {each.zone: each.region for each in capacities}
    gained: defaultdict[str, float] = defaultdict(float)
    for zone, change in changes.items():
        gained[regions.get(zone, zone)] += change
    return sum(max(0, share) for share in gained.values())


def _least_loaded(
    zone: str,
    added: float,
    loads: Mapping[str, float],
    by_slots: Mapping[str, float],
) -> str | None:
    others = [name for name in sorted(by_slots) if name != zone]
    if not others:
        return None
    return min(others, key=lambda name: (loads[name] + added) / by_slots[name])


def _ranked(zone: str, addresses: Iterable[str]) -> list[str]:
    return sorted(
        addresses,
        key=lambda address: xxhash.xxh64_intdigest(
            f'{zone} {address}'.encode(),
        ),
    )
