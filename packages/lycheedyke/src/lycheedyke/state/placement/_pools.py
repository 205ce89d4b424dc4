"""The home upstreams of objects: one upstream per object and pool."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from lycheedyke.state._upstream_state import UpstreamState
from lycheedyke.state.placement._ranking import NO_WEIGHTS, find_home

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
            pool: find_home(object_key, in_pool, weights)
            for pool, in_pool in pools.items()
        }
        return {
            zone: homes[self._pool(zone, names)]
            for zone in self._regions
            if self._pool(zone, names) in homes
        }

    def members(
        self, zone: str, states: Sequence[UpstreamState]
    ) -> list[UpstreamState]:
        """Returns the upstreams of the pool of a zone."""
        names: defaultdict[str, list[str]] = defaultdict(list)
        for each in states:
            names[each.record.zone].append(each.record.name)
        pool = self._pool(zone, names)
        zones = {at for at in names if self._pool(at, names) == pool}
        return [state for state in states if state.record.zone in zones]

    def _pool(self, zone: str, names: Mapping[str, Sequence[str]]) -> str:
        if len(names.get(zone, ())) >= MIN_POOL_SIZE:
            return zone
        return self._regions.get(zone, zone)
