"""The rendezvous order of upstreams for an object."""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from types import MappingProxyType

import xxhash

HASH_RANGE = 2**64
NO_WEIGHTS: Mapping[str, float] = MappingProxyType({})


def rendezvous_hash(object_key: str, upstream: str) -> int:
    """Returns the rendezvous hash of an object and an upstream."""
    return xxhash.xxh64_intdigest(f'{object_key} {upstream}'.encode())


def hash_object(object_key: str) -> int:
    """Returns a hash that orders objects in the same way everywhere."""
    return xxhash.xxh64_intdigest(object_key.encode())


def rank_upstreams(object_key: str, names: Iterable[str]) -> list[str]:
    """Returns upstreams in the rendezvous order of an object."""
    return sorted(
        names,
        key=lambda name: (rendezvous_hash(object_key, name), name),
        reverse=True,
    )


def find_home(
    object_key: str,
    names: Sequence[str],
    weights: Mapping[str, float] = NO_WEIGHTS,
) -> str:
    """Returns the first upstream of an object.

    Args:
        object_key: the key of the object.
        names: the upstreams.
        weights: the weights above 0 of upstreams that differ from 1.
    """
    if not weights:
        return max((rendezvous_hash(object_key, each), each) for each in names)[
            1
        ]
    return max(
        (_weighted_hash(object_key, each, weights.get(each, 1)), each)
        for each in names
    )[1]


def _weighted_hash(object_key: str, upstream: str, weight: float) -> float:
    """Returns a hash whose order among all of weight 1 is that without one."""
    share = (rendezvous_hash(object_key, upstream) + 1) / (HASH_RANGE + 1)
    # The logarithm keeps apart what the power brings close to 1.
    return math.log(share) / weight


class Ranking:
    """The rendezvous orders of objects over the same upstreams.

    It keeps what it has computed, as homes are assigned again and again.

    Args:
        names: the upstreams, at least one.
    """

    def __init__(self, names: frozenset[str]) -> None:
        """Initializes without orders."""
        self.names = names
        self._listed = sorted(names)
        self._firsts: dict[str, str] = {}
        self._orders: dict[str, list[str]] = {}

    def __repr__(self) -> str:
        """Returns the number of upstreams."""
        return f'<Ranking of {len(self.names)}>'

    def first(self, object_key: str) -> str:
        """Returns the first upstream of an object."""
        found = self._firsts.get(object_key)
        if found is None:
            found = find_home(object_key, self._listed)
            self._firsts[object_key] = found
        return found

    def order(self, object_key: str) -> list[str]:
        """Returns the upstreams in the order of an object."""
        found = self._orders.get(object_key)
        if found is None:
            found = rank_upstreams(object_key, self._listed)
            self._orders[object_key] = found
        return found

    def retain(self, object_keys: Collection[str]) -> None:
        """Forgets all other objects."""
        for kept in (self._firsts, self._orders):
            for key in kept.keys() - set(object_keys):
                del kept[key]
