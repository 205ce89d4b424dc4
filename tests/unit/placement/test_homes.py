"""Tests of the homes of popular objects."""

import random
from collections import Counter
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import RoutePart
from lycheedyke.state import (
    Counters,
    Distances,
    Location,
    PermitBook,
    PermitSources,
    Request,
    RunTimeStats,
    UpstreamSelector,
    UpstreamState,
    UpstreamTable,
    WarmupLimiter,
)
from lycheedyke.state.placement import rendezvous_hash
from lycheedyke.state.placement._home_table import LOAD_BOUND, assign_homes
from lycheedyke.state.placement._object_use import ObjectUse, Popularity
from lycheedyke.state.placement._ranking import Ranking
from standins.clock import ManualClock
from standins.records import make_route, make_upstream

REGIONS = {'nc-a': 'nc', 'nc-b': 'nc'}
UPSTREAMS = 10
NAMES = [f'nc-a-{at}' for at in range(UPSTREAMS)]
OBJECTS = [f'object-{number}' for number in range(60)]


class _Testbed:
    """An instance and ten upstreams of its zone."""

    def __init__(self, max_homes: int = 8) -> None:
        self.clock = ManualClock()
        self.upstreams = UpstreamTable(self.clock)
        for name in NAMES:
            self.upstreams.apply(make_upstream(name, zone='nc-a'))
        self.selector = UpstreamSelector(
            self.upstreams,
            RunTimeStats(),
            Location('nc-a', 'nc', REGIONS),
            Distances(),
            PermitSources(
                WarmupLimiter('edge-1', self.clock),
                PermitBook(self.clock, Counters()),
            ),
            cold_rate=lambda service: 7.1,
            instances=lambda: 4,
        )
        self.selector.set_max_homes(max_homes)
        self.route = make_route('/', RoutePart('desk', 1))

    def choose(self, object_key: str) -> UpstreamState:
        """Returns the upstream of a request."""
        candidate = self.selector.choose(
            Request(self.route, 'desk', object_key)
        )
        assert candidate is not None
        return candidate.state

    def call(
        self,
        seconds: float,
        popular: float = 0,
        load: int = 2,
        seed: int = 1,
    ) -> None:
        """Chooses upstreams for ten requests a second.

        Args:
            seconds: the duration.
            popular: the share of the first object; the rest is even.
            load: the load that each upstream reports.
            seed: the seed of the objects.
        """
        rng = random.Random(seed)
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)
            is_popular = rng.random() < popular
            state = self.choose(
                OBJECTS[0] if is_popular else rng.choice(OBJECTS)
            )
            state.record_load(load, 0)

    def homes(self, object_key: str = OBJECTS[0]) -> Counter[str]:
        """Returns how often each upstream is chosen of 200 requests."""
        return Counter(self.choose(object_key).record.name for _ in range(200))


def _rendezvous(object_key: str) -> list[str]:
    return sorted(
        NAMES, key=lambda name: rendezvous_hash(object_key, name), reverse=True
    )


def test_a_popular_object_has_several_homes_and_fewer_later() -> None:
    """Guards against an upstream that is overloaded by one object."""
    testbed = _Testbed()
    first = _rendezvous(OBJECTS[0])[0]
    assert set(testbed.homes()) == {first}
    testbed = _Testbed()
    testbed.call(30, popular=0.4)
    homes = testbed.homes()
    assert 3 <= len(homes) <= 8
    assert max(homes.values()) <= 100
    testbed.call(300)
    assert set(testbed.homes()) == {first}


def test_other_objects_stay_while_many_are_unknown() -> None:
    """Guards against homes that differ as instances know different objects."""
    testbed = _Testbed()
    testbed.call(10, popular=0.4)
    for object_key in OBJECTS[1:]:
        assert set(testbed.homes(object_key)) == {_rendezvous(object_key)[0]}


def test_known_objects_are_spread_by_number() -> None:
    """Guards against upstreams with more objects than they keep.

    Two instances with different samples spread them alike, and most objects
    stay at their first upstream.
    """
    testbeds = [_Testbed(), _Testbed()]
    for at, testbed in enumerate(testbeds):
        testbed.call(200, seed=at)
    first, second = (
        {key: each.choose(key).record.name for key in OBJECTS}
        for each in testbeds
    )
    assert first == second
    plain = {key: _rendezvous(key)[0] for key in OBJECTS}
    counts = Counter(plain.values())
    assert max(counts.values()) > 7 >= max(Counter(first.values()).values())
    moved = [key for key in OBJECTS if first[key] != plain[key]]
    assert len(moved) <= len(OBJECTS) / 4


def test_objects_that_nobody_requests_take_no_place() -> None:
    """Guards against homes that are full of objects of another day."""
    use = ObjectUse()
    clock = ManualClock()
    for number in range(3000):
        use.record(f'old-{number}', clock.elapsed())
    clock.advance(1801)
    use.record('new', clock.elapsed())
    assert use.popularity(clock.elapsed(), 3).plain == ('new',)


def test_with_one_home_nothing_depends_on_load() -> None:
    """Guards against a change where the setting is absent."""
    testbed = _Testbed(max_homes=1)
    testbed.call(60, popular=0.9, load=9)
    for object_key in OBJECTS:
        assert set(testbed.homes(object_key)) == {_rendezvous(object_key)[0]}


def test_no_object_has_more_homes_than_the_setting() -> None:
    """Each home takes the place of another object."""
    testbed = _Testbed(max_homes=2)
    testbed.call(60, popular=0.9)
    assert len(testbed.homes()) == 2


def test_objects_of_idle_upstreams_need_one_home() -> None:
    """Guards against cold runs that no load asks for."""
    testbed = _Testbed()
    testbed.call(60, popular=0.4, load=0)
    assert len(testbed.homes()) == 1


def test_unknown_and_old_loads_count_as_usual() -> None:
    """Upstreams that report no load are taken for busy ones."""
    testbed = _Testbed()
    testbed.call(60, popular=0.4, load=0)
    testbed.clock.advance(8)
    assert len(testbed.homes()) > 1


@pytest.mark.parametrize('seed', range(4))
def test_instances_with_different_samples_agree(seed: int) -> None:
    """Guards against objects that are cold as each instance has its own home.

    They may differ in how many homes an object has, but not in which.
    """
    testbeds = [_Testbed(), _Testbed()]
    for at, testbed in enumerate(testbeds):
        testbed.call(60, popular=0.3, seed=2 * seed + at)
    first, second = (set(testbed.homes()) for testbed in testbeds)
    assert len(first ^ second) <= 1


def test_a_lost_home_is_replaced_by_the_others() -> None:
    """Guards against requests for a popular object without an upstream."""
    testbed = _Testbed()
    testbed.call(30, popular=0.4)
    before = set(testbed.homes())
    lost = testbed.choose(OBJECTS[0])
    lost.mark_lost()
    assert set(testbed.homes()) == before - {lost.record.name}
    testbed.call(6, popular=0.4)
    after = set(testbed.homes())
    assert lost.record.name not in after
    assert len(after) >= len(before) - 1


def test_homes_that_are_all_lost_leave_the_next_upstream() -> None:
    """The table is older than the loss."""
    testbed = _Testbed(max_homes=2)
    testbed.call(30, popular=0.9)
    homes = set(testbed.homes())
    for name in homes:
        state = testbed.upstreams.find(name)
        assert state is not None
        state.mark_lost()
    rest = [name for name in _rendezvous(OBJECTS[0]) if name not in homes]
    assert set(testbed.homes()) == {rest[0]}


def test_a_full_home_leaves_the_request_to_another_home() -> None:
    """Guards against a wait while a slot of another home is free."""
    testbed = _Testbed()
    testbed.call(30, popular=0.4)
    full = testbed.choose(OBJECTS[0])
    full.record_load(30, 10)
    assert full.record.name not in testbed.homes()


@pytest.mark.parametrize('max_homes', [0, 8])
def test_requests_without_object_do_not_all_meet(max_homes: int) -> None:
    """Guards against a hot spot that the same hash gives at all instances."""
    testbed = _Testbed(max_homes)
    object_key = '' if max_homes else OBJECTS[0]
    homes = testbed.homes(object_key)
    assert len(homes) == UPSTREAMS
    testbed.choose(object_key).begin_request('')
    busy = {each.record.name for each in testbed.upstreams.all() if each.load}
    assert not busy & set(testbed.homes(object_key))


LOADS = st.dictionaries(
    st.sampled_from(OBJECTS), st.floats(0.5, 500), max_size=8
)


@given(LOADS, st.integers(1, 12), st.integers(1, 10))
def test_homes_keep_the_bound_and_the_order(
    popular: dict[str, float], max_homes: int, upstreams: int
) -> None:
    """Each object has homes; loads exceed the bound only at a first home."""
    names = NAMES[:upstreams]
    popularity = Popularity((), popular, 1)
    slots = dict.fromkeys(names, 3)
    homes = assign_homes(
        popularity, slots, Ranking(frozenset(names)), max_homes
    )
    bound = LOAD_BOUND * popularity.total / upstreams
    loads: Counter[str] = Counter()
    assert homes.keys() == popular.keys()
    for object_key, own in homes.items():
        assert 1 <= len(own) <= max_homes
        order = [each for each in _rendezvous(object_key) if each in names]
        places = [order.index(home.upstream) for home in own]
        assert places == sorted(set(places))
        for home in own:
            loads[home.upstream] += home.load  # type: ignore[assignment]
    if max_homes > upstreams:
        assert all(load <= bound * 1.001 for load in loads.values())


def test_more_slots_take_more_load() -> None:
    """Guards against small upstreams that get as much as large ones."""
    names = NAMES[:4]
    slots = dict(zip(names, (3, 3, 3, 9), strict=True))
    popularity = Popularity((), {'x': 100}, 1)
    homes = assign_homes(popularity, slots, Ranking(frozenset(names)), 4, 1)
    loads = {home.upstream: home.load for home in homes['x']}
    assert loads[names[3]] == pytest.approx(3 * loads[names[0]])


def test_use_is_forgotten_after_its_time() -> None:
    """Guards against homes for objects that were popular long ago."""
    testbed = _Testbed()
    testbed.call(30, popular=0.9)
    assert len(testbed.homes()) > 1
    testbed.clock.advance(timedelta(minutes=20).total_seconds())
    testbed.call(5)
    assert len(testbed.homes()) == 1
