"""Chooses the upstream at which a request is expected to end first.

Answers the pattern of a service whose upstreams run known objects several
times faster: requests for one object meet at one upstream of each zone, and
leave it only when waiting there costs more than running cold elsewhere.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

import xxhash

from lycheedyke.protocol import Route
from lycheedyke.state._fleet import Fleet, UpstreamState
from lycheedyke.state._warmup import WarmupPace, turn_period
from lycheedyke.state._worktimes import RunTimes, WorkTimes

ZERO = timedelta()
# Cold upstreams work at about half speed.
COLD_FACTOR = 2


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


class Place(NamedTuple):
    """A zone, its region, and the regions of all zones."""

    zone: str
    region: str
    regions: Mapping[str, str]


class Pick(NamedTuple):
    """An upstream, and what is expected there.

    Attributes:
        state: the upstream.
        expected: the time until the answer is here.
        is_warm: whether the object is expected to be known there.
        trip: the part of `expected` that is the round trip.
        load: the requests that it was taken to hold.
    """

    state: UpstreamState
    expected: timedelta
    is_warm: bool
    trip: timedelta
    load: float

    @property
    def waits(self) -> bool:
        """Whether the request is expected to wait for a slot."""
        return self.load >= self.state.record.slots


class Request(NamedTuple):
    """What the choice needs to know of a request."""

    route: Route
    service: str
    thing: str


class UpstreamChoice:
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
        fleet: Fleet,
        times: WorkTimes,
        place: Place,
        distances: Distances,
        pace: WarmupPace,
        *,
        cold_rate: Callable[[str], float],
        instances: Callable[[], int],
    ) -> None:
        """Makes a choice over the parts of one instance."""
        self._fleet = fleet
        self._times = times
        self._place = place
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
    ) -> Pick | None:
        """Returns the best upstream, or None if there is none.

        Args:
            request: what is to run.
            passed_over: names of upstreams that are not to be chosen.
        """
        candidates = [
            state
            for state in self._fleet.usable(request.service)
            if state.record.name not in passed_over
            and self._is_home(request.route, state)
        ]
        homes = _homes(request.thing, candidates) if request.thing else {}
        picks = [
            self._judge(request, state, homes)
            for state in candidates
            if self._may_send(state)
        ]
        if not picks:
            return None
        return min(picks, key=lambda pick: self._cost(request, pick))

    def take_turn(self, state: UpstreamState) -> None:
        """Uses the turn at an upstream, if it is cold."""
        if state.is_cold:
            self._pace.take(state.record.name, self._period(state))

    def _may_send(self, state: UpstreamState) -> bool:
        if not state.is_cold:
            self._pace.forget(state.record.name)
            return True
        return self._pace.is_due(state.record.name, self._period(state))

    def _period(self, state: UpstreamState) -> timedelta:
        rate = self._cold_rate(state.record.service)
        return turn_period(self._instances(), rate)

    def _is_home(self, route: Route, state: UpstreamState) -> bool:
        if not route.homes:
            return True
        return self._place.regions.get(state.record.zone, '') in route.homes

    def _judge(
        self,
        request: Request,
        state: UpstreamState,
        homes: Mapping[str, str],
    ) -> Pick:
        record = state.record
        is_warm = not request.thing or (
            homes.get(record.zone) == record.name
            or state.is_warm(request.thing)
        )
        own = self._times.of(request.route, request.service)
        run = own.warm if is_warm and request.thing else own.cold
        if state.is_cold:
            run *= COLD_FACTOR
        run *= state.slowness
        load = state.load
        ahead = load - record.slots + 1
        wait = ZERO
        if ahead > 0:
            others = self._times.of_service(request.service)
            wait = ahead / record.slots * others * state.slowness
        trip = self._trip(record.zone)
        return Pick(state, wait + run + trip, is_warm, trip, load)

    def _trip(self, zone: str) -> timedelta:
        if zone == self._place.zone:
            return ZERO
        if self._place.regions.get(zone) == self._place.region:
            return self._distances.zone
        return self._distances.region

    def _cost(self, request: Request, pick: Pick) -> tuple[timedelta, int]:
        zone = pick.state.record.zone
        charge = ZERO
        if self._place.regions.get(zone) != self._place.region:
            charge = self._distances.region_charge
        elif zone != self._place.zone:
            charge = self._distances.zone_charge
        rank = _point(request.thing, pick.state.record.name)
        return pick.expected + charge, rank


def learn(
    times: WorkTimes, request: Request, pick: Pick, took: timedelta
) -> None:
    """Takes in how long an answered request took.

    Args:
        times: what is learned.
        request: the request.
        pick: where it ran.
        took: the time from the sending to the whole answer.
    """
    run = max(ZERO, took - pick.trip)
    if pick.waits or pick.state.is_cold:
        return
    own = times.of(request.route, request.service)
    pick.state.compare(run, _expected(own, request, pick))
    is_warm = pick.is_warm and bool(request.thing)
    own.learn(run, is_warm=is_warm)
    times.learn_service(request.service, run)


def _expected(own: RunTimes, request: Request, pick: Pick) -> timedelta:
    return own.warm if pick.is_warm and request.thing else own.cold


def _homes(thing: str, states: Iterable[UpstreamState]) -> dict[str, str]:
    """Returns the upstream of each zone at which requests for a thing meet."""
    best: dict[str, tuple[int, str]] = {}
    for state in states:
        name = state.record.name
        ranked = (_point(thing, name), name)
        zone = state.record.zone
        if zone not in best or ranked > best[zone]:
            best[zone] = ranked
    return {zone: name for zone, (_, name) in best.items()}


def _point(thing: str, upstream: str) -> int:
    return xxhash.xxh64_intdigest(f'{thing} {upstream}'.encode())
