"""Decides who gets a slot while the callers of a service compete for it."""

import random
from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.protocol import Reason
from lycheedyke.state._bounded import keep_recent
from lycheedyke.state._counters import Counters
from lycheedyke.state._estimates import Candidate, Request
from lycheedyke.state._goal_admission import (
    MAX_RETRY_AFTER,
    estimate_retry_after,
    is_admissible,
)
from lycheedyke.state._run_times import RunTimeStats
from lycheedyke.state.fairness._minimum_share import Claim, MinimumShare
from lycheedyke.state.fairness._tenant_use import (
    FixedUse,
    TenantShares,
    TenantUse,
)
from lycheedyke.state.fairness._urgent_demand import UrgentDemand

ZERO = timedelta()
MAX_SERVICES = 64
# How long a refusal or a wait counts as contention.
CONTENTION_TIME = timedelta(seconds=1.5)
# How long a request that could still end in its goal, and had to wait or was
# refused, keeps free slots from those that can't.
USEFUL_TIME = timedelta(seconds=1)
# Less urgent requests come back over this many times the usual time.
LESS_URGENT_SPREAD = 2.0


class _Offer(NamedTuple):
    """A request and the upstream that it may get.

    Attributes:
        request: the request.
        candidate: the upstream.
        spare: the time to the goal that the run leaves for waiting.
        part: the part of its tenant's requests that is within its share.
    """

    request: Request
    candidate: Candidate
    spare: timedelta
    part: float

    @property
    def is_free(self) -> bool:
        """Whether the upstream has a free slot that the request may use."""
        slots = self.candidate.state.record.slots
        return self.candidate.load < self.request.usable_slots(slots)

    @property
    def claim(self) -> Claim:
        """The claim to a guaranteed part.

        The part of a route is not for tenants that exceed their share.
        """
        claim = _claim_of(self.request)
        return claim if self.part >= 1 else claim._replace(kind='')


class _Service:
    """What this instance knows of one service."""

    def __init__(self, tenant_use: TenantUse) -> None:
        self.demand = UrgentDemand()
        self.shares = TenantShares(tenant_use)
        self.minimum = MinimumShare()
        self.contended_until = ZERO
        self.useful_until = ZERO

    def record_contention(self, offer: _Offer, now: timedelta) -> None:
        """Records that a request has to wait or is refused."""
        self.contended_until = now + CONTENTION_TIME
        if offer.part < 1 or offer.spare < ZERO:
            # Others give way neither to a tenant above its share nor to a
            # request that is late anyhow.
            return
        self.useful_until = now + USEFUL_TIME
        if offer.candidate.must_wait:
            self.demand.record_wait(offer.request.urgency, now)


def _find_reason(
    service: _Service, offer: _Offer, now: timedelta
) -> Reason | None:
    """Returns the first criterion that refuses a request, if any."""
    request = offer.request
    may_wait = offer.spare * request.wait_share
    wait = offer.candidate.wait
    if offer.is_free:
        if offer.spare < ZERO and now < service.useful_until:
            return Reason.too_late
    elif _must_keep_out(service, offer, now):
        return Reason.slots_reserved
    elif wait > may_wait:
        return Reason.no_room
    is_waiting_less = wait > max(ZERO, may_wait) * offer.part
    is_drawn = offer.part < 1 and random.random() > offer.part
    return Reason.over_share if is_waiting_less or is_drawn else None


def _must_keep_out(service: _Service, offer: _Offer, now: timedelta) -> bool:
    """Returns whether reserved slots are kept free, not only waited for."""
    request = offer.request
    slots = offer.candidate.state.record.slots
    if request.usable_slots(slots) == slots:
        return False
    is_waiting = service.demand.is_urgent_waiting(request.urgency, now)
    return is_waiting or offer.candidate.must_wait


class SlotAllocation:
    """Allocates the slots of upstreams between competing requests.

    The criteria apply in order: the priority of the request, whether its
    response can still be of use to the caller, and the tenant's use of its
    share. What they refuse is admitted all the same where a kind of request
    or a tenant would get less than its guaranteed part.

    Args:
        clock: the time source.
        counters: counts the decisions.
        tenant_use: tells how much of their quotas tenants use.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        tenant_use: TenantUse | None = None,
    ) -> None:
        """Initializes without services."""
        self._clock = clock
        self._counters = counters
        self._tenant_use = tenant_use or FixedUse()
        self._services: OrderedDict[str, _Service] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of services."""
        return f'<SlotAllocation of {len(self._services)} services>'

    def record_arrival(self, request: Request, times: RunTimeStats) -> Request:
        """Records a request; returns it with the slots that it may use.

        Args:
            request: the request.
            times: the run times of requests.
        """
        if request.urgency is None:
            return request
        now = self._clock.elapsed()
        service = self._service(request.service)
        run_times = times.of_route(request.route, request.service)
        run = run_times.warm if request.object_key else run_times.cold
        service.demand.record(request.urgency, run.total_seconds(), now)
        if request.tenant is not None:
            service.shares.record(request.tenant, now)
        service.minimum.record_arrival(_claim_of(request), now)
        return request._replace(
            reserved_share=service.demand.reserved_share(request.urgency, now)
        )

    def judge(
        self, request: Request, candidate: Candidate, waited: timedelta
    ) -> Reason | None:
        """Returns why an upstream does not get a request; None if it does.

        Args:
            request: the request.
            candidate: the upstream to which it would be sent.
            waited: the time since the request arrived.
        """
        if request.urgency is None:
            is_admitted = is_admissible(request, candidate, waited)
            return None if is_admitted else Reason.no_room
        service = self._service(request.service)
        now = self._clock.elapsed()
        spare = request.route.goal - waited - candidate.run
        offer = _Offer(
            request,
            candidate,
            spare - candidate.round_trip,
            self._fair_part(service, request, now),
        )
        reason = _find_reason(service, offer, now)
        if reason is not None or candidate.must_wait:
            service.record_contention(offer, now)
        if reason is not None and service.minimum.is_due(offer.claim):
            self._counters.count('allocation.guaranteed')
            reason = None
        if reason is None:
            service.minimum.record_admission(_claim_of(request), now)
        return reason

    def record_not_run(self, request: Request) -> None:
        """Records that no upstream ran a request that was admitted."""
        if request.urgency is not None:
            service = self._service(request.service)
            service.minimum.return_admission(_claim_of(request))

    def retry_after(
        self,
        request: Request,
        candidate: Candidate | None,
        reason: Reason | None,
    ) -> timedelta:
        """Returns when a refused request is to come back.

        Args:
            request: the request.
            candidate: the upstream to which it would have been sent, if any.
            reason: why that upstream does not get it.
        """
        wait = estimate_retry_after(request, candidate)
        is_first = request.is_urgent and reason is not Reason.over_share
        if request.urgency is None or is_first:
            return wait
        wait *= random.uniform(1, LESS_URGENT_SPREAD)
        return min(MAX_RETRY_AFTER, wait)

    def _fair_part(
        self, service: _Service, request: Request, now: timedelta
    ) -> float:
        """Returns the part of a tenant's requests that are admitted."""
        if request.tenant is None or now >= service.contended_until:
            return 1
        part = service.shares.fair_part(request.tenant, now)
        if part < 1:
            self._counters.count('allocation.over-share')
        return part

    def _service(self, name: str) -> _Service:
        found = self._services.get(name) or _Service(self._tenant_use)
        return keep_recent(self._services, name, found, MAX_SERVICES)


def _claim_of(request: Request) -> Claim:
    tenant = '' if request.tenant is None else request.tenant.name
    return Claim(request.route.name, tenant)
