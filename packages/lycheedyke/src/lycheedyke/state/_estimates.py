"""Estimates how long a request takes at an upstream, and what that costs."""

import random
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import Route, Tenant
from lycheedyke.state._run_times import RunTimeStats
from lycheedyke.state._upstream_state import UpstreamState
from lycheedyke.state.placement import Location, rendezvous_hash

ZERO = timedelta()
MICROSECOND = timedelta(microseconds=1)
# Cold upstreams run requests at about half speed.
COLD_FACTOR = 2
# Smaller bodies take no time of the own link.
MIN_LARGE_BODY_BYTES = 32_768
BITS_PER_BYTE = 8
# The probability that an upstream knows an object: at its home in the pool of
# this instance, at an upstream to which this instance sent it recently, at its
# home in another pool, and at any other upstream.
KNOWN_AT_HOME = 1
KNOWN_RECENTLY = 0.9
KNOWN_AT_FAR_HOME = 0.5
KNOWN_ELSEWHERE = 0.1
# A run without a known object occupies slots that other requests need. This
# share of its extra time is added to its cost.
SLOT_COST_SHARE = 0.5


class Distances(NamedTuple):
    """The cost of sending a request to another zone, as time.

    Attributes:
        zone: the round trip to another zone of the region.
        region: the round trip to another region.
        zone_charge: the price of traffic between zones, as time.
        region_charge: the price of traffic between regions, as time.
        link_mbps: the bandwidth of this instance's own link; 0 if not known.
    """

    zone: timedelta = timedelta(milliseconds=1)
    region: timedelta = timedelta(milliseconds=70)
    zone_charge: timedelta = timedelta(milliseconds=60)
    region_charge: timedelta = timedelta(milliseconds=40)
    link_mbps: float = 0

    def send_time(self, body_bytes: int) -> timedelta:
        """Returns how long the own link takes for a large body."""
        if body_bytes <= MIN_LARGE_BODY_BYTES or not self.link_mbps:
            return ZERO
        return body_bytes * BITS_PER_BYTE / self.link_mbps * MICROSECOND


class Candidate(NamedTuple):
    """An upstream and the expected times of a request there.

    Attributes:
        state: the upstream.
        wait: the time until the upstream has a free slot.
        run: the run time of the request.
        round_trip: the round trip time, with that of a large body over the own
            link.
        known: the probability that the upstream knows the object.
        load: the estimated number of requests at the upstream.
    """

    state: UpstreamState
    wait: timedelta
    run: timedelta
    round_trip: timedelta
    known: float
    load: float

    @property
    def expected(self) -> timedelta:
        """The time until this instance has the answer."""
        return self.wait + self.run + self.round_trip

    @property
    def must_wait(self) -> bool:
        """Whether the request is expected to wait for a slot."""
        return self.load >= self.state.record.slots


class Request(NamedTuple):
    """The properties of a request that determine its upstream.

    Attributes:
        route: the route of the request.
        service: the service of the route that runs the request.
        object_key: the object that the request concerns, or ''.
        wait_share: the share of its spare time that the request may wait for
            a slot.
        tenant: the tenant that sent the request; None if it is not known.
        urgency: its priority, if slots are allocated between callers that
            compete; None without tenants.
        reserved_share: the share of an upstream's slots that are reserved for
            more urgent requests.
        body_bytes: the length of its body.
    """

    route: Route
    service: str
    object_key: str
    wait_share: float = 1
    tenant: Tenant | None = None
    urgency: float | None = None
    reserved_share: float = 0
    body_bytes: int = 0

    @property
    def is_urgent(self) -> bool:
        """Whether the service has no requests of a higher priority."""
        return self.wait_share >= 1

    @property
    def is_restricted(self) -> bool:
        """Whether its route or its tenant has homes."""
        of_tenant = self.tenant is not None and bool(self.tenant.homes)
        return of_tenant or bool(self.route.homes)

    def usable_slots(self, slots: int) -> int:
        """Returns how many slots of an upstream the request may use."""
        if not self.reserved_share:
            return slots
        return max(1, slots - max(1, round(slots * self.reserved_share)))

    def may_run_in(self, region: str) -> bool:
        """Returns whether a region is a home of both route and tenant."""
        homes = self.route.homes
        if homes and region not in homes:
            return False
        if self.tenant is None or not self.tenant.homes:
            return True
        return region in self.tenant.homes


class Estimator:
    """Estimates the times and costs of one request at upstreams.

    There may be hundreds of upstreams for each choice. So what is the same
    for all upstreams of a zone is computed once, costs are numbers, and only
    the cheapest upstream becomes a candidate.

    Args:
        request: the request.
        times: the run times of requests.
        location: the location of this instance.
        distances: the costs of other zones and regions.
        homes: the home of the request's object in each zone.
        now: the time of the choice.
        is_spread: whether the object is of no account. The load then decides
            among upstreams of the same cost, and chance among idle ones: by
            the hash, all instances would choose the same one.
    """

    def __init__(
        self,
        request: Request,
        times: RunTimeStats,
        location: Location,
        distances: Distances,
        homes: Mapping[str, str],
        now: timedelta,
        *,
        is_spread: bool = False,
    ) -> None:
        run_times = times.of_route(request.route, request.service)
        self._request = request
        self._object_key = '' if is_spread else request.object_key
        self._is_spread = is_spread
        self._location = location
        self._distances = distances
        self._homes = homes
        self._home = homes.get(location.zone)
        self._now = now
        self._cold = run_times.cold / MICROSECOND
        self._warm = run_times.warm / MICROSECOND
        self._mean = times.of_service(request.service) / MICROSECOND
        self._zone_costs: dict[str, float] = {}

    def cheapest(self, states: Sequence[UpstreamState]) -> Candidate | None:
        """Returns the upstream with the lowest cost, or None without any.

        Among upstreams of the same cost, the rendezvous hash decides, or the
        load if requests are spread.
        """
        if not states:
            return None
        costs = [self._cost(state) for state in states]
        least = min(costs)
        tied = [
            state
            for state, cost in zip(states, costs, strict=True)
            if cost == least
        ]
        if self._is_spread:
            return self._candidate(self._most_idle(tied))
        return self._candidate(max(tied, key=self._rank))

    def _most_idle(self, states: Sequence[UpstreamState]) -> UpstreamState:
        loads = [
            state.load_at(self._now) / state.record.slots for state in states
        ]
        least = min(loads)
        return random.choice(
            [
                state
                for state, load in zip(states, loads, strict=True)
                if load == least
            ]
        )

    def _rank(self, state: UpstreamState) -> int:
        return rendezvous_hash(self._object_key, state.record.name)

    def _candidate(self, state: UpstreamState) -> Candidate:
        known = self._known_probability(state)
        delay = state.delay_at(self._now)
        return Candidate(
            state,
            self._wait(state) * delay * MICROSECOND,
            self._run(state, known) * delay * MICROSECOND,
            self._round_trip(state.record.zone)
            + self._distances.send_time(self._request.body_bytes),
            known,
            state.load_at(self._now),
        )

    def _cost(self, state: UpstreamState) -> int:
        """Returns the cost in microseconds."""
        zone = state.record.zone
        cost = self._zone_costs.get(zone)
        if cost is None:
            cost = (self._round_trip(zone) + self._charge(zone)) / MICROSECOND
            self._zone_costs[zone] = cost
        delay = state.delay_at(self._now)
        run = self._run(state, self._known_probability(state)) * delay
        cost += self._wait(state) * delay + run
        if self._object_key:
            cost += (run - self._warm) * SLOT_COST_SHARE
        return round(cost)

    def _run(self, state: UpstreamState, known: float) -> float:
        """Returns the run time without the delay of the upstream."""
        run = self._cold - (self._cold - self._warm) * known
        if state.is_cold_at(self._now):
            run *= COLD_FACTOR
        return run

    def _wait(self, state: UpstreamState) -> float:
        """Returns the wait without the delay of the upstream."""
        slots = state.record.slots
        if self._request.reserved_share:
            slots = self._request.usable_slots(slots)
        ahead = state.load_at(self._now) - slots + 1
        if ahead <= 0:
            return 0
        return ahead / slots * self._mean

    def _known_probability(self, state: UpstreamState) -> float:
        if not self._object_key:
            return 0
        record = state.record
        if self._home == record.name:
            return KNOWN_AT_HOME
        if state.is_warm(self._object_key):
            return KNOWN_RECENTLY
        if self._homes.get(record.zone) == record.name:
            return KNOWN_AT_FAR_HOME
        return KNOWN_ELSEWHERE

    def _round_trip(self, zone: str) -> timedelta:
        if zone == self._location.zone:
            return ZERO
        if self._location.regions.get(zone) == self._location.region:
            return self._distances.zone
        return self._distances.region

    def _charge(self, zone: str) -> timedelta:
        if self._location.regions.get(zone) != self._location.region:
            return self._distances.region_charge
        if zone != self._location.zone:
            return self._distances.zone_charge
        return ZERO


def record_run_time(
    times: RunTimeStats,
    request: Request,
    candidate: Candidate,
    took: timedelta,
) -> None:
    """Records how long an answered request ran.

    Nothing is recorded if the request had to wait or the upstream is cold, as
    its time then says nothing about the run time. The reported pace is taken
    out of the run time, because estimates multiply by the pace at their time.

    Args:
        times: the run times to update.
        request: the request.
        candidate: the upstream at which it ran.
        took: the time from sending the request to the complete answer.
    """
    run = max(ZERO, took - candidate.round_trip)
    if candidate.must_wait or candidate.state.is_cold:
        return
    run = candidate.state.usual_run(run)
    run_times = times.of_route(request.route, request.service)
    was_known = run_times.record(run)
    candidate.state.record_slowness(
        run, run_times.warm if was_known else run_times.cold
    )
    times.record_service(request.service, run)
