"""Assigns homes to popular objects by their load."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from lycheedyke.state.placement._object_use import Popularity
from lycheedyke.state.placement._ranking import Ranking

# The load that a home may get, relative to the mean of its pool. The target is
# 1.25, and popularity is known to within a factor of the square root of 2.
LOAD_BOUND = 1.15
# An upstream with less room than this share of its bound becomes no further
# home: each home costs cold runs and the place of another object.
MIN_ROOM = 0.25


class Home(NamedTuple):
    """A home of a popular object.

    Attributes:
        upstream: the name of the upstream.
        load: the load that it gets from the object.
    """

    upstream: str
    load: float


class _Rooms:
    """The load that the upstreams of a pool can still get."""

    def __init__(
        self, slots: Mapping[str, int], total: float, bound: float
    ) -> None:
        per_slot = bound * total / max(1, sum(slots.values()))
        self._bounds = {name: per_slot * slots[name] for name in slots}
        self._left = dict(self._bounds)

    def occupy(self, name: str, load: float) -> None:
        """Assigns load to an upstream whatever its room."""
        self._left[name] -= load

    def take(self, name: str, load: float) -> float:
        """Assigns load to an upstream that has room; returns how much."""
        room = self._left[name]
        if room < min(load, self._bounds[name] * MIN_ROOM):
            return 0
        taken = min(room, load)
        self._left[name] -= taken
        return taken


def assign_homes(
    popularity: Popularity,
    slots: Mapping[str, int],
    ranking: Ranking,
    max_homes: int,
    bound: float = LOAD_BOUND,
) -> dict[str, tuple[Home, ...]]:
    """Returns the homes of popular objects.

    This is consistent hashing with bounded loads: the most popular object
    comes first, and each fills the upstreams in its rendezvous order up to
    their bounds. Other objects count at their first upstream and stay there.

    Args:
        popularity: the use of the objects.
        slots: the slots of each upstream of the pool.
        ranking: the rendezvous orders over these upstreams.
        max_homes: the maximum number of homes of an object.
        bound: the load that a home may get, relative to the mean.
    """
    rooms = _Rooms(slots, popularity.total, bound)
    for plain in popularity.plain:
        rooms.occupy(ranking.first(plain), popularity.mean)
    by_load = sorted(
        popularity.popular, key=lambda key: (-popularity.popular[key], key)
    )
    return {
        key: _fill(
            ranking.order(key),
            popularity.popular[key],
            rooms,
            max_homes,
        )
        for key in by_load
    }


def _fill(
    ranked: Sequence[str], load: float, rooms: _Rooms, max_homes: int
) -> tuple[Home, ...]:
    homes: list[Home] = []
    left = load
    for name in ranked:
        taken = rooms.take(name, left)
        if taken:
            homes.append(Home(name, taken))
            left -= taken
        if left <= 0 or len(homes) == max_homes:
            break
    if not homes:
        rooms.occupy(ranked[0], left)
        return (Home(ranked[0], left),)
    return tuple(homes)
