"""A clock that tests set."""

from datetime import UTC, datetime, timedelta


class ManualClock:
    """Both clocks move by `pass_time`; `step` moves the wall clock only."""

    def __init__(self) -> None:
        """Starts both clocks at fixed times."""
        self._now = datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = timedelta(seconds=100)

    def now(self) -> datetime:
        """Returns the wall-clock time."""
        return self._now

    def elapsed(self) -> timedelta:
        """Returns the monotonic time."""
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Passes the time at once."""
        self.advance(duration.total_seconds())

    def advance(self, seconds: float) -> None:
        """Moves both clocks."""
        self._now += timedelta(seconds=seconds)
        self._elapsed += timedelta(seconds=seconds)

    def advance_wall_clock(self, seconds: float) -> None:
        """Moves the wall clock only."""
        self._now += timedelta(seconds=seconds)
