"""Issues the permits of tenants, within their quotas."""

import math
from collections import OrderedDict
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.state._bounded import keep_recent
from lycheedyke.state._warmup_limiter import WarmupLimiter
from lycheedyke.state.rates._quota_messages import QuotaAsk, QuotaGrant
from lycheedyke.state.rates._quotas import (
    STATIC_SHARE,
    Quota,
    QuotaBounds,
    interval_of,
    reserve_share,
)
from lycheedyke.state.rates._schedule import HORIZON, RateSchedule
from lycheedyke.state.rates._send_limits import MILLISECOND, ZERO

MAX_SCHEDULES = 2048
MAX_BATCH = 200
# The time over which the use of a quota is smoothed.
USE_TIME = timedelta(seconds=2)
# A tenant whose quota is used up is asked for so often at most, by all
# instances together.
MAX_ASKS_PER_S = 100
MIN_WAIT = timedelta(milliseconds=50)
MAX_WAIT = timedelta(seconds=1)


class _TenantSchedule(RateSchedule):
    """The permits of one tenant.

    Attributes:
        version: the configuration that the quota is from.
        quota: the quota.
        askers: when each instance asked last.
    """

    def __init__(self, free_at: timedelta) -> None:
        super().__init__(free_at)
        self.version = 0
        self.quota = Quota(0)
        self.askers: dict[str, timedelta] = {}
        self._arrived: float = 0
        self._as_of = ZERO

    def count_askers(self, instance: str, now: timedelta) -> int:
        """Records an asker; returns how many have asked of late."""
        self.askers[instance] = now
        self.askers = {
            name: asked
            for name, asked in self.askers.items()
            if now - asked < USE_TIME
        }
        return len(self.askers)

    def measure_use(self, arrived: int, now: timedelta) -> float:
        """Returns the requests per second over the quota, smoothed."""
        age = (now - self._as_of) / USE_TIME
        self._arrived = self._arrived * math.exp(-age) + arrived
        self._as_of = now
        per_s = self._arrived / USE_TIME.total_seconds()
        return per_s * self.interval.total_seconds()


class QuotaIssuer:
    """Issues permits, evenly spaced, to the instances that ask for them.

    Args:
        name: the name of this instance.
        incarnation: the id of this run of the process.
        bounds: how much a tenant may exceed its quota.
        clock: the clock of the permits.
    """

    def __init__(
        self, name: str, incarnation: str, bounds: QuotaBounds, clock: Clock
    ) -> None:
        """Initializes without tenants."""
        self._incarnation = incarnation
        self._bounds = bounds
        self._clock = clock
        self._full: OrderedDict[str, _TenantSchedule] = OrderedDict()
        self._reserve: OrderedDict[str, _TenantSchedule] = OrderedDict()
        self._own_share = WarmupLimiter(name, clock)

    def __repr__(self) -> str:
        """Returns the number of tenants whose quotas it issues."""
        return f'<QuotaIssuer of {len(self._full)} tenants>'

    def __contains__(self, tenant: str) -> bool:
        """Returns whether this instance issues the quota of a tenant."""
        return tenant in self._full

    def take_over(self, tenant: str, quota: Quota, version: int) -> None:
        """Begins to issue the quota of a tenant, without burst.

        The first permit becomes valid one horizon later, as a predecessor may
        have issued permits until then.
        """
        now = self._clock.elapsed()
        schedule = self._full.get(tenant)
        if schedule is None:
            schedule = _TenantSchedule(now + HORIZON)
            keep_recent(self._full, tenant, schedule, MAX_SCHEDULES)
        if version >= schedule.version:
            schedule.version = version
            schedule.quota = quota
            schedule.change(quota.interval, quota.burst, now)

    def release(self, tenant: str) -> None:
        """Ends the schedule of a tenant that another instance issues."""
        self._full.pop(tenant, None)

    def issue(self, instance: str, ask: QuotaAsk) -> QuotaGrant:
        """Returns permits of the quota of a tenant.

        Args:
            instance: the instance that asks.
            ask: its question; the newest configuration that any instance
                knows sets the quota.
        """
        now = self._clock.elapsed()
        self.take_over(ask.tenant, ask.quota, ask.version)
        schedule = self._full[ask.tenant]
        if ask.returned_to == self._incarnation:
            schedule.restore(ask.returned, now)
        sharing = schedule.count_askers(instance, now)
        use = schedule.measure_use(ask.arrived, now)
        wanted = min(ask.wanted, MAX_BATCH)
        starts = schedule.take(wanted, now)
        wait = ZERO
        if len(starts) < wanted or schedule.free_at > now + HORIZON:
            spread = timedelta(seconds=sharing / MAX_ASKS_PER_S)
            soonest = schedule.free_at - now - HORIZON
            wait = max(MIN_WAIT, min(MAX_WAIT, max(spread, soonest)))
        return QuotaGrant(
            ask.tenant,
            self._incarnation,
            _to_ms(starts),
            self._bounds.permit_life(schedule.quota) // MILLISECOND,
            wait // MILLISECOND,
            use,
        )

    def issue_reserve(self, ask: QuotaAsk, rank: int) -> QuotaGrant:
        """Returns permits within the tolerance, while another is the first.

        Args:
            ask: the question.
            rank: the rank of this instance for the tenant.
        """
        now = self._clock.elapsed()
        schedule = self._reserve.get(ask.tenant) or _TenantSchedule(now)
        keep_recent(self._reserve, ask.tenant, schedule, MAX_SCHEDULES)
        rate = self._bounds.reserve_rate(ask.quota, reserve_share(rank))
        schedule.change(interval_of(rate), 0, now)
        starts = schedule.take(min(ask.wanted, 1), now)
        wait = min(MAX_WAIT, max(MIN_WAIT, schedule.free_at - now - HORIZON))
        return QuotaGrant(
            ask.tenant,
            self._incarnation,
            _to_ms(starts),
            self._bounds.reserve_life(ask.quota) // MILLISECOND,
            wait // MILLISECOND,
        )

    def issue_own_share(self, ask: QuotaAsk, instances: int) -> QuotaGrant:
        """Returns the permits of an instance that reaches no issuer.

        Args:
            ask: what the instance would ask.
            instances: the number of instances that may be in the same state.
        """
        rate = self._bounds.reserve_rate(ask.quota, STATIC_SHARE)
        period = interval_of(rate) * max(1, instances)
        starts: tuple[int, ...] = ()
        if self._own_share.is_due(ask.tenant, period):
            self._own_share.acquire(ask.tenant, period)
            starts = (0,)
        return QuotaGrant(
            ask.tenant,
            '',
            starts,
            self._bounds.reserve_life(ask.quota) // MILLISECOND,
            MIN_WAIT // MILLISECOND,
        )


def _to_ms(starts: list[timedelta]) -> tuple[int, ...]:
    return tuple(start // MILLISECOND for start in starts)
