"""Budgets for retries and for bytes sent between regions."""

from collections.abc import Iterable
from datetime import timedelta

from lycheedyke.clock import Clock

RETRY_FLOOR = 3
RETRY_BURST = 20
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
BURST_SECONDS = 0.25
SENDER_RETENTION = timedelta(hours=1)


class RetryBudget:
    """A token bucket for the retries of one service.

    Each first attempt adds a fraction of a token, and each retry uses one
    token. So at most `RETRY_FLOOR + share * first attempts` retries are
    allowed.
    """

    def __init__(self) -> None:
        """Initializes the budget with `RETRY_FLOOR` tokens."""
        self._tokens: float = RETRY_FLOOR

    def __repr__(self) -> str:
        """Returns the remaining tokens."""
        return f'<RetryBudget {self._tokens:.1f}>'

    def add_first_attempt(self, share: float) -> None:
        """Counts a first attempt.

        Args:
            share: the retries allowed for each first attempt.
        """
        self._tokens = min(RETRY_BURST, self._tokens + share)

    def acquire(self) -> bool:
        """Acquires a token for a retry, and returns whether one was left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ByteBudget:
    """A token bucket of bytes on the monotonic clock.

    In any period t it admits at most `rate * t` bytes, plus the burst and
    one message.

    Args:
        rate: the bytes per second.
        clock: the clock that fills the bucket.
    """

    def __init__(self, rate: float, clock: Clock) -> None:
        """Initializes a full bucket."""
        self._rate = rate
        self._burst = rate * BURST_SECONDS
        self._clock = clock
        self._tokens = self._burst
        self._filled = clock.elapsed()

    def __repr__(self) -> str:
        """Returns the rate."""
        return f'<ByteBudget of {self._rate:.0f} bytes/s>'

    def change_rate(self, rate: float) -> None:
        """Changes the rate, in bytes per second, from now on."""
        self._fill()
        self._rate = rate
        self._burst = rate * BURST_SECONDS
        self._tokens = min(self._tokens, self._burst)

    def acquire(self, size: int) -> timedelta | None:
        """Acquires bytes, or returns the time until they are available.

        A message larger than the burst is admitted when the bucket is full,
        and leaves the bucket with a negative balance.
        """
        self._fill()
        missing = min(size, self._burst) - self._tokens
        if missing > 0:
            return timedelta(seconds=missing / self._rate)
        self._tokens -= size
        return None

    def charge(self, size: int) -> None:
        """Charges bytes that must be sent; the balance may become negative."""
        self._fill()
        self._tokens -= size

    def _fill(self) -> None:
        now = self._clock.elapsed()
        passed = max(0, (now - self._filled).total_seconds())
        self._filled = now
        self._tokens = min(self._burst, self._tokens + self._rate * passed)


class RegionBudgets:
    """This instance's share of the bytes between its region and others.

    The budget of a pair of regions is divided evenly among all instances of
    the sending region that were seen within `SENDER_RETENTION`. Instances
    that are no longer seen count until then, as they may still be running
    and sending on the other side of a network partition.

    Args:
        region: the sending region.
        megabits_per_s: the budget of each pair of regions, in each
            direction.
        clock: the clock that fills the budgets.
    """

    def __init__(
        self,
        region: str,
        megabits_per_s: float,
        clock: Clock,
    ) -> None:
        """Initializes budgets for a single sender."""
        self.region = region
        self._total = megabits_per_s * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._clock = clock
        self._senders: dict[str, timedelta] = {}
        self._budgets: dict[str, ByteBudget] = {}

    def __repr__(self) -> str:
        """Returns the share in bytes per second."""
        return f'<RegionBudgets of {self.rate:.0f} bytes/s>'

    @property
    def rate(self) -> float:
        """This instance's share, in bytes per second."""
        return self._total / max(1, len(self._senders))

    def divide_among(self, senders: Iterable[str]) -> None:
        """Divides the budgets among the live instances of the region."""
        now = self._clock.elapsed()
        self._senders.update(dict.fromkeys(senders, now))
        self._senders = {
            name: seen
            for name, seen in self._senders.items()
            if now - seen < SENDER_RETENTION
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
