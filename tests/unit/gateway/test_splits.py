"""Tests of the weighted splits of routes."""

import asyncio
import math
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import Route, RoutePart
from lycheedyke.state import WeightedRoundRobin
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.records import make_route
from standins.registry_store import config_value, upstream_value

INSTANCES = 140
SPLIT_ROUTE = {
    'name': 'read',
    'prefix': '/read/',
    'split': [
        {'service': 'desk', 'weight': 3},
        {'service': 'guide', 'weight': 1},
    ],
}
WEIGHTS = st.lists(st.integers(1, 100), min_size=2, max_size=4)


def _make_split(*weights: float) -> Route:
    """Returns a route with a part of each weight: s0, s1 and so on."""
    parts = [RoutePart(f's{at}', each) for at, each in enumerate(weights)]
    return make_route('/', *parts)


def _count(
    splitters: list[WeightedRoundRobin], route: Route, requests: int
) -> Counter[str]:
    """Returns how many requests each service gets from all instances."""
    return Counter(
        each.choose(route) for each in splitters for _ in range(requests)
    )


def _tolerance(requests: int, route: Route, part: RoutePart) -> float:
    """Returns three standard deviations of a count over all instances.

    Of an instance, the count is one of two neighbouring whole numbers, or one
    more or less if there are more than two parts.
    """
    total = sum(each.weight for each in route.parts)
    fraction = requests * part.weight / total % 1
    variance = fraction * (1 - fraction) + 0.1 * (len(route.parts) > 2)
    return 3 * math.sqrt(INSTANCES * variance) + 1e-6


@given(st.lists(st.integers(1, 100), min_size=2, max_size=4))
def test_split_gives_each_part_its_weight(weights: list[int]) -> None:
    """After a complete round the shares equal the weights."""
    route = _make_split(*weights)
    splitter = WeightedRoundRobin()
    selected = Counter(splitter.choose(route) for _ in range(sum(weights)))
    assert selected == {part.service: part.weight for part in route.parts}


def test_split_follows_new_parts_of_a_route() -> None:
    """The credit of replaced parts is not used for new parts."""
    splitter = WeightedRoundRobin()
    splitter.choose(make_route('/', RoutePart('a', 90), RoutePart('b', 10)))
    only = make_route('/', RoutePart('c', 1))
    assert splitter.choose(only) == 'c'


@given(WEIGHTS, st.text(min_size=1, max_size=8))
def test_a_round_is_exact_from_every_point(
    weights: list[int], instance: str
) -> None:
    """The start of an instance changes the order, not the shares."""
    route = _make_split(*weights)
    splitter = WeightedRoundRobin(instance)
    selected = Counter(splitter.choose(route) for _ in range(sum(weights)))
    assert selected == {part.service: part.weight for part in route.parts}


@pytest.mark.parametrize('requests', [1, 2, 3, 7])
@pytest.mark.parametrize('weights', [(90, 10), (0.5, 0.3, 0.2), (99, 1)])
def test_instances_with_few_requests_each_keep_the_weights_together(
    requests: int, weights: tuple[float, ...]
) -> None:
    """Guards against a small part that gets nothing from 140 instances."""
    route = _make_split(*weights)
    names = [f'edge-{at}' for at in range(INSTANCES)]
    counts = _count(
        [WeightedRoundRobin(each) for each in names], route, requests
    )
    for part in route.parts:
        expected = INSTANCES * requests * part.weight / sum(weights)
        tolerance = _tolerance(requests, route, part)
        assert abs(counts[part.service] - expected) <= tolerance


def test_routes_of_an_instance_start_at_different_points() -> None:
    """Guards against an instance whose routes all begin with one service."""
    splitter = WeightedRoundRobin('edge-1')
    parts = (RoutePart('a', 1), RoutePart('b', 1))
    first = Counter(
        splitter.choose(make_route(f'/{at}/', *parts)) for at in range(100)
    )
    assert 30 <= first['a'] <= 70


@pytest.mark.parametrize(
    ('before', 'after'),
    [((90, 10), (50, 50)), ((90, 10), (0.5, 0.5)), ((0.1, 0.9), (95, 5))],
)
def test_new_weights_hold_at_once(
    before: tuple[float, ...], after: tuple[float, ...]
) -> None:
    """Guards against credit in the unit of the old weights."""
    names = [f'edge-{at}' for at in range(INSTANCES)]
    splitters = [WeightedRoundRobin(each) for each in names]
    _count(splitters, _make_split(*before), 3)
    route = _make_split(*after)
    for _ in range(4):
        counts = _count(splitters, route, 3)
        expected = INSTANCES * 3 * after[0] / sum(after)
        tolerance = _tolerance(3, route, route.parts[0])
        assert abs(counts['s0'] - expected) <= tolerance


@given(WEIGHTS, st.integers(0, 50))
def test_a_part_of_weight_0_gets_nothing(
    weights: list[int], requests: int
) -> None:
    """Its credit of an earlier weight is not used."""
    splitter = WeightedRoundRobin('edge-1')
    for _ in range(requests):
        splitter.choose(_make_split(*weights))
    drained = _make_split(0, *weights[1:])
    chosen = {splitter.choose(drained) for _ in range(sum(weights))}
    assert 's0' not in chosen


@pytest.mark.parametrize('slots', [0, 1])
def test_a_part_without_room_is_not_replaced_by_another(
    tmp_path: Path, slots: int
) -> None:
    """Guards against a small new version that gives its share to the old."""

    async def _scene(platform: GatewayTestbed) -> None:
        desk, guide = platform.upstreams
        platform.register(desk, slots=100)
        if slots:
            record = upstream_value('guide', guide.address, slots=slots)
            platform.store.put(f'servers/{guide.name}', record)
        else:
            platform.store.remove(f'servers/{guide.name}')
        platform.store.put('op/config', config_value(0x12, [SPLIT_ROUTE]))
        await asyncio.sleep(1)
        guide.run_s = 0.24
        replies = await asyncio.gather(
            *(platform.send(f'/read/{number}') for number in range(40))
        )
        assert len(desk.arrivals) == 30
        refused = [each.status for each in replies].count(503)
        assert len(guide.arrivals) == 10 - refused
        assert refused >= 5

    run_scenario(tmp_path, _scene, limit_s=60)
