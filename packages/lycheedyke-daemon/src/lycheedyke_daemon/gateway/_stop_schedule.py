"""The times of a planned stop."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.timers import pause_tolerant_sleep

# A request that arrives later must not be given up, so none is taken then.
TAKING_TIME = timedelta(seconds=3)
# An idle instance stays reachable for this share of the grace period, and not
# longer than requests are taken, so that callers learn that it stops.
LINGER_SHARE = 0.5
# Leaves time to answer what still runs.
FINISHING_SHARE = 0.9
# Leaves time to close connections before the platform kills the process.
CLOSING_SHARE = 0.95
# Lets exchanges end at their deadlines before the rest is interrupted.
DEADLINE_MARGIN = timedelta(milliseconds=100)
# Requests that are on their way when the instance accepts no further caller
# arrive within this time.
REFUSING_TIME = timedelta(milliseconds=200)
POLL_SECONDS = 0.05
ZERO = timedelta()


class StopSchedule:
    """Decides what a planned stop does when.

    All times count from the begin of the stop, however long its steps take:
    the platform kills the process at the end of the grace period.

    Args:
        clock: the time source.
        grace: returns the grace period; read once, at the begin of the stop.

    Attributes:
        is_over: whether all connections are closed now. No request is waited
            for, so none is taken.
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

    def may_take(
        self, expected: timedelta, handed_over: timedelta = ZERO
    ) -> bool:
        """Returns whether a new request is likely to end before the stop does.

        Args:
            expected: the time that its run is expected to take.
            handed_over: the time until the caller has its whole answer.
        """
        if self.is_over:
            return False
        if self._begun_at is None:
            return True
        passed = self._passed()
        if passed + handed_over > self._grace * CLOSING_SHARE:
            return False
        fits = passed + expected <= self._grace * FINISHING_SHARE
        return fits and passed <= TAKING_TIME

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
        """Waits until callers know of the stop, and longer while busy."""
        linger = min(self._grace * LINGER_SHARE, TAKING_TIME)
        await self._wait(lambda: True, linger)
        await self._wait(is_busy, self._grace * FINISHING_SHARE)

    async def flush(self, is_busy: Callable[[], bool]) -> None:
        """Waits until the last answers are sent or it is time to close."""
        await self._wait(is_busy, self._grace * CLOSING_SHARE)
        self.is_over = True

    async def refuse_late(self) -> None:
        """Waits for requests that are on their way, if the grace allows it.

        After a pause of the process, what has arrived meanwhile is read first.
        """
        left = self._grace * CLOSING_SHARE - self._passed()
        if left > timedelta():
            await pause_tolerant_sleep(min(REFUSING_TIME, left))

    async def _wait(
        self, is_busy: Callable[[], bool], limit: timedelta
    ) -> None:
        passed = self._passed()
        while is_busy() and passed < limit:
            await asyncio.sleep(POLL_SECONDS)
            passed = self._passed()

    def _passed(self) -> timedelta:
        if self._begun_at is None:
            return timedelta()
        return self._clock.elapsed() - self._begun_at
