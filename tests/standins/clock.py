"""A clock that moves only when it is told to."""

from datetime import UTC, datetime, timedelta

EPOCH = datetime(2026, 3, 2, tzinfo=UTC)


class FakeClock:
    """Starts at a fixed time; `sleep` returns at once."""

    def __init__(self) -> None:
        """Starts at one hour of monotonic time."""
        self._elapsed = timedelta(hours=1)

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        return EPOCH + self._elapsed

    def elapsed(self) -> timedelta:
        """Returns the monotonic time."""
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Moves the time on."""
        self.advance(duration)

    def advance(self, duration: timedelta) -> None:
        """Moves the time on."""
        self._elapsed += duration
