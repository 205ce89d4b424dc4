"""Selects the upstream at which a request is expected to finish first.

Upstreams run requests for objects that they know several times faster. So
the requests for one object are sent to one upstream of each pool, its home,
and to other upstreams only if the home cannot get them.
"""

from collections.abc import Callable, Collection, Mapping
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import Route
from lycheedyke.state._pools import Location, Pools, rendezvous_hash
from lycheedyke.state._run_times import RunTimeStats
from lycheedyke.state._upstreams import UpstreamState, UpstreamTable
from lycheedyke.state._warmup_limiter import WarmupLimiter, permit_interval

ZERO = timedelta()
# Cold upstreams run requests at about half speed.
COLD_FACTOR = 2
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
    """

    zone: timedelta = timedelta(milliseconds=1)
    region: timedelta = timedelta(milliseconds=70)
    zone_charge: timedelta = timedelta(milliseconds=60)
    region_charge: timedelta = timedelta(milliseconds=40)


class Candidate(NamedTuple):
    """An upstream and the expected times of a request there.

    Attributes:
        state: the upstream.
        wait: the time until the upstream has a free slot.
        run: the run time of the request.
        round_trip: the round trip time.
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
    """

    route: Route
    service: str
    object_key: str
    wait_share: float = 1


class UpstreamSelector:
    """Selects the upstream of a service for each request.

    Args:
        upstreams: the upstreams.
        times: the run times of requests.
        location: the location of this instance.
        distances: the costs of other zones and regions.
        limiter: issues the send permits of cold upstreams.
        cold_rate: returns the requests per second that a cold upstream of a
            service can handle from all instances together.
        instances: returns the maximum number of instances that may send.
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        times: RunTimeStats,
        location: Location,
        distances: Distances,
        limiter: WarmupLimiter,
        *,
        cold_rate: Callable[[str], float],
        instances: Callable[[], int],
    ) -> None:
        """Initializes the selector of one instance."""
        self._upstreams = upstreams
        self._times = times
        self._location = location
        self._pools = Pools(location.regions)
        self._distances = distances
        self._limiter = limiter
        self._cold_rate = cold_rate
        self._instances = instances

    def __repr__(self) -> str:
        """Returns the zone."""
        return f'<UpstreamSelector in {self._location.zone}>'

    def choose(
        self,
        request: Request,
        excluded: Collection[str] = (),
    ) -> Candidate | None:
        """Returns the upstream with the lowest cost, or None if none is usable.

        If the object has a home in the pool of this instance, and the home
        may get the request, no other upstream is considered: there the object
        would evict several known objects, and the load information on other
        upstreams is older.

        Args:
            request: the request to send.
            excluded: the names of upstreams that must not be chosen.
        """
        candidates = [
            state
            for state in self._upstreams.usable(request.service)
            if state.record.name not in excluded
            and self._may_run(request.route, state)
        ]
        homes: Mapping[str, str] = {}
        if request.object_key:
            homes = self._pools.homes(request.object_key, candidates)
        ready = [state for state in candidates if self._may_send(state)]
        home = homes.get(self._location.zone)
        at_home = [state for state in ready if state.record.name == home]
        return min(
            (
                self._evaluate(request, state, homes)
                for state in at_home or ready
            ),
            key=lambda candidate: self._cost(request, candidate),
            default=None,
        )

    def acquire_permit(self, state: UpstreamState) -> None:
        """Acquires the send permit of an upstream, if it is cold."""
        if state.is_cold:
            self._limiter.acquire(state.record.name, self._period(state))

    def _may_send(self, state: UpstreamState) -> bool:
        if not state.is_cold:
            self._limiter.forget(state.record.name)
            return True
        return self._limiter.is_due(state.record.name, self._period(state))

    def _period(self, state: UpstreamState) -> timedelta:
        rate = self._cold_rate(state.record.service)
        return permit_interval(self._instances(), rate)

    def _may_run(self, route: Route, state: UpstreamState) -> bool:
        if not route.homes:
            return True
        return self._location.regions.get(state.record.zone, '') in route.homes

    def _evaluate(
        self,
        request: Request,
        state: UpstreamState,
        homes: Mapping[str, str],
    ) -> Candidate:
        record = state.record
        run_times = self._times.of_route(request.route, request.service)
        known = self._known_probability(request, state, homes)
        run = run_times.cold - (run_times.cold - run_times.warm) * known
        if state.is_cold:
            run *= COLD_FACTOR
        load = state.load
        return Candidate(
            state,
            self._wait(request.service, state, load),
            run * state.slowness,
            self._round_trip(record.zone),
            known,
            load,
        )

    def _wait(
        self,
        service: str,
        state: UpstreamState,
        load: float,
    ) -> timedelta:
        slots = state.record.slots
        ahead = max(0, load - slots + 1)
        mean = self._times.of_service(service)
        return ahead / slots * mean * state.slowness

    def _known_probability(
        self,
        request: Request,
        state: UpstreamState,
        homes: Mapping[str, str],
    ) -> float:
        if not request.object_key:
            return 0
        record = state.record
        if homes.get(self._location.zone) == record.name:
            return KNOWN_AT_HOME
        if state.is_warm(request.object_key):
            return KNOWN_RECENTLY
        if homes.get(record.zone) == record.name:
            return KNOWN_AT_FAR_HOME
        return KNOWN_ELSEWHERE

    def _round_trip(self, zone: str) -> timedelta:
        if zone == self._location.zone:
            return ZERO
        if self._location.regions.get(zone) == self._location.region:
            return self._distances.zone
        return self._distances.region

    def _cost(
        self, request: Request, candidate: Candidate
    ) -> tuple[timedelta, int]:
        zone = candidate.state.record.zone
        charge = ZERO
        if self._location.regions.get(zone) != self._location.region:
            charge = self._distances.region_charge
        elif zone != self._location.zone:
            charge = self._distances.zone_charge
        if request.object_key:
            run_times = self._times.of_route(request.route, request.service)
            charge += (candidate.run - run_times.warm) * SLOT_COST_SHARE
        rank = rendezvous_hash(request.object_key, candidate.state.record.name)
        return candidate.expected + charge, -rank


def record_run_time(
    times: RunTimeStats,
    request: Request,
    candidate: Candidate,
    took: timedelta,
) -> None:
    """Records how long an answered request ran.

    Nothing is recorded if the request had to wait or the upstream is cold, as
    its time then says nothing about the run time.

    Args:
        times: the run times to update.
        request: the request.
        candidate: the upstream at which it ran.
        took: the time from sending the request to the complete answer.
    """
    run = max(ZERO, took - candidate.round_trip)
    if candidate.must_wait or candidate.state.is_cold:
        return
    run_times = times.of_route(request.route, request.service)
    was_known = run_times.record(run)
    candidate.state.record_slowness(
        run, run_times.warm if was_known else run_times.cold
    )
    times.record_service(request.service, run)
