"""The limits that upstreams name: requests per second from all instances."""

import math
from datetime import timedelta
from typing import NamedTuple

import msgspec

ZERO = timedelta()
MILLISECOND = timedelta(milliseconds=1)
# No upstream of a deployment takes so many requests per second.
MAX_RATE = 10_000
# The end of a limit that a peer tells may be older than it says by the time on
# the way.
NEWS_MARGIN = timedelta(milliseconds=100)
# After the end of a limit, the share doubles once in this time.
RECOVERY_STEP = timedelta(seconds=1)
MIN_SHARE = 1 / 16
RECOVERY_TIME = RECOVERY_STEP * math.log2(1 / MIN_SHARE)


class LimitNotUnderstood(ValueError):
    """A limit is no decimal number, or news of one are out of range."""


class SendLimit(NamedTuple):
    """What is known of the limit of one upstream.

    Attributes:
        rate: the requests per second that it takes from all instances; None
            without a limit.
        as_of: when that was known to hold, on the monotonic clock.
        ended_rate: the last limit, if it has ended.
    """

    rate: float | None = None
    as_of: timedelta = ZERO
    ended_rate: float | None = None

    def merge(self, other: 'SendLimit') -> 'SendLimit':
        """Returns the newer of both; of two at the same time, the limit."""
        if other.as_of < self.as_of:
            return self
        if other.rate is None:
            if self.rate is None or other.as_of == self.as_of:
                return self
            return other._replace(ended_rate=self.rate)
        return other

    def share(self, full_rate: float, now: timedelta) -> float:
        """Returns the share of its normal load that an upstream takes.

        The share recovers step by step after the end of the limit.

        Args:
            full_rate: the requests per second that it could run without one.
            now: the time on the monotonic clock.
        """
        rate = self.ended_rate if self.rate is None else self.rate
        if rate is None:
            return 1
        share = min(1, max(MIN_SHARE, rate / max(full_rate, MIN_SHARE)))
        if self.rate is None:
            share *= 2.0 ** max(0, (now - self.as_of) // RECOVERY_STEP)
        return min(1, share)

    def is_settled(self, now: timedelta) -> bool:
        """Returns whether there is no limit, and was none of late."""
        if self.rate is not None:
            return False
        return self.ended_rate is None or now - self.as_of > RECOVERY_TIME


NO_LIMIT = SendLimit()


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """What one instance tells another of the limit of an upstream.

    Attributes:
        upstream: the name of the upstream.
        incarnation: its incarnation.
        rate: the limit in requests per second; None if it has ended.
        age_ms: the time since that was known to hold, in ms.
    """

    upstream: str
    incarnation: str
    rate: float | None
    age_ms: int

    def read(self, now: timedelta) -> SendLimit:
        """Returns the limit, with the time from which it was known to hold.

        Args:
            now: the time on the monotonic clock of this instance.

        Raises:
            LimitNotUnderstood: the limit or its age are out of range.
        """
        is_rate = self.rate is None or 0 <= self.rate < MAX_RATE
        if self.age_ms < 0 or not is_rate:
            raise LimitNotUnderstood(f'limit {self.rate} of {self.upstream!r}')
        as_of = now - min(self.age_ms, now // MILLISECOND) * MILLISECOND
        if self.rate is None:
            as_of = max(ZERO, as_of - NEWS_MARGIN)
        return SendLimit(self.rate, as_of)


def home_weight(share: float) -> float:
    """Returns the weight of an upstream as the home of objects.

    Instances estimate the share differently, and must agree on homes. The
    weight is a power of two, and twice the share at least, as not every
    request for an object of the upstream finds a permit there.

    Args:
        share: the share of its normal load that the upstream takes.
    """
    return min(1, 2.0 ** math.ceil(math.log2(2 * max(share, MIN_SHARE))))
