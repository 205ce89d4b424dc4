"""Time for which the event loop of the soak test stood still."""

import asyncio
import time

POLL_SECONDS = 0.05


class StallMonitor:
    """Measures the longest stall of the event loop.

    Callers, upstreams, links and the store share this loop, so a stall looks
    like a failure of all of them.
    """

    def __init__(self) -> None:
        """Initializes the monitor; `run` starts it."""
        self.longest_seconds: float = 0

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            started = time.monotonic()
            await asyncio.sleep(POLL_SECONDS)
            late = time.monotonic() - started - POLL_SECONDS
            self.longest_seconds = max(self.longest_seconds, late)
