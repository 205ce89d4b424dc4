"""The model of load, with tenants that compete for the slots of a service.

The kinds of requests, tenants and bursts are those of the page on competing
load. An instance decides with the product's `SlotAllocation`, or as without
tenants, for comparison.
"""

from collections import Counter, defaultdict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import Reason, Tenant
from lycheedyke.state import Candidate, Counters, Request, wait_share_of
from lycheedyke.state.fairness import FixedUse, SlotAllocation
from standins.load_model import (
    CALLER_ROUND_TRIP,
    REGION_ROUND_TRIP,
    SERVICE,
    Load,
    LoadModel,
    RequestKind,
    _Entry,
    _PendingRequest,
)
from standins.records import make_route

USE_SECONDS = 2.0
QUOTA_FACTOR = 1.6


class Burst(NamedTuple):
    """A period in which more requests arrive; times are in seconds.

    Attributes:
        kind: the kind of requests, or '' for all.
        tenant: the tenant, or '' for all.
        factor: how many times as many arrive.
        start: when it begins.
        length: how long it lasts.
    """

    kind: str
    tenant: str
    factor: float
    start: float
    length: float

    def factor_at(self, kind: str, tenant: str, now: float) -> float:
        """Returns the factor of the arrivals of a kind and tenant."""
        is_meant = self.kind in {'', kind} and self.tenant in {'', tenant}
        is_on = self.start <= now < self.start + self.length
        return self.factor if is_meant and is_on else 1


class Competition(NamedTuple):
    """The callers that compete.

    Attributes:
        tenants: the number of tenants; each sends equally much.
        bursts: the bursts.
        is_fair: whether instances allocate slots, as they do with tenants.
        is_use_known: whether they know the use of quotas.
        since: only requests that arrive after this many seconds are counted.
        until: only requests that arrive before this are counted.
    """

    tenants: int = 20
    bursts: tuple[Burst, ...] = ()
    is_fair: bool = True
    is_use_known: bool = False
    since: float = 0
    until: float = float('inf')


BURST_START = 8.0
BURST_SECONDS = 6.0
# The worth of late responses, of 1 within the goal.
PREMIUM_LATE = 0.29 / 3.6
COURSE_LATE = 0.19 / 0.95
LARGE_TENANT = 't-0'
COURSE_BURST = Burst('course', '', 2.6, BURST_START, BURST_SECONDS)
TENANT_BURST = Burst('', LARGE_TENANT, 7.5, BURST_START, BURST_SECONDS)


def make_competing_load(instances: int = 7) -> Load:
    """Returns premium tiles and course packs at the upstreams of a service.

    Args:
        instances: the number of instances in each of six zones.
    """
    course = RequestKind('course', 84.5 / 6, 0.6, 0.824, 4.944, 42, priority=1)
    premium = RequestKind('premium', 139 / 6, 0.308, 0.362, 2.17, 69)
    upstreams = {
        'pnw-a': 7,
        'pnw-b': 6,
        'mt-a': 1,
        'mt-b': 2,
        'nc-a': 6,
        'nc-b': 5,
    }
    return Load(
        (course, premium),
        upstreams,
        seconds=BURST_START + BURST_SECONDS,
        entries=instances,
        known_objects=19,
    )


class Tally(NamedTuple):
    """Numbers of requests by kind or tenant."""

    requested: Counter[str]
    served: Counter[str]
    in_goal: Counter[str]

    def served_share(self, name: str) -> float:
        """Returns the share that was answered."""
        return self.served[name] / max(1, self.requested[name])

    def in_goal_share(self, name: str) -> float:
        """Returns the share that was answered within the goal."""
        return self.in_goal[name] / max(1, self.requested[name])

    def earned_share(self, name: str, late_worth: float) -> float:
        """Returns the share of the worth, of 1 within the goal, that was earned."""
        late = self.served[name] - self.in_goal[name]
        earned = self.in_goal[name] + late * late_worth
        return earned / max(1, self.requested[name])

    @property
    def total_served_share(self) -> float:
        """The share of all requests that was answered."""
        return self.served.total() / max(1, self.requested.total())


def make_tally() -> Tally:
    """Returns a tally without requests."""
    return Tally(Counter(), Counter(), Counter())


class CompetitionResult(NamedTuple):
    """The results by kind, by tenant, and by both, as 'kind tenant'."""

    kinds: Tally
    tenants: Tally
    counts: Counter[str]


class _KnownUse:
    """The use of each tenant's quota, as grants report it."""

    def __init__(self, rate: float) -> None:
        self._quota = rate * QUOTA_FACTOR
        self._rates: dict[str, tuple[float, float]] = {}

    def use(self, name: str) -> float | None:
        """Returns the use, smoothed over `USE_SECONDS`."""
        found = self._rates.get(name)
        return None if found is None else found[0] / self._quota

    def record(self, name: str, now: float) -> None:
        """Records a request."""
        rate, last = self._rates.get(name, (0.0, now))
        kept = max(0.0, 1 - (now - last) / USE_SECONDS)
        self._rates[name] = (rate * kept + 1 / USE_SECONDS, now)


class ContentionModel(LoadModel):
    """One run of the model with competing callers.

    Args:
        load: the requests and the upstreams.
        competition: the tenants and their bursts.
        seed: the seed of all random numbers.
    """

    def __init__(
        self, load: Load, competition: Competition, seed: int = 1
    ) -> None:
        """Creates the instances and the tenants."""
        super().__init__(load, seed)
        self._competition = competition
        self._tenants = [
            Tenant(f't-{number}', ()) for number in range(competition.tenants)
        ]
        rate = sum(kind.per_s for kind in load.kinds) * len(load.upstreams)
        self._use = _KnownUse(rate / competition.tenants)
        self._kinds = make_tally()
        self._by_tenant = make_tally()
        self._allocation_counts = Counters()
        self._allocations: defaultdict[int, SlotAllocation] = defaultdict(
            self._make_allocation
        )

    def run_competition(self) -> CompetitionResult:
        """Runs the model; returns the results by kind and by tenant."""
        self.run()
        return CompetitionResult(
            self._kinds, self._by_tenant, self._allocation_counts.counts
        )

    def _make_allocation(self) -> SlotAllocation:
        return SlotAllocation(
            self._clock,
            self._allocation_counts,
            self._use if self._competition.is_use_known else FixedUse(),
        )

    def _schedule_arrival(
        self, zone: str, kind: RequestKind, after: float
    ) -> None:
        # Arrivals of the highest rate are thinned to that of each moment.
        peak = 1.0
        for burst in self._competition.bursts:
            peak *= burst.factor
        at = after + self._rng.expovariate(kind.per_s * peak)
        if at >= self._load.seconds:
            return
        tenant = self._rng.choice(self._tenants)
        factor = 1.0
        for burst in self._competition.bursts:
            factor *= burst.factor_at(kind.name, tenant.name, at)
        if self._rng.random() < factor / peak:
            self._schedule(
                at, lambda: self._arrive_from(zone, kind, at, tenant)
            )
        else:
            self._schedule(at, lambda: self._schedule_arrival(zone, kind, at))

    def _arrive_from(
        self, zone: str, kind: RequestKind, now: float, tenant: Tenant
    ) -> None:
        self._schedule_arrival(zone, kind, now)
        region = self._regions[zone]
        entry = self._entries[self._rng.choice(self._lists[zone])]
        route = make_route(
            f'/{kind.name}/',
            goal=timedelta(seconds=kind.goal),
            timeout=timedelta(seconds=kind.timeout),
            priority=kind.priority,
        )
        round_trip = CALLER_ROUND_TRIP
        if region != entry.region:
            round_trip += REGION_ROUND_TRIP
        request = Request(
            route,
            SERVICE,
            f'{region} {kind.name} {self._rng.randrange(kind.objects)}',
            wait_share_of(kind.priority),
            tenant,
            urgency=kind.priority if self._competition.is_fair else None,
        )
        if self._is_counted(now):
            self._kinds.requested[kind.name] += 1
            self._by_tenant.requested[tenant.name] += 1
        self._send(
            _PendingRequest(
                kind, request, entry, round_trip, now, is_retry=False
            )
        )

    def _is_counted(self, arrived: float) -> bool:
        return self._competition.since <= arrived < self._competition.until

    def _allocation(self, entry: _Entry) -> SlotAllocation:
        return self._allocations[id(entry)]

    def _send(self, pending: _PendingRequest) -> None:
        if not self._competition.is_fair:
            super()._send(pending)
            return
        now = self._clock.elapsed().total_seconds() - self._start
        if pending.request.tenant is not None:
            self._use.record(pending.request.tenant.name, now)
        allocation = self._allocation(pending.entry)
        request = allocation.record_arrival(
            pending.request, pending.entry.run_times
        )
        pending = pending._replace(request=request)
        candidate = pending.entry.selector.choose(request)
        reason = candidate and allocation.judge(request, candidate, timedelta())
        if candidate is None or reason is not None:
            self._refuse_here(pending, candidate, now, reason)
            return
        candidate.state.begin_request(request.object_key)
        hop = candidate.round_trip.total_seconds() / 2
        self._schedule(
            now + hop, lambda: self._arrive_at_upstream(pending, candidate, now)
        )

    def _refuse(
        self, pending: _PendingRequest, candidate: Candidate | None, now: float
    ) -> None:
        if self._competition.is_fair:
            self._allocation(pending.entry).record_not_run(pending.request)
            self._refuse_here(pending, candidate, now)
        else:
            super()._refuse(pending, candidate, now)

    def _refuse_here(
        self,
        pending: _PendingRequest,
        candidate: Candidate | None,
        now: float,
        reason: Reason | None = None,
    ) -> None:
        if pending.is_retry:
            super()._refuse(pending, candidate, now)
            return
        wait = self._allocation(pending.entry).retry_after(
            pending.request, candidate, reason
        )
        retry = pending._replace(is_retry=True)
        self._schedule(
            now + pending.round_trip + wait.total_seconds(),
            lambda: self._send(retry),
        )

    def _end(
        self, pending: _PendingRequest, candidate: Candidate, sent: float
    ) -> None:
        super()._end(pending, candidate, sent)
        now = self._clock.elapsed().total_seconds() - self._start
        hop = candidate.round_trip.total_seconds() / 2
        if not self._is_counted(pending.first_sent):
            return
        elapsed = now + hop + pending.round_trip - pending.first_sent
        tenant = pending.request.tenant
        names = (pending.kind.name, tenant.name if tenant else '')
        for tally, name in zip(
            (self._kinds, self._by_tenant), names, strict=True
        ):
            tally.served[name] += 1
            if elapsed <= pending.kind.goal:
                tally.in_goal[name] += 1
