"""A clock that excludes the pauses of this process."""

from datetime import timedelta

from lycheedyke.clock import Clock

# This is longer than the intervals (200 and 250 ms) of the loops that read
# the clock.
MAX_STEP = timedelta(milliseconds=500)


class PauseExcludingClock:
    """Counts the time in which this process was able to run.

    The clock is read often while the process runs, so a long step between
    two readings means that the process was frozen or starved of processor
    time. Such a step counts as `MAX_STEP`, so that the clock also
    advances in a process that is starved all the time.

    Args:
        clock: the monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes the clock at the present time."""
        self._clock = clock
        self._last = clock.elapsed()
        self._paused = timedelta()
        self.pauses = 0

    def __repr__(self) -> str:
        """Returns the number of pauses."""
        return f'<PauseExcludingClock: {self.pauses} pauses>'

    def elapsed_with_pauses(self) -> timedelta:
        """Returns the monotonic time with the pauses."""
        return self._clock.elapsed()

    def elapsed(self) -> timedelta:
        """Returns the monotonic time without the pauses."""
        now = self._clock.elapsed()
        step = now - self._last
        self._last = now
        if step > MAX_STEP:
            self.pauses += 1
            self._paused += step - MAX_STEP
        return now - self._paused
