"""Tests the clock that excludes the pauses of its own process."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.coordination._pause_excluding_clock import (
    MAX_STEP,
    PauseExcludingClock,
)
from standins.clock import ManualClock


def test_a_pause_counts_as_the_longest_step() -> None:
    """A process that was frozen for long must not find all peers silent."""
    clock = ManualClock()
    awake = PauseExcludingClock(clock)
    before = awake.elapsed()
    clock.advance(3600)
    assert awake.elapsed() - before == MAX_STEP
    assert awake.pauses == 1


@given(steps=st.lists(st.floats(0.0, 2.0), min_size=1))
def test_starvation_slows_the_clock_and_does_not_stop_it(
    steps: list[float],
) -> None:
    """With steps of up to 2 s, the clock runs at a quarter rate or faster."""
    clock = ManualClock()
    awake = PauseExcludingClock(clock)
    before = awake.elapsed(), awake.elapsed_with_pauses()
    for step in steps:
        clock.advance(step)
        awake.elapsed()
    counted = awake.elapsed() - before[0]
    real = awake.elapsed_with_pauses() - before[1]
    assert real / 4 <= counted + len(steps) * timedelta(microseconds=1)
    assert counted <= real
