"""The quotas of tenants, and what of them each issuer may issue."""

from datetime import timedelta
from typing import NamedTuple

# A rate below has an interval that is longer than any process runs.
MIN_QUOTA_RATE = 1e-6
MAX_PERMIT_LIFE = timedelta(seconds=5)
# Permits of issuers other than the first end within this time.
MAX_RESERVE_LIFE = timedelta(seconds=1)
# A schedule issues up to one permit more than its rate times a window, and up
# to four schedules issue at once: those of the first, second and third issuer,
# and one of a predecessor or an instance that reaches no issuer.
SCHEDULES_AT_ONCE = 4
# Half of the reserve is for the second issuer, a quarter for the third and for
# demoted ones, and a quarter for instances that reach none.
SECOND_SHARE = 0.5
THIRD_SHARE = 0.25
STATIC_SHARE = 0.25


class Quota(NamedTuple):
    """The quota of one tenant, over all instances together.

    Attributes:
        rate: the requests per second.
        burst: the requests that it may send beyond the rate.
    """

    rate: float
    burst: float = 0

    @property
    def interval(self) -> timedelta:
        """The time between two permits."""
        return interval_of(self.rate)


class QuotaBounds(NamedTuple):
    """How much a tenant may exceed its quota in a window.

    In any window of length W, a tenant of rate r and burst b gets at most
    (r * W + b) * (1 + over) + slack.

    Attributes:
        window: the length of the window.
        over: the share of the quota that may be exceeded.
        slack: the requests that may be exceeded in addition.
    """

    window: timedelta = timedelta(seconds=5)
    over: float = 0.1
    slack: float = 20

    def tolerance(self, quota: Quota) -> float:
        """Returns the requests of a window that may exceed the quota."""
        allowed = quota.rate * self.window.total_seconds() + quota.burst
        return max(1, self.over * allowed + self.slack - SCHEDULES_AT_ONCE)

    def permit_life(self, quota: Quota) -> timedelta:
        """Returns how long a permit of the first issuer is valid.

        The permits of a window and of one life before it may be used in it.
        """
        seconds = self.tolerance(quota) / (2 * max(quota.rate, MIN_QUOTA_RATE))
        longest = MAX_PERMIT_LIFE.total_seconds()
        return timedelta(seconds=min(seconds, longest))

    def reserve_rate(self, quota: Quota, share: float) -> float:
        """Returns the rate of those that issue from the tolerance.

        Args:
            quota: the quota.
            share: the part of the reserve, such as `SECOND_SHARE`.
        """
        seconds = (self.window + self.reserve_life(quota)).total_seconds()
        return share * self.tolerance(quota) / (2 * seconds)

    def reserve_life(self, quota: Quota) -> timedelta:
        """Returns how long a permit issued from the tolerance is valid."""
        return min(MAX_RESERVE_LIFE, self.permit_life(quota))


def interval_of(rate: float) -> timedelta:
    """Returns the time between two permits of a rate per second."""
    return max(
        timedelta(microseconds=1),
        timedelta(seconds=1 / max(rate, MIN_QUOTA_RATE)),
    )


def reserve_share(rank: int) -> float:
    """Returns the part of the reserve of an issuer that is not the first.

    Args:
        rank: its rank; zero for the first one, while it is demoted.
    """
    return SECOND_SHARE if rank == 1 else THIRD_SHARE
