"""Time for which the event loop of the soak test stood still."""

import asyncio
import contextlib
import functools
import time
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.timers import PauseTolerantTimer, expire

POLL_SECONDS = 0.05
# How late an answer may be read although the loop did not stand still.
READ_SECONDS = 0.02
# Shorter stalls do not extend a timeout again.
MIN_EXTENSION = timedelta(milliseconds=20)


class Stall(NamedTuple):
    """A time for which the event loop stood still.

    Attributes:
        ended: its end, in seconds of the monotonic clock.
        seconds: how long it lasted.
    """

    ended: float
    seconds: float


class StallMonitor:
    """Measures the stalls of the event loop.

    Callers, upstreams, links and the store share this loop, so a stall looks
    like a failure of all of them.

    Attributes:
        longest_seconds: the longest stall.
        stalls: all stalls that extend a timeout.
    """

    def __init__(self) -> None:
        """Initializes the monitor; `run` starts it."""
        self.longest_seconds: float = 0
        self.stalls: list[Stall] = []
        self._total_seconds: float = 0
        self._due = float('inf')

    def total(self) -> timedelta:
        """Returns the time of all stalls, including one that just ended."""
        overdue = asyncio.get_running_loop().time() - self._due
        return timedelta(seconds=self._total_seconds + max(0, overdue))

    def earliest_answer(self, read: float, stalled_before: timedelta) -> float:
        """Returns when an answer may have been sent at the earliest.

        Args:
            read: when it was read, in seconds of the monotonic clock.
            stalled_before: the total when its request was sent.
        """
        stalled = self.total() - stalled_before
        return read - READ_SECONDS - stalled.total_seconds()

    async def run(self) -> None:
        """Measures until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._due = loop.time() + POLL_SECONDS
            await asyncio.sleep(POLL_SECONDS)
            late = loop.time() - self._due
            self._total_seconds += late
            self.longest_seconds = max(self.longest_seconds, late)
            if late > MIN_EXTENSION.total_seconds():
                self.stalls.append(Stall(time.monotonic(), late))

    @contextlib.asynccontextmanager
    async def timeout(self, limit: timedelta) -> AsyncIterator[None]:
        """Ends the block after a time that the stalls do not count towards.

        Raises:
            TimeoutError: the time has passed.
        """
        async with asyncio.timeout(None) as timeout:
            extended = _ExtendedTimeout(self, timeout)
            extended.start(limit)
            try:
                yield
            finally:
                extended.cancel()


class _ExtendedTimeout:
    """Expires a timeout, later by the time of the stalls meanwhile."""

    def __init__(self, stalls: StallMonitor, timeout: asyncio.Timeout) -> None:
        self._stalls = stalls
        self._timeout = timeout
        self._timer: PauseTolerantTimer | None = None

    def start(self, limit: timedelta) -> None:
        """Waits for the limit, and then for the stalls meanwhile."""
        self._timer = PauseTolerantTimer(
            limit, functools.partial(self._extend, self._stalls.total())
        )

    def cancel(self) -> None:
        """Ends the wait."""
        if self._timer is not None:
            self._timer.cancel()

    def _extend(self, stalled_before: timedelta) -> None:
        stalled = self._stalls.total() - stalled_before
        if stalled > MIN_EXTENSION:
            self.start(stalled)
        else:
            expire(self._timeout)
