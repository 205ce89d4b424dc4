"""The permits that an instance holds for one tenant, and its demand."""

import bisect
import math
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.state.rates._quota_messages import QuotaAsk, QuotaGrant
from lycheedyke.state.rates._quotas import Quota, QuotaBounds
from lycheedyke.state.rates._send_limits import MILLISECOND, ZERO

# The time over which demand is measured.
DEMAND_TIME = timedelta(seconds=1)
# Permits are asked for ahead of need for so long.
PREFETCH_TIME = timedelta(milliseconds=500)
# Requests and unused permits are reported within this time.
REPORT_INTERVAL = timedelta(seconds=1)
# An account without requests for so long is dropped.
IDLE_TIME = timedelta(seconds=10)
# An instance knows of an issuer for so long after its answer.
ANSWER_RETENTION = timedelta(seconds=1)


class QuotaPermit(NamedTuple):
    """The right to run one request of a tenant.

    Attributes:
        starts: from when it is valid, on the monotonic clock.
        ends: until when it is valid.
        issuer: the incarnation of its issuer; empty for the own share.
    """

    starts: timedelta
    ends: timedelta
    issuer: str


class QuotaAccount:
    """The permits of one tenant at this instance.

    Args:
        tenant: the name of the tenant.
        bounds: how much a tenant may exceed its quota.

    Attributes:
        quota: the quota in force.
        version: the configuration that it is from.
        waiting: the number of requests that wait for a permit.
        is_asking: whether an answer is due.
    """

    def __init__(self, tenant: str, bounds: QuotaBounds) -> None:
        """Initializes without permits."""
        self.quota = Quota(0)
        self.version = 0
        self.waiting = 0
        self.is_asking = False
        self._tenant = tenant
        self._bounds = bounds
        self._permits: list[QuotaPermit] = []
        self._demand: float = 0
        self._seen_at = ZERO
        self._arrived = 0
        self._returned = 0
        self._returned_to = ''
        self._ask_at = ZERO
        self._asked_at = ZERO
        self._answered_at: timedelta | None = None

    def __repr__(self) -> str:
        """Returns the number of permits."""
        return f'<QuotaAccount of {self._tenant}: {len(self._permits)} permits>'

    def record_arrival(
        self, quota: Quota, version: int, now: timedelta
    ) -> None:
        """Records a request of the tenant, and the quota in force."""
        self.quota = quota
        self.version = version
        age = (now - self._seen_at) / DEMAND_TIME
        self._demand = self._demand * math.exp(-age) + 1
        self._seen_at = now
        self._arrived += 1

    def take(self, now: timedelta) -> QuotaPermit | None:
        """Takes a permit that is valid now."""
        self._drop_ended(now)
        if self._permits and self._permits[0].starts <= now:
            return self._permits.pop(0)
        return None

    def give_back(self, permit: QuotaPermit) -> None:
        """Takes back a permit for a request that did not run."""
        bisect.insort(self._permits, permit)

    def next_start(self, now: timedelta) -> timedelta | None:
        """Returns when a permit that is held becomes valid, if any is."""
        self._drop_ended(now)
        return self._permits[0].starts if self._permits else None

    def count_permits(self, now: timedelta) -> int:
        """Returns the number of permits that have not ended."""
        self._drop_ended(now)
        return len(self._permits)

    def time_to_ask(self) -> timedelta:
        """Returns from when permits may be asked for."""
        return self._ask_at

    def knows_issuer(self, now: timedelta) -> bool:
        """Returns whether an issuer has answered of late."""
        answered = self._answered_at
        return answered is not None and now - answered < ANSWER_RETENTION

    def is_idle(self, now: timedelta) -> bool:
        """Returns whether the account holds nothing of use."""
        return now - self._seen_at > IDLE_TIME and not self.waiting

    def count_wanted(self, now: timedelta) -> int:
        """Returns the number of permits to ask for.

        Permits are asked for ahead only where a request is likely to come in
        their life. Others would keep them from it.
        """
        self._drop_ended(now)
        ahead = min(PREFETCH_TIME, self._bounds.permit_life(self.quota))
        target = math.floor(self._per_s(now) * ahead.total_seconds())
        missing = self.waiting + target - len(self._permits)
        if self.waiting or missing > target / 2:
            return max(0, missing)
        return 0

    def must_ask(self, now: timedelta) -> bool:
        """Returns whether to ask the issuer now."""
        if self.is_asking:
            return False
        if now >= self._ask_at and self.count_wanted(now):
            return True
        is_due = now - self._asked_at >= REPORT_INTERVAL
        return is_due and bool(self._arrived or self._returned)

    def ask(self, now: timedelta) -> QuotaAsk:
        """Returns the question to the issuer, and begins to wait for it."""
        wanted = self.count_wanted(now) if now >= self._ask_at else 0
        ask = QuotaAsk(
            self._tenant,
            self.version,
            self.quota.rate,
            self.quota.burst,
            wanted,
            self._arrived,
            self._returned,
            self._returned_to,
        )
        self.is_asking = True
        self._asked_at = now
        self._arrived = 0
        # The issuer may have taken them back although no answer comes, so
        # they are returned once.
        self._returned = 0
        return ask

    def handle_failure(self, ask: QuotaAsk) -> None:
        """Ends the wait for an issuer that has not answered."""
        self.is_asking = False
        self._arrived += ask.arrived

    def add(
        self, grant: QuotaGrant, asked_at: timedelta, now: timedelta
    ) -> None:
        """Adds the permits that were issued.

        Args:
            grant: the permits.
            asked_at: when this instance asked. The permits end as if they had
                been issued then.
            now: the time.
        """
        self.is_asking = False
        self._ask_at = now + grant.wait_ms * MILLISECOND
        if grant.issuer:
            self._answered_at = now
        life = grant.life_ms * MILLISECOND
        for start_ms in grant.starts_ms:
            start = start_ms * MILLISECOND
            permit = QuotaPermit(
                now + start, asked_at + start + life, grant.issuer
            )
            bisect.insort(self._permits, permit)

    def _per_s(self, now: timedelta) -> float:
        age = (now - self._seen_at) / DEMAND_TIME
        return self._demand * math.exp(-age) / DEMAND_TIME.total_seconds()

    def _drop_ended(self, now: timedelta) -> None:
        """Drops permits that have ended, to be returned to their issuer."""
        while self._permits and self._permits[0].ends <= now:
            issuer = self._permits.pop(0).issuer
            if issuer != self._returned_to:
                self._returned = 0
                self._returned_to = issuer
            self._returned += 1
