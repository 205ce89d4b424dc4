"""Budgets of retries, and of bytes between regions."""

from collections.abc import Iterable
from datetime import timedelta

from lycheedyke.clock import Clock

RETRY_FLOOR = 3
RETRY_BURST = 20
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
BURST_SECONDS = 0.25
SENDER_MEMORY = timedelta(hours=1)


class RetryBudget:
    """Tokens for the retries of one service.

    Each first attempt adds a share of a token, each retry takes one. So there
    are at most `RETRY_FLOOR + share * first attempts` retries.
    """

    def __init__(self) -> None:
        """Makes a budget that holds the floor."""
        self._tokens: float = RETRY_FLOOR

    def __repr__(self) -> str:
        """Returns the tokens left."""
        return f'<RetryBudget {self._tokens:.1f}>'

    def add_first_attempt(self, share: float) -> None:
        """Counts a first attempt.

        Args:
            share: retries allowed for each first attempt.
        """
        self._tokens = min(RETRY_BURST, self._tokens + share)

    def acquire(self) -> bool:
        """Takes a token for a retry; returns whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ByteBudget:
    """A token bucket of bytes on the monotonic clock.

    In any time t it lets through at most `rate * t`, its burst, and one
    message more.

    Args:
        rate: bytes per second.
        clock: the time.
    """

    def __init__(self, rate: float, clock: Clock) -> None:
        """Makes a full bucket."""
        self._rate = rate
        self._burst = rate * BURST_SECONDS
        self._clock = clock
        self._tokens = self._burst
        self._filled = clock.elapsed()

    def __repr__(self) -> str:
        """Returns the rate."""
        return f'<ByteBudget of {self._rate:.0f} bytes/s>'

    def change_rate(self, rate: float) -> None:
        """Sets the rate from now on, in bytes per second."""
        self._fill()
        self._rate = rate
        self._burst = rate * BURST_SECONDS
        self._tokens = min(self._tokens, self._burst)

    def acquire(self, size: int) -> timedelta | None:
        """Takes bytes, or returns the time until that is possible.

        A message above the burst passes a full bucket and leaves a debt.
        """
        self._fill()
        missing = min(size, self._burst) - self._tokens
        if missing > 0:
            return timedelta(seconds=missing / self._rate)
        self._tokens -= size
        return None

    def charge(self, size: int) -> None:
        """Takes bytes that must be sent, if need be as a debt."""
        self._fill()
        self._tokens -= size

    def _fill(self) -> None:
        now = self._clock.elapsed()
        passed = max(0, (now - self._filled).total_seconds())
        self._filled = now
        self._tokens = min(self._burst, self._tokens + self._rate * passed)


class RegionBudgets:
    """This instance's part of the bytes between its region and others.

    The budget of a pair of regions is divided evenly among all instances of
    the sending region heard within `SENDER_MEMORY`. Those not heard any more
    count on, as they may only be cut off from here.

    Args:
        region: the sending region.
        megabits_per_s: the budget of each pair of regions, each way.
        clock: the time.
    """

    def __init__(
        self,
        region: str,
        megabits_per_s: float,
        clock: Clock,
    ) -> None:
        """Makes budgets for a single sender."""
        self.region = region
        self._total = megabits_per_s * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._clock = clock
        self._senders: dict[str, timedelta] = {}
        self._budgets: dict[str, ByteBudget] = {}

    def __repr__(self) -> str:
        """Returns the part in bytes per second."""
        return f'<RegionBudgets of {self.rate:.0f} bytes/s>'

    @property
    def rate(self) -> float:
        """This instance's part, in bytes per second."""
        return self._total / max(1, len(self._senders))

    def divide_among(self, senders: Iterable[str]) -> None:
        """Divides the budgets among the live instances of the region."""
        now = self._clock.elapsed()
        self._senders.update(dict.fromkeys(senders, now))
        self._senders = {
            name: heard
            for name, heard in self._senders.items()
            if now - heard < SENDER_MEMORY
        }
        for budget in self._budgets.values():
            budget.change_rate(self.rate)

    def for_region(self, region: str) -> ByteBudget:
        """Returns the budget of the bytes sent to a region."""
        budget = self._budgets.get(region)
        if budget is None:
            budget = ByteBudget(self.rate, self._clock)
            self._budgets[region] = budget
        return budget
