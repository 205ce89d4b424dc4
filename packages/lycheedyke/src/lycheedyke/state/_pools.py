"""The upstreams of a pool at which the requests for one object meet."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import xxhash

from lycheedyke.state._upstreams import UpstreamState

# Fewer upstreams can't keep the objects of a zone's callers known; the zones
# of a region that have fewer form one pool.
LEAST_POOL = 3


class Location(NamedTuple):
    """A zone, its region, and the regions of all zones."""

    zone: str
    region: str
    regions: Mapping[str, str]


class Pools:
    """Ranks the upstreams of each pool for an object.

    Every instance with the same view ranks alike (rendezvous hashing), and
    an upstream that joins or leaves moves only the objects that it has.

    Args:
        regions: the region of each zone.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        """Makes pools of the zones' regions."""
        self._regions = regions

    def __repr__(self) -> str:
        """Returns the number of zones."""
        return f'<Pools of {len(self._regions)} zones>'

    def homes(
        self,
        thing: str,
        states: Sequence[UpstreamState],
    ) -> dict[str, str]:
        """Returns the upstream where requests for an object meet, by zone.

        The zones of a pool name the same upstream.

        Args:
            thing: the object.
            states: the upstreams that may run its requests.
        """
        sizes = Counter(state.record.zone for state in states)
        best: dict[str, tuple[int, str]] = {}
        for state in states:
            name = state.record.name
            pool = self._pool(state.record.zone, sizes)
            ranked = (point(thing, name), name)
            best[pool] = max(ranked, best.get(pool, ranked))
        pools = {zone: self._pool(zone, sizes) for zone in self._regions}
        return {
            zone: best[pool][1] for zone, pool in pools.items() if pool in best
        }

    def _pool(self, zone: str, sizes: Mapping[str, int]) -> str:
        if sizes.get(zone, 0) >= LEAST_POOL:
            return zone
        return self._regions.get(zone, zone)


def point(thing: str, upstream: str) -> int:
    """Returns where an object and an upstream meet in the hash's range."""
    return xxhash.xxh64_intdigest(f'{thing} {upstream}'.encode())
