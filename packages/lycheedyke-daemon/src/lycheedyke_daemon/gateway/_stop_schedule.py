"""The times of a planned stop."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock

# Work accepted in the last half of the grace period might outlast it.
ACCEPTING_SHARE = 0.5
# Leaves time to answer what still runs.
FINISHING_SHARE = 0.9
# Leaves time to close connections before the platform kills the process.
CLOSING_SHARE = 0.95
# Lets exchanges end at their deadlines before the rest is interrupted.
DEADLINE_MARGIN = timedelta(milliseconds=100)
POLL_SECONDS = 0.05


class StopSchedule:
    """Decides what a planned stop does when.

    All times count from the begin of the stop, however long its steps take:
    the platform kills the process at the end of the grace period.

    Args:
        clock: the time source.
        grace: returns the grace period; read once, at the begin of the stop.

    Attributes:
        is_over: whether all connections are closed now.
    """

    def __init__(self, clock: Clock, grace: Callable[[], timedelta]) -> None:
        """Initializes the schedule of a stop that has not begun."""
        self._clock = clock
        self._read_grace = grace
        self._grace = timedelta()
        self._begun_at: timedelta | None = None
        self.is_over = False

    def __repr__(self) -> str:
        """Returns the time since the begin of the stop."""
        return f'<StopSchedule: {self._passed()} passed>'

    @property
    def has_begun(self) -> bool:
        """Whether the instance is stopping."""
        return self._begun_at is not None

    @property
    def is_refusing(self) -> bool:
        """Whether new requests are refused."""
        return self._passed() > self._grace * ACCEPTING_SHARE

    def begin(self) -> None:
        """Begins the stop."""
        self._begun_at = self._clock.elapsed()
        self._grace = self._read_grace()

    def bound_deadline(self, deadline: timedelta) -> timedelta:
        """Returns the deadline of a new request, which a stop may shorten."""
        if self._begun_at is None:
            return deadline
        limit = self._grace * FINISHING_SHARE - DEADLINE_MARGIN
        return min(deadline, self._begun_at + limit)

    async def drain(self, is_busy: Callable[[], bool]) -> None:
        """Waits until new requests are refused, and longer while busy."""
        await self._wait(lambda: True, ACCEPTING_SHARE)
        await self._wait(is_busy, FINISHING_SHARE)

    async def flush(self, is_busy: Callable[[], bool]) -> None:
        """Waits until the last answers are sent or it is time to close."""
        await self._wait(is_busy, CLOSING_SHARE)
        self.is_over = True

    async def _wait(self, is_busy: Callable[[], bool], share: float) -> None:
        limit = self._grace * share
        passed = self._passed()
        while is_busy() and passed < limit:
            await asyncio.sleep(POLL_SECONDS)
            passed = self._passed()

    def _passed(self) -> timedelta:
        if self._begun_at is None:
            return timedelta()
        return self._clock.elapsed() - self._begun_at
