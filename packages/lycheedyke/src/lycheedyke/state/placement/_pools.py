"""The home upstreams of objects: one upstream per object and pool."""

import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from lycheedyke.state._upstream_state import UpstreamState

# Fewer upstreams cannot keep the objects of a zone's callers warm. So the zones
# of a region that have fewer upstreams form one pool.
MIN_POOL_SIZE = 3
HASH_RANGE = 2**64
NO_WEIGHTS: Mapping[str, float] = MappingProxyType({})


class Location(NamedTuple):
    """The zone and region of an instance, and the regions of all zones."""

    zone: str
    region: str
    regions: Mapping[str, str]


class Pools:
    """Selects the home of an object in each pool by rendezvous hashing.

    All instances with the same upstreams select the same home. An upstream
    that joins or leaves moves only the objects of which it is the home.

    Args:
        regions: the region of each zone.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        """Initializes the pools of all zones."""
        self._regions = regions

    def __repr__(self) -> str:
        """Returns the number of zones."""
        return f'<Pools of {len(self._regions)} zones>'

    def homes(
        self,
        object_key: str,
        states: Sequence[UpstreamState],
        weights: Mapping[str, float] = NO_WEIGHTS,
    ) -> dict[str, str]:
        """Returns the home upstream of an object, by zone.

        The zones of a pool have the same home. Upstreams are the home of
        objects in proportion to their weights.

        Args:
            object_key: the key of the object.
            states: the upstreams that may run its requests.
            weights: the weights above 0 of upstreams that differ from 1.
        """
        names: defaultdict[str, list[str]] = defaultdict(list)
        for state in states:
            names[state.record.zone].append(state.record.name)
        pools: defaultdict[str, list[str]] = defaultdict(list)
        for each, in_zone in names.items():
            pools[self._pool(each, names)].extend(in_zone)
        homes = {
            pool: _find_home(object_key, in_pool, weights)
            for pool, in_pool in pools.items()
        }
        return {
            zone: homes[self._pool(zone, names)]
            for zone in self._regions
            if self._pool(zone, names) in homes
        }

    def _pool(self, zone: str, names: Mapping[str, Sequence[str]]) -> str:
        if len(names.get(zone, ())) >= MIN_POOL_SIZE:
            return zone
        return self._regions.get(zone, zone)


def rendezvous_hash(object_key: str, upstream: str) -> int:
    """Returns the rendezvous hash of an object and an upstream."""
    return xxhash.xxh64_intdigest(f'{object_key} {upstream}'.encode())


def _find_home(
    object_key: str, names: Sequence[str], weights: Mapping[str, float]
) -> str:
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
