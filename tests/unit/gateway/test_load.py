"""Tests the decisions under load in a simulation.

Each test simulates one load pattern. The bounds come from the required goals
and floors.
"""

from typing import Any

import pytest

from standins.load_model import (
    DESK_UPSTREAMS,
    Load,
    LoadModel,
    Result,
    make_desk_kinds,
)

# The minimum share of the credit that is required on days of high load.
PEAK_FLOOR = 0.247


def _simulate(per_s: float, **changes: Any) -> Result:
    load = Load(make_desk_kinds(per_s), DESK_UPSTREAMS)._replace(**changes)
    return LoadModel(load).run()


def _warm_goal_share(result: Result) -> float:
    """Returns the share within the goal after the objects are warm."""
    windows = [own for at, own in result.windows.items() if at >= 3]
    return sum(own[1] for own in windows) / sum(own[0] for own in windows)


def test_a_calm_day_ends_within_its_goals() -> None:
    """Objects are warm within seconds; then nearly all meet the goal."""
    result = _simulate(32)
    assert _warm_goal_share(result) >= 0.9
    assert result.refused.total() <= 0.01 * result.requested.total()


def test_callers_of_a_zone_with_few_upstreams_are_served_as_others() -> None:
    """Two of twenty upstreams are in the region of a third of the callers."""
    result = _simulate(32)
    alone = _simulate(32, upstreams={**DESK_UPSTREAMS, 'pnw-a': 5, 'pnw-b': 5})
    assert result.in_goal_share >= alone.in_goal_share - 0.1


def test_a_peak_above_all_slots_keeps_its_useful_work() -> None:
    """Far above capacity, the required floor of a peak is still met."""
    peak = _simulate(180, seconds=8)
    assert peak.in_goal_share >= PEAK_FLOOR


def test_more_urgent_requests_find_room_in_a_peak() -> None:
    """Orders lose no larger share than lookups of the same service."""
    peak = _simulate(150, seconds=8)
    assert peak.share('order') >= peak.share('lookup') - 0.05


def test_no_kind_starves_in_a_peak() -> None:
    """The less urgent kind is served at a quarter of the total rate or more."""
    peak = _simulate(150, seconds=8)
    served = (peak.requested - peak.refused)['lookup'] / peak.requested[
        'lookup'
    ]
    everything = 1 - peak.refused.total() / peak.requested.total()
    assert served >= everything / 4


def test_a_queue_that_grew_goes_down_again() -> None:
    """The queue of a start without warm objects drains."""
    result = _simulate(70, seconds=14)
    first = result.windows[0]
    assert _warm_goal_share(result) > first[1] / first[0] + 0.2


def test_slow_upstreams_are_relieved() -> None:
    """Upstreams eight times slower get far less than their share."""
    slow = {'nc-a-0': 8.0, 'mt-b-1': 8.0}
    result = _simulate(32, slow=slow)
    slow_share = sum(result.sent[name] for name in slow) / result.sent.total()
    assert slow_share < 0.5 * len(slow) / 20
    assert _warm_goal_share(result) >= 0.8


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_the_model_repeats_with_its_seed(seed: int) -> None:
    """The same seed gives the same result."""
    load = Load(make_desk_kinds(10), DESK_UPSTREAMS, seconds=3)
    first = LoadModel(load, seed).run().requested
    assert first == LoadModel(load, seed).run().requested
