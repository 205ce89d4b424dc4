"""Tests of limits that instances keep together without coordination."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.state import (
    RepeatBudget,
    RepeatLimit,
    WarmupLimiter,
    permit_interval,
)
from standins.clock import ManualClock

WINDOW = timedelta(seconds=10)
COLD_RATE = 7.1
COLD_BOUND = 7.1 * 1.5 + 5


@given(
    st.integers(1, 40),
    st.lists(st.tuples(st.integers(0, 39), st.booleans()), max_size=400),
)
def test_repeats_of_all_instances_stay_within_the_bound(
    instances: int,
    events: list[tuple[int, bool]],
) -> None:
    """The repeats of all instances never exceed the limit."""
    clock = ManualClock()
    limit = RepeatLimit(0.2, WINDOW, 124)
    budgets = [RepeatBudget(limit, clock) for _ in range(instances)]
    requests = repeats = 0
    for index, is_request in events:
        budget = budgets[index % instances]
        if is_request:
            budget.add_request()
            requests += 1
        else:
            repeats += budget.acquire(instances)
    assert repeats <= 0.2 * requests + 124


def test_repeats_come_back_when_the_window_has_passed() -> None:
    """Repeats used in one window are available again in the next."""
    clock = ManualClock()
    budget = RepeatBudget(RepeatLimit(0, WINDOW, 10), clock)
    assert [budget.acquire(1) for _ in range(10)].count(True) == 8
    clock.advance(11)
    assert budget.acquire(1)


@given(st.integers(1, 60), st.integers(0, 50))
def test_cold_upstream_gets_its_rate_from_all_together(
    instances: int,
    seed: int,
) -> None:
    """No second has more permits of all instances than the bound."""
    clock = ManualClock()
    limiters = [WarmupLimiter(f'edge-{at}', clock) for at in range(instances)]
    period = permit_interval(instances, COLD_RATE)
    upstream = f'i-{seed}'
    sent: list[float] = []
    for step in range(300):
        for limiter in limiters:
            if limiter.is_due(upstream, period):
                limiter.acquire(upstream, period)
                sent.append(step / 50)
        clock.advance(1 / 50)
    max_sent = max(
        sum(1 for at in sent if start <= at < start + 1) for start in sent
    )
    assert max_sent <= COLD_BOUND


def test_a_service_without_a_rate_gets_no_work_while_cold() -> None:
    """A cold upstream without a known rate gets practically no permits."""
    assert permit_interval(3, 0) > timedelta(hours=1)
