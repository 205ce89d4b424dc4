"""The clock interface, so that tests can control the time."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Returns the time and waits."""

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""

    def elapsed(self) -> timedelta:
        """Returns the monotonic time since an arbitrary origin."""

    async def sleep(self, duration: timedelta) -> None:
        """Waits for the duration."""


async def wait_for_event(
    event: asyncio.Event,
    clock: Clock,
    timeout: timedelta,
) -> None:
    """Waits until an event is set, but not longer than the given time.

    Args:
        event: ends the wait when it is set.
        clock: measures the time.
        timeout: the longest wait.
    """
    waits = [
        asyncio.ensure_future(event.wait()),
        asyncio.ensure_future(clock.sleep(timeout)),
    ]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()


class SystemClock:
    """The clock of the operating system."""

    def __repr__(self) -> str:
        """Returns the constructor call."""
        return 'SystemClock()'

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Returns the monotonic time, including time in suspension."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, duration: timedelta) -> None:
        """Waits on the event loop."""
        await asyncio.sleep(duration.total_seconds())
