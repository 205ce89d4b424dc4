"""Decides who gets a slot while the callers of a service compete for it."""

import random
from collections import OrderedDict
from datetime import timedelta

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
from lycheedyke.state.fairness._minimum_share import MinimumShare
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


class _Service:
    """What this instance knows of one service."""

    def __init__(self, tenant_use: TenantUse) -> None:
        self.demand = UrgentDemand()
        self.shares = TenantShares(tenant_use)
        self.minimum = MinimumShare()
        self.contended_until = ZERO
        self.useful_until = ZERO


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
        service.shares.record(_tenant_of(request), now)
        service.minimum.record_arrival(_names(request), now)
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
        spare -= candidate.round_trip
        reason = self._find_reason(service, request, candidate, spare)
        self._record_contention(service, request, candidate, reason, spare)
        if reason is not None and service.minimum.is_due(_names(request)):
            self._counters.count('allocation.guaranteed')
            reason = None
        if reason is None:
            service.minimum.record_admission(_names(request), now)
        return reason

    def record_not_run(self, request: Request) -> None:
        """Records that no upstream ran a request that was admitted."""
        if request.urgency is not None:
            service = self._service(request.service)
            service.minimum.return_admission(_names(request))

    def retry_after(
        self, request: Request, candidate: Candidate | None
    ) -> timedelta:
        """Returns when a refused request is to come back.

        Args:
            request: the request.
            candidate: the upstream to which it would have been sent, if any.
        """
        wait = estimate_retry_after(request, candidate)
        if request.urgency is None or request.is_urgent:
            return wait
        wait *= random.uniform(1, LESS_URGENT_SPREAD)
        return min(MAX_RETRY_AFTER, wait)

    def _find_reason(
        self,
        service: _Service,
        request: Request,
        candidate: Candidate,
        spare: timedelta,
    ) -> Reason | None:
        now = self._clock.elapsed()
        slots = candidate.state.record.slots
        usable = request.usable_slots(slots)
        is_contended = now < service.contended_until
        part = 1.0
        if is_contended:
            part = service.shares.fair_part(_tenant_of(request), now)
        if candidate.load < usable:
            if spare < ZERO and now < service.useful_until:
                return Reason.too_late
            if part < 1 and random.random() > part:
                return Reason.over_share
            return None
        if usable < slots and service.demand.is_urgent_waiting(
            request.urgency, now
        ):
            return Reason.slots_reserved
        if candidate.wait <= spare * request.wait_share * part:
            return None
        if candidate.wait <= spare * request.wait_share:
            return Reason.over_share
        return Reason.no_room

    def _record_contention(
        self,
        service: _Service,
        request: Request,
        candidate: Candidate,
        reason: Reason | None,
        spare: timedelta,
    ) -> None:
        if reason is None and not candidate.must_wait:
            return
        now = self._clock.elapsed()
        service.contended_until = now + CONTENTION_TIME
        if request.urgency is not None and (
            candidate.must_wait or reason is Reason.no_room
        ):
            service.demand.record_wait(request.urgency, now)
        if spare >= ZERO:
            service.useful_until = now + USEFUL_TIME

    def _service(self, name: str) -> _Service:
        found = self._services.get(name) or _Service(self._tenant_use)
        return keep_recent(self._services, name, found, MAX_SERVICES)


def _tenant_of(request: Request) -> str:
    return '' if request.tenant is None else request.tenant.name


def _names(request: Request) -> tuple[str, ...]:
    kind = f'route {request.route.name}'
    if request.tenant is None:
        return (kind,)
    return (kind, f'tenant {request.tenant.name}')
