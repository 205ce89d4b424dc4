"""A bound on the rate of calls to the platform."""

import asyncio
from datetime import timedelta

from lycheedyke.clock import Clock


class RateLimiter:
    """A token bucket; calls beyond it wait their turn.

    Args:
        clock: tells when tokens return.
        per_second: tokens that return each second.
        burst: the most tokens that are saved up.
    """

    def __init__(self, clock: Clock, per_second: float, burst: int) -> None:
        """Makes a full bucket."""
        self._clock = clock
        self._per_second = per_second
        self._burst = burst
        self._tokens = float(burst)
        self._filled = clock.elapsed()

    def __repr__(self) -> str:
        """Returns the rate and the burst."""
        return f'CallBudget({self._per_second}/s, burst {self._burst})'

    async def acquire(self) -> bool:
        """Takes a token; returns whether the call had to wait for it."""
        self._fill()
        self._tokens -= 1
        if self._tokens >= 0:
            return False
        wait = timedelta(seconds=-self._tokens / self._per_second)
        try:
            await self._clock.sleep(wait)
        except asyncio.CancelledError:
            self._tokens += 1
            raise
        return True

    def _fill(self) -> None:
        now = self._clock.elapsed()
        gained = (now - self._filled).total_seconds() * self._per_second
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled = now
