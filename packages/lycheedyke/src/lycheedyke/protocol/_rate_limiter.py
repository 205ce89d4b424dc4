"""A rate limiter for calls to the platform."""

import asyncio
from datetime import timedelta

from lycheedyke.clock import Clock


class RateLimiter:
    """A token bucket; a call without a token waits for one.

    Args:
        clock: measures the time in which tokens are added.
        per_second: tokens that are added each second.
        burst: the capacity of the bucket, in tokens.
    """

    def __init__(self, clock: Clock, per_second: float, burst: int) -> None:
        """Initializes a full bucket."""
        self._clock = clock
        self._per_second = per_second
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at = clock.elapsed()

    def __repr__(self) -> str:
        """Returns the rate and the burst."""
        return f'CallBudget({self._per_second}/s, burst {self._burst})'

    async def acquire(self) -> bool:
        """Acquires a token; returns whether the call had to wait for it."""
        self._refill()
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

    def _refill(self) -> None:
        now = self._clock.elapsed()
        added = (now - self._filled_at).total_seconds() * self._per_second
        self._tokens = min(self._burst, self._tokens + added)
        self._filled_at = now
