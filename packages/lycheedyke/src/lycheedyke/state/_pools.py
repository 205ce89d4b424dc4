"""The home upstreams of objects: one upstream per object and pool."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import xxhash

from lycheedyke.state._upstreams import UpstreamState

# Fewer upstreams cannot keep the objects of a zone's callers warm. So the zones
# of a region that have fewer upstreams form one pool.
MIN_POOL_SIZE = 3


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
    ) -> dict[str, str]:
        """Returns the home upstream of an object, by zone.

        The zones of a pool have the same home.

        Args:
            object_key: the key of the object.
            states: the upstreams that may run its requests.
        """
        sizes = Counter(state.record.zone for state in states)
        best: dict[str, tuple[int, str]] = {}
        for state in states:
            name = state.record.name
            pool = self._pool(state.record.zone, sizes)
            ranked = (rendezvous_hash(object_key, name), name)
            best[pool] = max(ranked, best.get(pool, ranked))
        pools = {zone: self._pool(zone, sizes) for zone in self._regions}
        return {
            zone: best[pool][1] for zone, pool in pools.items() if pool in best
        }

    def _pool(self, zone: str, sizes: Mapping[str, int]) -> str:
        if sizes.get(zone, 0) >= MIN_POOL_SIZE:
            return zone
        return self._regions.get(zone, zone)


def rendezvous_hash(object_key: str, upstream: str) -> int:
    """Returns the rendezvous hash of an object and an upstream."""
    return xxhash.xxh64_intdigest(f'{object_key} {upstream}'.encode())
