"""Lists instances in proportion to their capacity, stable for each caller.

Callers are divided into classes by their address. Each class has an order of
the instances of a zone, of which it uses the first ones. So a caller's list
changes little where shares or instances change, and all lists together name
each instance in proportion to its capacity.
"""

import heapq
import itertools
import math
import operator
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

import xxhash

from lycheedyke.state._entry_lists import MIN_LISTED

CALLER_CLASSES = 128
MAX_LISTED = 16
# The orders of a class favour instances by weights that are corrected so
# often, as a list names each instance at most once.
CORRECTIONS = 8
DIGEST_RANGE = 2**64
EQUAL_TOLERANCE = 1e-6


class EntryStrength(NamedTuple):
    """An instance with the capacity that callers may use.

    Attributes:
        address: its address for callers.
        cores: its processor time, in cores; 0 if not known.
        link_mbps: the bandwidth of its link, in Mbit/s; 0 if not known.
    """

    address: str
    cores: float
    link_mbps: float


def caller_class(address: str) -> int:
    """Returns the class of a caller."""
    return xxhash.xxh64_intdigest(address.encode()) % CALLER_CLASSES


def relative_strengths(
    entries: Collection[EntryStrength],
) -> dict[str, float] | None:
    """Returns the capacity of each instance, as a fraction of the zone's.

    It is the lesser of its relative processor time and its relative bandwidth.

    Returns:
        None if all are equal, or if the capacity of any is not known.
    """
    cores = sum(each.cores for each in entries)
    link = sum(each.link_mbps for each in entries)
    if not all(each.cores > 0 and each.link_mbps > 0 for each in entries):
        return None
    strengths = {
        each.address: min(each.cores / cores, each.link_mbps / link)
        for each in entries
    }
    total = sum(strengths.values())
    if not strengths or _are_equal(strengths.values()):
        return None
    return {name: strength / total for name, strength in strengths.items()}


def equal_strengths(entries: Collection[EntryStrength]) -> dict[str, float]:
    """Returns the same fraction for each instance."""
    return {each.address: 1 / len(entries) for each in entries}


class ZoneOrders:
    """The orders in which classes of callers use the instances of a zone.

    Args:
        strengths: the capacity of each instance, as a fraction of the zone's.
    """

    def __init__(self, strengths: Mapping[str, float]) -> None:
        """Computes an order for each class."""
        self._strengths = dict(sorted(strengths.items()))
        self._draws = [
            [_draw(at, name) for name in self._strengths]
            for at in range(CALLER_CLASSES)
        ]
        self._listed: dict[int, list[list[str]]] = {}

    def __repr__(self) -> str:
        """Returns the number of instances."""
        return f'<ZoneOrders of {len(self._strengths)} instances>'

    @property
    def size(self) -> int:
        """The greatest number of instances that keeps their proportion.

        With longer lists, the largest instance would be in all of them, and
        get less than its part.
        """
        most = max(self._strengths.values(), default=1)
        return min(max(MIN_LISTED, math.floor(1 / most)), MAX_LISTED)

    def first(self, of_class: int, count: int) -> list[str]:
        """Returns the first instances of a class of callers."""
        count = min(count, len(self._strengths))
        listed = self._listed.get(count)
        if listed is None:
            listed = self._choose(count)
            self._listed[count] = listed
        return listed[of_class]

    def _choose(self, count: int) -> list[list[str]]:
        """Chooses instances for each class by weighted rendezvous hashing."""
        weights = dict(self._strengths)
        names = list(weights)
        chosen: list[list[str]] = []
        for _ in range(CORRECTIONS):
            inverse = [1 / weight for weight in weights.values()]
            chosen = [
                _first(names, draws, inverse, count) for draws in self._draws
            ]
            named = Counter(itertools.chain.from_iterable(chosen))
            for name, strength in self._strengths.items():
                wanted = min(strength * count, 1) * CALLER_CLASSES
                weights[name] *= math.sqrt((wanted + 1) / (named[name] + 1))
        return chosen


def list_by_strength(
    of_class: int,
    shares: Mapping[str, float],
    orders: Mapping[str, ZoneOrders],
) -> list[str]:
    """Returns addresses for a class of callers.

    The number of addresses from a zone is proportional to its share, over all
    classes: a fraction of an address is one more in this fraction of the
    classes.

    Args:
        of_class: the class of the caller.
        shares: the share of each zone.
        orders: the orders of each zone with instances.
    """
    usable = sorted(
        (zone, share)
        for zone, share in shares.items()
        if share > 0 and zone in orders
    )
    size = max((orders[zone].size for zone, _ in usable), default=0)
    scale = size / (sum(share for _, share in usable) or 1)
    passed = (of_class + 1 / 2) / CALLER_CLASSES
    listed: list[str] = []
    for zone, share in usable:
        count = math.floor(passed + share * scale) - math.floor(passed)
        passed += share * scale
        listed.extend(orders[zone].first(of_class, count))
    return listed


def _first(
    names: Sequence[str],
    draws: Iterable[float],
    inverse: Iterable[float],
    count: int,
) -> list[str]:
    """Returns the instances with the least draws, relative to the weights."""
    ratios = list(map(operator.mul, draws, inverse))
    chosen = heapq.nsmallest(count, range(len(names)), key=ratios.__getitem__)
    return [names[at] for at in chosen]


def _draw(of_class: int, name: str) -> float:
    """Returns a random number of exponential distribution."""
    digest = xxhash.xxh64_intdigest(f'{of_class} {name}'.encode())
    return -math.log((digest + 1) / (DIGEST_RANGE + 1))


def _are_equal(strengths: Iterable[float]) -> bool:
    found = list(strengths)
    return max(found) - min(found) <= EQUAL_TOLERANCE * max(found)
