"""Chooses the upstream at which a request is expected to end first.

Answers the pattern of a service whose upstreams run known objects several
times faster: requests for one object meet at one upstream of each pool, and
go elsewhere only where that one can't have them.
"""

from collections.abc import Callable, Collection, Mapping
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import Route
from lycheedyke.state._pools import Location, Pools, point
from lycheedyke.state._run_times import RunTimeStats
from lycheedyke.state._upstreams import UpstreamState, UpstreamTable
from lycheedyke.state._warmup_limiter import WarmupLimiter, permit_interval

ZERO = timedelta()
# Cold upstreams work at about half speed.
COLD_FACTOR = 2
# How likely an upstream knows an object: at its home in the own pool, where
# this instance sent it lately, at its home in another pool, and elsewhere.
KNOWN_AT_HOME = 1
KNOWN_LATELY = 0.9
KNOWN_AT_FAR_HOME = 0.5
KNOWN_ELSEWHERE = 0.1
# A run without the object takes slots from others for so much of the time
# by which it is longer.
CROWDING = 0.5


class Distances(NamedTuple):
    """What it costs to send a request away, as time.

    Attributes:
        zone: the round trip to another zone of the region.
        region: the round trip to another region.
        zone_charge: the price of bytes between zones, as time.
        region_charge: the price of bytes between regions, as time.
    """

    zone: timedelta = timedelta(milliseconds=1)
    region: timedelta = timedelta(milliseconds=70)
    zone_charge: timedelta = timedelta(milliseconds=60)
    region_charge: timedelta = timedelta(milliseconds=40)


class Candidate(NamedTuple):
    """An upstream, and what is expected there.

    Attributes:
        state: the upstream.
        wait: the time until it has a free slot.
        run: the time that it then needs.
        round_trip: the round trip.
        known: how likely the object is known there.
        load: the requests that it was taken to hold.
    """

    state: UpstreamState
    wait: timedelta
    run: timedelta
    round_trip: timedelta
    known: float
    load: float

    @property
    def expected(self) -> timedelta:
        """The time until the answer is here."""
        return self.wait + self.run + self.round_trip

    @property
    def must_wait(self) -> bool:
        """Whether the request is expected to wait for a slot."""
        return self.load >= self.state.record.slots


class Request(NamedTuple):
    """What the choice needs to know of a request.

    Attributes:
        route: its route.
        service: the part of the route that runs it.
        object_key: the object that it concerns, or ''.
        wait_share: the share of its spare time that it may wait for a slot.
    """

    route: Route
    service: str
    object_key: str
    wait_share: float = 1


class UpstreamSelector:
    """Compares the upstreams of a service for one request.

    Args:
        fleet: the upstreams.
        times: how long requests run.
        place: where this instance stands.
        distances: what it costs to send away.
        pace: the turns at cold upstreams.
        cold_rate: returns the requests per second that a cold upstream of a
            service bears from all instances together.
        instances: returns the most instances that may send.
    """

    def __init__(
        self,
        fleet: UpstreamTable,
        times: RunTimeStats,
        place: Location,
        distances: Distances,
        pace: WarmupLimiter,
        *,
        cold_rate: Callable[[str], float],
        instances: Callable[[], int],
    ) -> None:
        """Makes a choice over the parts of one instance."""
        self._fleet = fleet
        self._times = times
        self._place = place
        self._pools = Pools(place.regions)
        self._distances = distances
        self._pace = pace
        self._cold_rate = cold_rate
        self._instances = instances

    def __repr__(self) -> str:
        """Returns the zone."""
        return f'<UpstreamChoice in {self._place.zone}>'

    def choose(
        self,
        request: Request,
        passed_over: Collection[str] = (),
    ) -> Candidate | None:
        """Returns the best upstream, or None if there is none.

        An upstream that is no home of the object gets it only if there is no
        home: it would take the place of several known ones, and what is
        known of its load is old.

        Args:
            request: what is to run.
            passed_over: names of upstreams that are not to be chosen.
        """
        candidates = [
            state
            for state in self._fleet.usable(request.service)
            if state.record.name not in passed_over
            and self._may_run(request.route, state)
        ]
        homes: Mapping[str, str] = {}
        if request.object_key:
            homes = self._pools.homes(request.object_key, candidates)
        ready = [state for state in candidates if self._may_send(state)]
        home = homes.get(self._place.zone)
        fitting = [state for state in ready if state.record.name == home]
        return min(
            (self._judge(request, state, homes) for state in fitting or ready),
            key=lambda pick: self._cost(request, pick),
            default=None,
        )

    def acquire_permit(self, state: UpstreamState) -> None:
        """Uses the turn at an upstream, if it is cold."""
        if state.is_cold:
            self._pace.acquire(state.record.name, self._period(state))

    def _may_send(self, state: UpstreamState) -> bool:
        if not state.is_cold:
            self._pace.forget(state.record.name)
            return True
        return self._pace.is_due(state.record.name, self._period(state))

    def _period(self, state: UpstreamState) -> timedelta:
        rate = self._cold_rate(state.record.service)
        return permit_interval(self._instances(), rate)

    def _may_run(self, route: Route, state: UpstreamState) -> bool:
        if not route.homes:
            return True
        return self._place.regions.get(state.record.zone, '') in route.homes

    def _judge(
        self,
        request: Request,
        state: UpstreamState,
        homes: Mapping[str, str],
    ) -> Candidate:
        record = state.record
        own = self._times.of_route(request.route, request.service)
        known = self._known(request, state, homes)
        run = own.cold - (own.cold - own.warm) * known
        if state.is_cold:
            run *= COLD_FACTOR
        load = state.load
        return Candidate(
            state,
            self._wait(request.service, state, load),
            run * state.slowness,
            self._trip(record.zone),
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

    def _known(
        self,
        request: Request,
        state: UpstreamState,
        homes: Mapping[str, str],
    ) -> float:
        if not request.object_key:
            return 0
        record = state.record
        if homes.get(self._place.zone) == record.name:
            return KNOWN_AT_HOME
        if state.is_warm(request.object_key):
            return KNOWN_LATELY
        if homes.get(record.zone) == record.name:
            return KNOWN_AT_FAR_HOME
        return KNOWN_ELSEWHERE

    def _trip(self, zone: str) -> timedelta:
        if zone == self._place.zone:
            return ZERO
        if self._place.regions.get(zone) == self._place.region:
            return self._distances.zone
        return self._distances.region

    def _cost(self, request: Request, pick: Candidate) -> tuple[timedelta, int]:
        zone = pick.state.record.zone
        charge = ZERO
        if self._place.regions.get(zone) != self._place.region:
            charge = self._distances.region_charge
        elif zone != self._place.zone:
            charge = self._distances.zone_charge
        if request.object_key:
            own = self._times.of_route(request.route, request.service)
            charge += (pick.run - own.warm) * CROWDING
        rank = point(request.object_key, pick.state.record.name)
        return pick.expected + charge, -rank


def record_run_time(
    times: RunTimeStats,
    request: Request,
    pick: Candidate,
    took: timedelta,
) -> None:
    """Takes in how long an answered request took.

    Args:
        times: what is learned.
        request: the request.
        pick: where it ran.
        took: the time from the sending to the whole answer.
    """
    run = max(ZERO, took - pick.round_trip)
    if pick.must_wait or pick.state.is_cold:
        return
    own = times.of_route(request.route, request.service)
    was_known = own.record(run)
    pick.state.record_slowness(run, own.warm if was_known else own.cold)
    times.record_service(request.service, run)
