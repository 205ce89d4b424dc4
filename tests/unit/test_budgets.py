"""Tests that the budgets of retries and bytes are never exceeded."""

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.state import ByteBudget, RegionBudgets, RetryBudget
from lycheedyke.state._budgets import BURST_SECONDS, RETRY_FLOOR
from standins.clock import ManualClock

LARGEST = 1_000_000


@given(st.lists(st.booleans()), st.floats(0, 1))
def test_retries_stay_a_share_of_first_attempts(
    retries: list[bool],
    share: float,
) -> None:
    """Retries never exceed the floor plus a share of the first attempts."""
    budget = RetryBudget()
    granted = 0
    for first, retries_now in enumerate(retries, start=1):
        budget.add_first_attempt(share)
        granted += sum(budget.acquire() for _ in range(5 * retries_now))
        assert granted <= RETRY_FLOOR + share * first + 1e-6


@given(
    st.floats(100, LARGEST),
    st.lists(
        st.tuples(st.floats(0, 2), st.integers(0, LARGEST), st.booleans()),
    ),
)
def test_bytes_stay_under_rate_and_burst(
    rate: float,
    sends: list[tuple[float, int, bool]],
) -> None:
    """Sent bytes never exceed the rate, the burst and the forced bytes."""
    clock = ManualClock()
    budget = ByteBudget(rate, clock)
    allowed = rate * BURST_SECONDS
    sent = largest = 0
    for pause, size, forced in sends:
        clock.advance(pause)
        allowed += pause * rate
        largest = max(largest, size)
        if forced:
            budget.charge(size)
            allowed += size
            sent += size
        elif (wait := budget.acquire(size)) is None:
            sent += size
        else:
            clock.advance(wait.total_seconds() + 1e-5)
            allowed += (wait.total_seconds() + 1e-5) * rate
            assert budget.acquire(size) is None
            sent += size
        assert sent <= allowed + largest + 1


@given(st.sets(st.integers(0, 30), min_size=1))
def test_parts_of_a_cut_off_region_add_up(names: set[int]) -> None:
    """Senders that are no longer seen still count.

    After a partition each instance sees only itself. Its share must not grow,
    as the others may still send on their side.
    """
    clock = ManualClock()
    shares = []
    for name in names:
        budgets = RegionBudgets('norr', 8, clock)
        budgets.divide_among(map(str, names))
        clock.advance(600)
        budgets.divide_among([str(name)])
        shares.append(budgets.rate)
    assert sum(shares) <= 1_000_000 + 1
