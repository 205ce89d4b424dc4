"""A manual clock for tests."""

from datetime import UTC, datetime, timedelta


class ManualClock:
    """A wall clock and a monotonic clock that a test advances.

    `advance` moves both clocks, `advance_wall_clock` the wall clock only.
    """

    def __init__(self) -> None:
        """Sets both clocks to fixed times."""
        self._now = datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = timedelta(seconds=100)

    def now(self) -> datetime:
        """Returns the wall-clock time."""
        return self._now

    def elapsed(self) -> timedelta:
        """Returns the monotonic time."""
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Advances both clocks by the duration and returns at once."""
        self.advance(duration.total_seconds())

    def advance(self, seconds: float) -> None:
        """Advances both clocks."""
        self._now += timedelta(seconds=seconds)
        self._elapsed += timedelta(seconds=seconds)

    def advance_wall_clock(self, seconds: float) -> None:
        """Advances the wall clock only, like a clock adjustment."""
        self._now += timedelta(seconds=seconds)
