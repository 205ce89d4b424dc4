"""Which entry instances the callers of a zone are told to use.

Answers the pattern of callers that are spread evenly over zones while
upstreams are not: the callers of a zone with few upstreams get its own
instances in proportion, and instances of zones with spare upstreams.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import xxhash

MOST_LISTED = 64
LEAST_LISTED = 3
# A smaller part of a zone's callers is not worth sending away.
NEGLIGIBLE = 0.02


class ZoneSupply(NamedTuple):
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


def share_supply(
    supplies: Collection[ZoneSupply],
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


def _parts(supplies: Iterable[ZoneSupply]) -> dict[str, float]:
    """Returns the part of all slots that each zone with instances has."""
    slots = {
        each.zone: each.slots
        for each in supplies
        if each.entries and each.slots > 0
    }
    total = sum(slots.values())
    return {zone: count / total for zone, count in slots.items()}


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
