"""Selects the upstream at which a request is expected to finish first.

Upstreams run requests for objects that they know several times faster. So
the requests for one object are sent to one upstream of each pool, its home,
and to other upstreams only if the home cannot get them.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import RouteKind
from lycheedyke.state._estimates import (
    Candidate,
    Distances,
    Estimator,
    Request,
)
from lycheedyke.state._run_times import RunTimeStats
from lycheedyke.state._upstream_state import UpstreamState
from lycheedyke.state._upstreams import UpstreamTable
from lycheedyke.state._warmup_limiter import WarmupLimiter, permit_interval
from lycheedyke.state.placement import Location, Placement, Pools
from lycheedyke.state.rates._send_limits import NO_LIMIT, home_weight
from lycheedyke.state.rates._send_permits import PermitBook, SendPermit

# When a body that fits nowhere may come back.
BODY_WAIT = timedelta(milliseconds=250)


class Hold(NamedTuple):
    """What keeps a request from all upstreams of its service.

    Attributes:
        wait: the time until one may get the request.
        is_limit: whether that one has named a limit; it paused otherwise.
        is_full: whether that one only has too many bytes of bodies in flight.
    """

    wait: timedelta
    is_limit: bool
    is_full: bool = False


class PermitSources(NamedTuple):
    """Where the permits to send to some upstreams come from.

    Attributes:
        cold: issues those of cold upstreams.
        limited: holds those of upstreams that have named a limit.
        max_body_bytes: the bytes of the bodies that this instance may have in
            flight to one upstream; 0 for no bound.
    """

    cold: WarmupLimiter
    limited: PermitBook
    max_body_bytes: int = 0


class UpstreamSelector:
    """Selects the upstream of a service for each request.

    Args:
        upstreams: the upstreams.
        times: the run times of requests.
        location: the location of this instance.
        distances: the costs of other zones and regions.
        permits: the permits to send to cold and limited upstreams.
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
        permits: PermitSources,
        *,
        cold_rate: Callable[[str], float],
        instances: Callable[[], int],
    ) -> None:
        """Initializes the selector of one instance."""
        self._upstreams = upstreams
        self._times = times
        self._location = location
        self._pools = Pools(location.regions)
        self._placement = Placement(1, self._pools, location.zone)
        self._distances = distances
        self._limiter = permits.cold
        self._permits = permits.limited
        self._max_body_bytes = permits.max_body_bytes
        self._cold_rate = cold_rate
        self._instances = instances

    def __repr__(self) -> str:
        """Returns the zone."""
        return f'<UpstreamSelector in {self._location.zone}>'

    def set_max_homes(self, max_homes: int) -> None:
        """Sets the maximum number of homes of an object in a pool.

        Args:
            max_homes: the number; 1 leaves each object at its first home, 0
                gives it none.
        """
        self._placement = Placement(max_homes, self._pools, self._location.zone)

    def choose(
        self,
        request: Request,
        excluded: Collection[str] = (),
    ) -> Candidate | None:
        """Returns the upstream with the lowest cost, or None if none is usable.

        If the object has a home in the pool of this instance, and the home
        may get the request, no other upstream is considered: there the object
        would evict several known objects, and the load information on other
        upstreams is older. Popular objects have several homes, and the load
        decides among these.

        Args:
            request: the request to send.
            excluded: the names of upstreams that must not be chosen.
        """
        if not excluded:
            self._placement.record(
                request.service, request.object_key, self._upstreams.elapsed()
            )
        candidates = self._candidates(
            request, excluded, self._upstreams.usable(request.service)
        )
        if self._upstreams.has_limits and not excluded:
            probe = self._choose_probe(request, candidates)
            if probe is not None:
                return probe
        chosen = self._choose_from(request, candidates)
        if chosen is None and _limited(candidates):
            # Failing and slow upstreams may take what limits hold back.
            serving = self._upstreams.serving(request.service)
            candidates = self._candidates(request, excluded, serving)
            chosen = self._choose_from(request, candidates)
        if chosen is None and request.is_urgent:
            for state in self._without_permit(request, candidates):
                self._permits.want_urgently(state)
        return chosen

    def request_permit(self, request: Request) -> UpstreamState | None:
        """Asks for a permit for the home of a request, if it needs one.

        Returns:
            The home, if the answer of its issuer is due; otherwise None.
        """
        if not self._upstreams.has_limits or not request.object_key:
            return None
        now = self._upstreams.elapsed()
        candidates = self._candidates(
            request, (), self._upstreams.usable(request.service)
        )
        held_back = self._without_permit(request, candidates)
        if not held_back:
            return None
        home = self._homes(request, candidates, now).get(self._location.zone)
        for state in held_back:
            if state.record.name == home and self._permits.request(state):
                return state
        return None

    def hold(self, request: Request) -> Hold | None:
        """Returns what keeps a request from all upstreams, and for how long.

        Returns:
            None if some upstream of the request has neither asked for a pause
            nor named a limit.
        """
        now = self._upstreams.elapsed()
        serving = [
            state
            for state in self._upstreams.serving(request.service)
            if self._may_run(request, state)
        ]
        if any(not self._takes_body(request, state) for state in serving):
            return Hold(BODY_WAIT, is_limit=False, is_full=True)
        if len(_limited(serving)) < len(serving):
            return None
        holds = [
            Hold(self._permits.wait(state), is_limit=True) for state in serving
        ]
        holds.extend(
            Hold(state.wishes.paused_until - now, is_limit=False)
            for state in self._upstreams.paused(request.service)
            if self._may_run(request, state)
        )
        return min(holds, default=None)

    def acquire_permits(
        self, request: Request, state: UpstreamState
    ) -> SendPermit | None:
        """Acquires the permits that an upstream needs: if cold, or limited.

        Returns:
            The permit for an upstream that has named a limit, if any is left.
        """
        if state.is_cold:
            self._limiter.acquire(state.record.name, self._period(state))
        return self._permits.take(state, urgent=request.is_urgent)

    def give_back(self, permit: SendPermit) -> None:
        """Takes back the permit of a request that was not written."""
        self._permits.give_back(permit)

    def _candidates(
        self,
        request: Request,
        excluded: Collection[str],
        states: Sequence[UpstreamState],
    ) -> list[UpstreamState]:
        is_restricted = request.is_restricted
        return [
            state
            for state in states
            if state.record.name not in excluded
            and (not is_restricted or self._may_run(request, state))
        ]

    def _choose_probe(
        self, request: Request, candidates: Sequence[UpstreamState]
    ) -> Candidate | None:
        """Returns an upstream whose limit is to be probed, if it has room."""
        now = self._upstreams.elapsed()
        limited = _limited(candidates)
        probed = self._permits.find_probe(
            self._ready(request, limited, now),
            idempotent=request.route.kind is RouteKind.idempotent,
        )
        if probed is None:
            return None
        candidate = self._cheapest(request, [probed], {}, now)
        is_free = candidate is not None and not candidate.must_wait
        return candidate if is_free else None

    def _choose_from(
        self, request: Request, candidates: Sequence[UpstreamState]
    ) -> Candidate | None:
        """Returns the best candidate that may get the request now."""
        now = self._upstreams.elapsed()
        ready = self._ready(request, candidates, now)
        held_back = self._without_permit(request, ready)
        homes = self._homes(request, candidates, now)
        if held_back:
            self._want_best(request, ready, held_back, homes, now)
            # Permits that this instance issues itself are there at once.
            held_back = self._without_permit(request, held_back)
            names = {state.record.name for state in held_back}
            ready = [state for state in ready if state.record.name not in names]
            if homes.get(self._location.zone) in names:
                # The objects of an upstream that takes too few requests share
                # a second home.
                homes = self._homes(request, ready, now)
        return self._cheapest(request, ready, homes, now)

    def _want_best(
        self,
        request: Request,
        ready: Sequence[UpstreamState],
        held_back: Sequence[UpstreamState],
        homes: Mapping[str, str],
        now: timedelta,
    ) -> None:
        """Asks for permits where the request would go if it had one."""
        if len(ready) == len(held_back):
            wanted = held_back
        else:
            best = self._cheapest(request, ready, homes, now)
            wanted = [
                state
                for state in held_back
                if best is not None and best.state is state
            ]
        for state in wanted:
            self._permits.want(state)

    def _cheapest(
        self,
        request: Request,
        ready: Sequence[UpstreamState],
        homes: Mapping[str, str],
        now: timedelta,
    ) -> Candidate | None:
        home = homes.get(self._location.zone)
        at_home = [state for state in ready if state.record.name == home]
        estimator = Estimator(
            request,
            self._times,
            self._location,
            self._distances,
            homes,
            now,
            is_spread=self._placement.is_spread and not homes,
        )
        return estimator.cheapest(at_home or ready)

    def _homes(
        self,
        request: Request,
        states: Sequence[UpstreamState],
        now: timedelta,
    ) -> Mapping[str, str]:
        if not request.object_key or not self._placement.max_homes:
            return {}
        mean = self._times.of_service(request.service)
        weights = {
            state.record.name: home_weight(state.capacity_share(mean, now))
            for state in states
            if state.wishes.limit is not NO_LIMIT
            and not state.wishes.limit.is_settled(now)
        }
        homes = self._pools.homes(request.object_key, states, weights)
        first = homes.get(self._location.zone)
        # Which upstreams take how little by their limits is settled by their
        # permits; popular objects return to several homes when that ends.
        if first is not None and not weights:
            homes[self._location.zone] = self._placement.choose(
                request.service, request.object_key, first, states, now
            )
        return homes

    def _without_permit(
        self, request: Request, states: Sequence[UpstreamState]
    ) -> list[UpstreamState]:
        """Returns the upstreams that take no further request for now."""
        return [
            state
            for state in _limited(states)
            if not self._permits.may_send(state, urgent=request.is_urgent)
        ]

    def _may_send(self, state: UpstreamState, now: timedelta) -> bool:
        if state.is_unproven and state.in_flight:
            return False
        if not state.is_cold_at(now):
            self._limiter.forget(state.record.name)
            return True
        return self._limiter.is_due(state.record.name, self._period(state))

    def _ready(
        self,
        request: Request,
        states: Iterable[UpstreamState],
        now: timedelta,
    ) -> list[UpstreamState]:
        """Returns the upstreams that may get the request now."""
        ready = [state for state in states if self._may_send(state, now)]
        if not self._max_body_bytes or not request.body_bytes:
            return ready
        return [state for state in ready if self._takes_body(request, state)]

    def _takes_body(self, request: Request, state: UpstreamState) -> bool:
        """Returns whether a body fits beside those in flight.

        A body that exceeds the bound alone is sent alone.
        """
        if not (
            self._max_body_bytes and request.body_bytes and state.body_bytes
        ):
            return True
        total = state.body_bytes + request.body_bytes
        return total <= self._max_body_bytes

    def _period(self, state: UpstreamState) -> timedelta:
        rate = self._cold_rate(state.record.service)
        return permit_interval(self._instances(), rate)

    def _may_run(self, request: Request, state: UpstreamState) -> bool:
        region = self._location.regions.get(state.record.zone, '')
        return request.may_run_in(region)


def _limited(states: Iterable[UpstreamState]) -> list[UpstreamState]:
    return [state for state in states if state.wishes.limit.rate is not None]
