"""Assigns homes to popular objects by their load."""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from lycheedyke.state.placement._object_use import Popularity
from lycheedyke.state.placement._ranking import Ranking, hash_object

# The load that a home may get, relative to the mean of its pool. The target is
# 1.25, and popularity is known to within a factor of the square root of 2.
LOAD_BOUND = 1.15
# An upstream with less room than this share of its bound becomes no further
# home: each home costs cold runs and the place of another object.
MIN_ROOM = 0.25
# The number of objects of an upstream relative to the mean. Rendezvous hashing
# alone gives up to 1.6 times the mean, which is more than upstreams keep.
COUNT_BOUND = 1.05


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
    their bounds. Other objects have one home, see `spread_objects`.

    Args:
        popularity: the use of the objects.
        slots: the slots of each upstream of the pool.
        ranking: the rendezvous orders over these upstreams.
        max_homes: the maximum number of homes of an object.
        bound: the load that a home may get, relative to the mean.
    """
    rooms = _Rooms(slots, popularity.total, bound)
    moved = spread_objects(popularity, slots, ranking)
    homes: dict[str, tuple[Home, ...]] = {}
    for plain in popularity.plain:
        name = moved.get(plain)
        if name is not None:
            homes[plain] = (Home(name, popularity.mean),)
        rooms.occupy(name or ranking.first(plain), popularity.mean)
    by_load = sorted(
        popularity.popular.items(), key=lambda each: (-each[1], each[0])
    )
    for popular, load in by_load:
        homes[popular] = _fill(ranking.order(popular), load, rooms, max_homes)
    return homes


def spread_objects(
    popularity: Popularity, slots: Mapping[str, int], ranking: Ranking
) -> dict[str, str]:
    """Returns the homes of the objects that leave their first upstream.

    Upstreams keep a limited number of objects. So each gets at most its part
    of them, by slots, times `COUNT_BOUND`; the others go to the next upstream
    in their order. All objects count as one, and their order depends on their
    keys only, so instances that know the same objects agree. Those that do not
    know nearly all leave each object where it is.

    Args:
        popularity: the use of the objects.
        slots: the slots of each upstream of the pool.
        ranking: the rendezvous orders over these upstreams.
    """
    if not popularity.is_complete:
        return {}
    objects = (*popularity.plain, *popularity.popular)
    per_slot = COUNT_BOUND * len(objects) / max(1, sum(slots.values()))
    left = {name: math.ceil(per_slot * slots[name]) for name in slots}
    moved: dict[str, str] = {}
    for key in sorted(objects, key=hash_object):
        name = ranking.first(key)
        if not left[name]:
            order = ranking.order(key)
            name = next((each for each in order if left[each]), name)
            moved[key] = name
        left[name] -= 1
    return moved


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
