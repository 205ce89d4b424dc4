"""Chooses the upstream at which a request is expected to end first.

Answers the pattern of a service whose upstreams run known objects several
times faster: requests for one object meet at one upstream of each zone, and
leave it only when waiting there costs more than running cold elsewhere.
"""

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

import xxhash

from lycheedyke.protocol import Route
from lycheedyke.state._fleet import Fleet, UpstreamState
from lycheedyke.state._warmup import WarmupPace, turn_period
from lycheedyke.state._worktimes import WorkTimes

ZERO = timedelta()
_NONE = (-1, '')
# Cold upstreams work at about half speed.
COLD_FACTOR = 2
# How likely an upstream knows an object: where the requests of the own pool
# meet, where this instance sent it lately, where the requests of another pool
# meet, and anywhere else.
KNOWN_AT_HOME = 1
KNOWN_LATELY = 0.9
KNOWN_AT_FAR_HOME = 0.5
KNOWN_ELSEWHERE = 0.1
# Fewer upstreams can't keep the objects of a zone's callers known; the zones
# of a region that have fewer form one pool.
LEAST_POOL = 3
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
        known: how likely the object is known there.
        trip: the part of `expected` that is the round trip.
        load: the requests that it was taken to hold.
        crowding: what a long run costs the requests of others.
    """

    state: UpstreamState
    expected: timedelta
    known: float
    trip: timedelta
    load: float
    crowding: timedelta = ZERO

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
        homes: Mapping[str, str] = {}
        if request.thing:
            homes = self._homes(request.thing, candidates)
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
        own = self._times.of(request.route, request.service)
        known = self._known(request, state, homes)
        run = own.cold - (own.cold - own.warm) * known
        if state.is_cold:
            run *= COLD_FACTOR
        run *= state.slowness
        load = state.load
        trip = self._trip(state.record.zone)
        return Pick(
            state,
            self._wait(request, state, load) + run + trip,
            known,
            trip,
            load,
            (run - own.warm) * CROWDING if request.thing else ZERO,
        )

    def _wait(
        self,
        request: Request,
        state: UpstreamState,
        load: float,
    ) -> timedelta:
        slots = state.record.slots
        ahead = max(0, load - slots + 1)
        mean = self._times.of_service(request.service)
        return ahead / slots * mean * state.slowness

    def _known(
        self,
        request: Request,
        state: UpstreamState,
        homes: Mapping[str, str],
    ) -> float:
        if not request.thing:
            return 0
        record = state.record
        is_home = homes.get(record.zone) == record.name
        if is_home and homes.get(self._place.zone) == record.name:
            return KNOWN_AT_HOME
        if state.is_warm(request.thing):
            return KNOWN_LATELY
        return KNOWN_AT_FAR_HOME if is_home else KNOWN_ELSEWHERE

    def _homes(
        self,
        thing: str,
        states: Sequence[UpstreamState],
    ) -> dict[str, str]:
        """Returns where requests for an object meet, by zone.

        The zones of a pool name the same upstream.
        """
        sizes = Counter(state.record.zone for state in states)
        best: dict[str, tuple[int, str]] = {}
        for state in states:
            name = state.record.name
            pool = self._pool(state.record.zone, sizes)
            best[pool] = max((_point(thing, name), name), best.get(pool, _NONE))
        return {
            zone: best[pool][1]
            for zone in self._place.regions
            if (pool := self._pool(zone, sizes)) in best
        }

    def _pool(self, zone: str, sizes: Mapping[str, int]) -> str:
        if sizes.get(zone, 0) >= LEAST_POOL:
            return zone
        return self._place.regions.get(zone, zone)

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
        return pick.expected + pick.crowding + charge, -rank


def learn(
    times: WorkTimes,
    request: Request,
    pick: Pick,
    took: timedelta,
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
    was_known = own.learn(run)
    pick.state.compare(run, own.warm if was_known else own.cold)
    times.learn_service(request.service, run)


def _point(thing: str, upstream: str) -> int:
    return xxhash.xxh64_intdigest(f'{thing} {upstream}'.encode())
