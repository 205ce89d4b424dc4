"""Timeouts that conclude nothing from a pause of their own process.

A process may stand still: frozen, without processor time, or blocked by its own
code. When it runs again, its event loop may call timers before it reads what
has arrived meanwhile. The timers here notice that they are called late, and
wait until the loop has read.
"""

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from typing import NamedTuple

# A timer that is called later than this follows a pause of the process.
LATE_SECONDS = 0.05
# In this time the loop reads what has arrived during a pause.
READ_SECONDS = 0.1
MONITOR_INTERVAL = timedelta(milliseconds=250)
MAX_PAUSE_AGE = timedelta(seconds=10)
MAX_PAUSES = 64
LOGGED_PAUSE = timedelta(milliseconds=500)
MILLISECONDS_PER_SECOND = 1000

_logger = logging.getLogger(__name__)


class PauseTolerantTimer:
    """Calls a function once after a delay, and later after a pause.

    Args:
        delay: the delay.
        callback: the function.
    """

    def __init__(self, delay: timedelta, callback: Callable[[], None]) -> None:
        """Starts the timer on the running loop."""
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        now = self._loop.time()
        self._due = now + delay.total_seconds()
        # A pause that ends just after the timer is due is noticed by a call
        # that was due before it.
        self._early = max(now, self._due - LATE_SECONDS)
        self._handle = self._loop.call_at(self._early, self._wait_due)

    def __repr__(self) -> str:
        """Returns when the timer is due."""
        return f'<PauseTolerantTimer due at {self._due:.3f}>'

    def cancel(self) -> None:
        """Cancels the call."""
        self._handle.cancel()

    def extend(self, delay: timedelta) -> None:
        """Waits for at least this delay from now on."""
        due = self._loop.time() + delay.total_seconds()
        if due <= self._due:
            return
        self._handle.cancel()
        self._due = due
        self._early = due - LATE_SECONDS
        self._handle = self._loop.call_at(self._early, self._wait_due)

    def _wait_due(self) -> None:
        if self._is_late(self._early):
            self._wait_read()
        else:
            self._handle = self._loop.call_at(self._due, self._expire)

    def _expire(self) -> None:
        if self._is_late(self._due):
            self._wait_read()
        else:
            self._callback()

    def _is_late(self, due: float) -> bool:
        return self._loop.time() - due > LATE_SECONDS

    def _wait_read(self) -> None:
        self._handle = self._loop.call_later(READ_SECONDS, self._callback)


async def pause_tolerant_sleep(delay: timedelta) -> None:
    """Waits for the delay, and longer after a pause."""
    passed = asyncio.Event()
    timer = PauseTolerantTimer(delay, passed.set)
    try:
        await passed.wait()
    finally:
        timer.cancel()


class ProgressTimeout:
    """A timeout that is extended while an exchange makes progress.

    Args:
        timeout: ends the exchange.
        timer: expires the timeout.
        patience: how long the exchange may be without progress.
        longest: the longest time for the exchange as a whole.
    """

    def __init__(
        self,
        timeout: asyncio.Timeout,
        timer: PauseTolerantTimer,
        patience: timedelta,
        longest: timedelta,
    ) -> None:
        """Starts the longest time."""
        self.timeout = timeout
        self._timer = timer
        self._patience = patience
        self._is_extended = longest > patience
        self._end = asyncio.get_running_loop().time() + longest.total_seconds()

    def __repr__(self) -> str:
        """Returns the end of the longest time."""
        return f'<ProgressTimeout until {self._end:.3f} at the latest>'

    def note_progress(self) -> None:
        """Extends the timeout."""
        if not self._is_extended:
            return
        left = timedelta(seconds=self._end - asyncio.get_running_loop().time())
        self._timer.extend(min(self._patience, left))


@contextlib.asynccontextmanager
async def progress_timeout(
    patience: timedelta, longest: timedelta
) -> AsyncIterator[ProgressTimeout]:
    """Ends the block after a time without progress.

    Args:
        patience: the longest time without progress.
        longest: the longest time for the block as a whole.

    Raises:
        TimeoutError: the time has passed.
    """
    async with asyncio.timeout(None) as timeout:
        timer = PauseTolerantTimer(patience, lambda: expire(timeout))
        try:
            yield ProgressTimeout(timeout, timer, patience, longest)
        finally:
            timer.cancel()


@contextlib.asynccontextmanager
async def pause_tolerant_timeout(
    limit: timedelta,
) -> AsyncIterator[asyncio.Timeout]:
    """Ends the block after a time, like `asyncio.timeout`.

    Raises:
        TimeoutError: the time has passed.
    """
    async with progress_timeout(limit, limit) as progress:
        yield progress.timeout


def expire(timeout: asyncio.Timeout) -> None:
    """Ends the block of a timeout now."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


class _Pause(NamedTuple):
    ended: float
    seconds: float


class PauseMonitor:
    """Measures and logs the pauses of the process."""

    def __init__(self) -> None:
        """Initializes a monitor that knows no pause."""
        self._pauses: deque[_Pause] = deque(maxlen=MAX_PAUSES)
        self._due = float('inf')

    def __repr__(self) -> str:
        """Returns the number of known pauses."""
        return f'<PauseMonitor: {len(self._pauses)} pauses>'

    def longest(self) -> timedelta:
        """Returns the longest pause of the last 10 s.

        A pause that has just ended counts before the monitor has run again.
        """
        now = asyncio.get_running_loop().time()
        oldest = now - MAX_PAUSE_AGE.total_seconds()
        ended = [each.seconds for each in self._pauses if each.ended >= oldest]
        return timedelta(seconds=max(0, now - self._due, *ended))

    def within(self, span: timedelta) -> timedelta:
        """Returns how long the process stood still within the last `span`."""
        now = asyncio.get_running_loop().time()
        since = now - span.total_seconds()
        paused = min(max(0, now - self._due), now - since)
        for pause in reversed(self._pauses):
            if pause.ended <= since:
                break
            paused += pause.ended - max(since, pause.ended - pause.seconds)
        return timedelta(seconds=paused)

    async def run(self) -> None:
        """Measures until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            interval = MONITOR_INTERVAL.total_seconds()
            self._due = loop.time() + interval
            await asyncio.sleep(interval)
            late = loop.time() - self._due
            if late > LATE_SECONDS:
                self._pauses.append(_Pause(loop.time(), late))
            if late > LOGGED_PAUSE.total_seconds():
                _logger.warning(
                    'process paused',
                    extra={'paused_ms': int(late * MILLISECONDS_PER_SECOND)},
                )
