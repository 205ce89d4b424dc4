"""An event loop whose time passes only while it has nothing to do.

Scenarios over real sockets then take no time to wait, and their times do not
depend on the load of the machine.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

# Bytes sent over loopback are readable within this time.
SETTLE_SECONDS = 0.002
_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Skips to the next timer as soon as no socket is ready.

    Args:
        settle_seconds: the time within which sent bytes are readable; zero
            if the tasks use no socket.
    """

    def __init__(self, settle_seconds: float = SETTLE_SECONDS) -> None:
        """Starts at time zero."""
        self._skipped = 0.0
        super().__init__(_SkippingSelector(self, settle_seconds))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._skipped

    def skip(self, seconds: float) -> None:
        """Lets time pass."""
        self._skipped += seconds


class LoopClock:
    """A clock that reads the time of the running event loop."""

    def __repr__(self) -> str:
        """Returns the constructor call."""
        return 'LoopClock()'

    def now(self) -> datetime:
        """Returns the time of day, which starts at a fixed date."""
        return _EPOCH + self.elapsed()

    def elapsed(self) -> timedelta:
        """Returns the time of the loop."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: timedelta) -> None:
        """Waits on the event loop."""
        await asyncio.sleep(duration.total_seconds())


def run_in_virtual_time(
    work: Coroutine[Any, Any, None], settle_seconds: float = SETTLE_SECONDS
) -> None:
    """Runs a coroutine on a loop with virtual time."""
    with asyncio.Runner(
        loop_factory=lambda: VirtualTimeLoop(settle_seconds)
    ) as runner:
        runner.run(work)


class _SkippingSelector(selectors.DefaultSelector):
    """Lets the time of its loop pass instead of waiting."""

    def __init__(self, loop: VirtualTimeLoop, settle_seconds: float) -> None:
        super().__init__()
        self._loop = loop
        self._settle_seconds = settle_seconds

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready sockets; with none, time passes at once."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(self._settle_seconds)
        if not ready:
            self._loop.skip(timeout)
        return ready
