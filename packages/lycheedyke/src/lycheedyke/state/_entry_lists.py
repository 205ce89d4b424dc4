"""Which entry instances the callers of a zone are told to use.

Answers the pattern of callers that are spread evenly over zones while
upstreams are not: the callers of a zone with few upstreams get its own
instances in proportion, and instances of zones with spare upstreams.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import xxhash

MOST_LISTED = 64
LEAST_LISTED = 3
# A smaller part of a zone's callers is not worth sending away.
NEGLIGIBLE = 0.02


class ZoneCapacity(NamedTuple):
    """What a zone can carry.

    Attributes:
        zone: the zone.
        region: its region.
        slots: the slots of its upstreams.
        entries: the caller addresses of its entry instances.
    """

    zone: str
    region: str
    slots: float
    entries: tuple[str, ...]


def compute_zone_shares(
    supplies: Collection[ZoneCapacity],
) -> dict[str, dict[str, float]]:
    """Returns the part of each zone's callers that goes to each zone.

    Callers are taken to be even over the zones. A zone carries its own
    callers up to its part of all slots. The rest goes to one other zone,
    the one that is the least loaded with it: callers of one zone ask for
    the same objects, and each further zone would have to learn them.

    Args:
        supplies: what each zone can carry.
    """
    parts = _parts(supplies)
    demand = 1 / max(1, len(supplies))
    loads = {zone: min(demand, part) for zone, part in parts.items()}
    shares: dict[str, dict[str, float]] = {}
    for supply in sorted(supplies):
        away = max(0, 1 - parts.get(supply.zone, 0) / demand)
        target = _least_loaded(supply.zone, away * demand, loads, parts)
        shares[supply.zone] = {supply.zone: 1}
        if target is not None and away > NEGLIGIBLE:
            loads[target] += away * demand
            shares[supply.zone] = {supply.zone: 1 - away, target: away}
    return shares


def ramp_shares(
    before: Mapping[str, float],
    wanted: Mapping[str, float],
    supplies: Collection[ZoneCapacity],
    most: float,
) -> dict[str, float]:
    """Returns the next shares of a zone on the way to the wanted ones.

    Answers the pattern of a new configuration that sends callers to another
    region: all at once they would find neither warm upstreams nor room.

    Args:
        before: the present shares.
        wanted: the shares to get to.
        supplies: what each zone can carry.
        most: the part of the callers that may change their region in this
            step. What a zone got that now carries nothing is not counted.
    """
    held = _carried(before, supplies)
    if not held:
        return dict(wanted)
    zones = sorted(set(held) | set(wanted))
    changes = {name: wanted.get(name, 0) - held.get(name, 0) for name in zones}
    crossing = _crossing(changes, supplies)
    pace = most / crossing if crossing > most else 1
    if pace == 1:
        return dict(wanted)
    return {name: held.get(name, 0) + pace * changes[name] for name in zones}


def list_entries(
    zone: str,
    shares: Mapping[str, float],
    entries: Mapping[str, tuple[str, ...]],
) -> list[str]:
    """Returns addresses, so many of each zone as its share asks for.

    A caller picks one address at random, so the share of a zone is the part
    that its addresses are of the list. The same view gives the same list.

    Args:
        zone: the zone of the callers.
        shares: the share of each zone.
        entries: the addresses of each zone.
    """
    wanted = {
        name: share
        for name, share in shares.items()
        if share > 0 and entries.get(name)
    }
    if not wanted:
        return _ranked(zone, [each for all in entries.values() for each in all])
    scale = min(len(entries[name]) / share for name, share in wanted.items())
    scale = max(scale, LEAST_LISTED / sum(wanted.values()))
    listed: list[str] = []
    for name, share in sorted(wanted.items()):
        count = max(1, round(share * scale))
        listed.extend(_ranked(zone, entries[name])[:count])
    return listed[:MOST_LISTED]


def _parts(supplies: Iterable[ZoneCapacity]) -> dict[str, float]:
    """Returns the part of all slots that each zone with instances has."""
    slots = {
        each.zone: each.slots
        for each in supplies
        if each.entries and each.slots > 0
    }
    total = sum(slots.values())
    return {zone: count / total for zone, count in slots.items()}


def _carried(
    shares: Mapping[str, float],
    supplies: Iterable[ZoneCapacity],
) -> dict[str, float]:
    """Returns the shares among those zones that carry anything."""
    able = {each.zone for each in supplies if each.entries and each.slots > 0}
    held = {zone: part for zone, part in shares.items() if zone in able}
    total = sum(held.values())
    return {zone: part / total for zone, part in held.items()}


def _crossing(
    changes: Mapping[str, float],
    supplies: Iterable[ZoneCapacity],
) -> float:
    """Returns the part of the callers that change their region."""
    regions = {each.zone: each.region for each in supplies}
    gained: defaultdict[str, float] = defaultdict(float)
    for zone, change in changes.items():
        gained[regions.get(zone, zone)] += change
    return sum(max(0, part) for part in gained.values())


def _least_loaded(
    zone: str,
    missing: float,
    loads: Mapping[str, float],
    parts: Mapping[str, float],
) -> str | None:
    others = [name for name in sorted(parts) if name != zone]
    if not others:
        return None
    return min(others, key=lambda name: (loads[name] + missing) / parts[name])


def _ranked(zone: str, addresses: Iterable[str]) -> list[str]:
    return sorted(
        addresses,
        key=lambda address: xxhash.xxh64_intdigest(
            f'{zone} {address}'.encode(),
        ),
    )
