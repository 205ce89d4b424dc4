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
    zone: str,
    supplies: Collection[ZoneSupply],
) -> dict[str, float]:
    """Returns the share of a zone's callers that goes to each zone.

    Callers are taken to be even over the zones. A zone carries its own
    callers first, up to its part of all slots; what it can't carry goes to
    zones with a surplus, in proportion, those of its region first.

    Args:
        zone: the zone of the callers.
        supplies: what each zone can carry.
    """
    carrying = [each for each in supplies if each.entries and each.slots > 0]
    total = sum(each.slots for each in carrying)
    if not total:
        return {
            each.zone: len(each.entries) for each in supplies if each.entries
        }
    demand = 1 / max(1, len({each.zone for each in supplies} | {zone}))
    parts = {each.zone: each.slots / total for each in carrying}
    own = min(demand, parts.get(zone, 0))
    spare = {
        name: part - demand for name, part in parts.items() if part > demand
    }
    missing = demand - own
    shares = {zone: own / demand} if own else {}
    spare_total = sum(spare.values())
    if missing and spare_total:
        for name, part in spare.items():
            share = missing * part / spare_total / demand
            shares[name] = shares.get(name, 0) + share
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


def _ranked(zone: str, addresses: Iterable[str]) -> list[str]:
    return sorted(
        addresses,
        key=lambda address: xxhash.xxh64_intdigest(
            f'{zone} {address}'.encode(),
        ),
    )
