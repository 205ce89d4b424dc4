"""A discrete-event model of entry instances and upstreams under load.

The decisions are those of the product (`UpstreamSelector`, `is_admissible`,
`estimate_retry_after`, `compute_zone_shares`); time, callers and upstreams are
modelled. An upstream knows the objects of its latest requests, and a request
for a known object takes only a share of the run time.
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import NamedTuple

from lycheedyke.state import (
    Candidate,
    Counters,
    Distances,
    Location,
    PermitBook,
    PermitSources,
    Request,
    RunTimeStats,
    UpstreamSelector,
    UpstreamTable,
    WarmupLimiter,
    ZoneCapacity,
    compute_zone_shares,
    estimate_retry_after,
    is_admissible,
    list_entries,
    record_run_time,
    wait_share_of,
)
from standins.clock import ManualClock
from standins.records import make_route, make_upstream

CALLER_ROUND_TRIP = 0.016
REGION_ROUND_TRIP = 0.070
SERVICE = 'desk'
QUEUE_PER_SLOT = 3
WINDOW_SECONDS = 2
DESK_UPSTREAMS = MappingProxyType(
    {'pnw-a': 1, 'pnw-b': 1, 'mt-a': 4, 'mt-b': 4, 'nc-a': 5, 'nc-b': 5},
)


class RequestKind(NamedTuple):
    """A kind of request; all times are in seconds.

    Attributes:
        name: the name, which is also the path prefix of its route.
        per_s: the requests per second in each zone.
        run_time: the mean run time for an object that is not known.
        goal: the goal of the route.
        timeout: the timeout of the route.
        objects: the number of objects that the requests concern.
        priority: the rank of the route; 0 is the most urgent.
    """

    name: str
    per_s: float
    run_time: float
    goal: float
    timeout: float
    objects: int
    priority: int = 0


def make_desk_kinds(per_s: float) -> tuple[RequestKind, ...]:
    """Returns both request kinds of the service `desk`.

    The rates fit a desk of twenty upstreams, as in the load requirements. The
    run times for known objects are 72 and 94 ms; 60 slots serve about 760
    such requests per second.

    Args:
        per_s: the requests per second of both kinds in each zone.
    """
    return (
        RequestKind('lookup', per_s * 0.76, 0.24, 0.25, 1.2, 52, priority=1),
        RequestKind('order', per_s * 0.24, 0.312, 0.3, 0.8, 24),
    )


class Load(NamedTuple):
    """The input of a run of the model.

    Attributes:
        kinds: the kinds of requests.
        upstreams: the number of upstreams in each zone; the name of a zone
            is its region, a hyphen and a letter.
        seconds: the time within which requests arrive.
        entries: the number of entry instances in each zone.
        slots: the number of slots of each upstream.
        known_run_share: the run time for a known object as a share of the
            run time for other objects.
        known_objects: the number of objects that an upstream knows.
        slow: the factor of the run times of slow upstreams, by name.
        known_at_start: whether each upstream knows every object from the
            start.
    """

    kinds: tuple[RequestKind, ...]
    upstreams: Mapping[str, int]
    seconds: float = 20
    entries: int = 4
    slots: int = 3
    known_run_share: float = 0.3
    known_objects: int = 50
    slow: Mapping[str, float] = {}
    known_at_start: bool = False


class Result(NamedTuple):
    """The results of all requests.

    Attributes:
        requested: the number of requests by kind.
        in_goal: the number of requests that ended within their goal, by kind.
        late: the number of requests that ended later, by kind.
        refused: the number of requests that were refused twice, by kind.
        windows: the number of requests, and of those within their goal, by
            window of `WINDOW_SECONDS`.
        sent: the number of requests that were sent to each upstream.
    """

    requested: Counter[str]
    in_goal: Counter[str]
    late: Counter[str]
    refused: Counter[str]
    windows: dict[int, tuple[int, int]]
    sent: Counter[str]

    def share(self, kind: str) -> float:
        """Returns the share of requests of a kind that ended in their goal."""
        return self.in_goal[kind] / max(1, self.requested[kind])

    @property
    def in_goal_share(self) -> float:
        """The share of all requests that ended within their goal."""
        return self.in_goal.total() / max(1, self.requested.total())


class _Upstream:
    """The run times, queue and known objects of one upstream."""

    def __init__(self, load: Load, name: str, rng: random.Random) -> None:
        self.running = 0
        self.queue: deque[Callable[[], None]] = deque()
        self._load = load
        self._slowness = load.slow.get(name, 1.0)
        self._rng = rng
        self._known: OrderedDict[str, None] = OrderedDict()

    def run_time(self, kind: RequestKind, object_key: str) -> float:
        """Returns the run time of a request that starts now."""
        run_time = kind.run_time * self._rng.gauss(1, 0.15)
        if object_key in self._known or self._load.known_at_start:
            run_time *= self._load.known_run_share
        self._known[object_key] = None
        self._known.move_to_end(object_key)
        if len(self._known) > self._load.known_objects:
            self._known.popitem(last=False)
        return max(0.001, run_time * self._slowness)


class _Entry(NamedTuple):
    region: str
    upstreams: UpstreamTable
    run_times: RunTimeStats
    selector: UpstreamSelector


class _PendingRequest(NamedTuple):
    kind: RequestKind
    request: Request
    entry: _Entry
    round_trip: float
    first_sent: float
    is_retry: bool


class LoadModel:
    """One run of the model; equal seeds give equal runs.

    Args:
        load: the requests and the upstreams.
        seed: the seed of all random numbers.
    """

    def __init__(self, load: Load, seed: int = 1) -> None:
        """Creates all instances and upstreams; `run` schedules the requests."""
        self._load = load
        self._seed = seed
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._start = self._clock.elapsed().total_seconds()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._regions = {zone: zone[:-2] for zone in load.upstreams}
        self._upstreams = {
            f'{zone}-{index}': _Upstream(load, f'{zone}-{index}', self._rng)
            for zone, count in load.upstreams.items()
            for index in range(count)
        }
        self._entries = {
            f'{zone}/{index}': self._make_entry(f'{zone}/{index}', zone)
            for zone in load.upstreams
            for index in range(load.entries)
        }
        self._lists = self._make_lists()
        self._result = Result(
            Counter(), Counter(), Counter(), Counter(), {}, Counter()
        )
        self._windows: defaultdict[int, list[int]] = defaultdict(lambda: [0, 0])

    def run(self) -> Result:
        """Runs the model until all requests have ended; returns the result."""
        # The decisions draw from the global generator.
        state = random.getstate()
        random.seed(self._seed)
        try:
            return self._process_events()
        finally:
            random.setstate(state)

    def _process_events(self) -> Result:
        for zone in self._load.upstreams:
            for kind in self._load.kinds:
                self._schedule_arrival(zone, kind, 0)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            now = self._clock.elapsed().total_seconds() - self._start
            self._clock.advance(max(0, at - now))
            action()
        windows = {
            number: (counts[0], counts[1])
            for number, counts in self._windows.items()
        }
        return self._result._replace(windows=windows)

    def _make_entry(self, name: str, zone: str) -> _Entry:
        upstreams = UpstreamTable(self._clock)
        for upstream in self._upstreams:
            upstreams.apply(
                make_upstream(
                    upstream,
                    zone=upstream.rpartition('-')[0],
                    slots=self._load.slots,
                ),
            )
        run_times = RunTimeStats()
        selector = UpstreamSelector(
            upstreams,
            run_times,
            Location(zone, self._regions[zone], self._regions),
            Distances(),
            PermitSources(
                WarmupLimiter(name, self._clock),
                PermitBook(self._clock, Counters()),
            ),
            cold_rate=lambda service: 7.0,
            instances=lambda: len(self._load.upstreams) * self._load.entries,
        )
        return _Entry(self._regions[zone], upstreams, run_times, selector)

    def _make_lists(self) -> dict[str, list[str]]:
        entries = {
            zone: tuple(
                f'{zone}/{index}' for index in range(self._load.entries)
            )
            for zone in self._load.upstreams
        }
        shares = compute_zone_shares(
            [
                ZoneCapacity(zone, self._regions[zone], count, entries[zone])
                for zone, count in self._load.upstreams.items()
            ],
        )
        return {
            zone: list_entries(zone, shares[zone], entries)
            for zone in self._load.upstreams
        }

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _schedule_arrival(
        self, zone: str, kind: RequestKind, after: float
    ) -> None:
        at = after + self._rng.expovariate(kind.per_s)
        if at < self._load.seconds:
            self._schedule(at, lambda: self._arrive(zone, kind, at))

    def _arrive(self, zone: str, kind: RequestKind, now: float) -> None:
        self._schedule_arrival(zone, kind, now)
        region = self._regions[zone]
        entry = self._entries[self._rng.choice(self._lists[zone])]
        object_key = f'{region} {kind.name} {self._rng.randrange(kind.objects)}'
        route = make_route(
            f'/{kind.name}/',
            goal=timedelta(seconds=kind.goal),
            timeout=timedelta(seconds=kind.timeout),
        )
        round_trip = CALLER_ROUND_TRIP
        if region != entry.region:
            round_trip += REGION_ROUND_TRIP
        self._result.requested[kind.name] += 1
        self._windows[int(now) // WINDOW_SECONDS][0] += 1
        request = Request(
            route, SERVICE, object_key, wait_share_of(kind.priority)
        )
        self._send(
            _PendingRequest(
                kind, request, entry, round_trip, now, is_retry=False
            )
        )

    def _send(self, pending: _PendingRequest) -> None:
        now = self._clock.elapsed().total_seconds() - self._start
        candidate = pending.entry.selector.choose(pending.request)
        if candidate is None or not is_admissible(
            pending.request, candidate, timedelta()
        ):
            self._refuse(pending, candidate, now)
            return
        candidate.state.begin_request(pending.request.object_key)
        self._result.sent[candidate.state.record.name] += 1
        hop = candidate.round_trip.total_seconds() / 2
        self._schedule(
            now + hop, lambda: self._arrive_at_upstream(pending, candidate, now)
        )

    def _refuse(
        self, pending: _PendingRequest, candidate: Candidate | None, now: float
    ) -> None:
        if pending.is_retry:
            self._result.refused[pending.kind.name] += 1
            return
        wait = estimate_retry_after(pending.request, candidate).total_seconds()
        retry = pending._replace(is_retry=True)
        self._schedule(
            now + pending.round_trip + wait, lambda: self._send(retry)
        )

    def _arrive_at_upstream(
        self, pending: _PendingRequest, candidate: Candidate, sent: float
    ) -> None:
        upstream = self._upstreams[candidate.state.record.name]
        if upstream.running < self._load.slots:
            self._run(pending, candidate, sent)
        elif len(upstream.queue) < QUEUE_PER_SLOT * self._load.slots:
            upstream.queue.append(lambda: self._run(pending, candidate, sent))
        else:
            candidate.state.end_request()
            candidate.state.record_load(upstream.running, len(upstream.queue))
            now = self._clock.elapsed().total_seconds() - self._start
            self._refuse(pending, candidate, now)

    def _run(
        self, pending: _PendingRequest, candidate: Candidate, sent: float
    ) -> None:
        now = self._clock.elapsed().total_seconds() - self._start
        upstream = self._upstreams[candidate.state.record.name]
        upstream.running += 1
        elapsed = upstream.run_time(pending.kind, pending.request.object_key)
        self._schedule(
            now + elapsed, lambda: self._end(pending, candidate, sent)
        )

    def _end(
        self, pending: _PendingRequest, candidate: Candidate, sent: float
    ) -> None:
        now = self._clock.elapsed().total_seconds() - self._start
        upstream = self._upstreams[candidate.state.record.name]
        upstream.running -= 1
        if upstream.queue:
            upstream.queue.popleft()()
        hop = candidate.round_trip.total_seconds() / 2
        candidate.state.end_request()
        candidate.state.record_load(upstream.running, len(upstream.queue))
        elapsed = timedelta(seconds=now + hop - sent)
        record_run_time(
            pending.entry.run_times, pending.request, candidate, elapsed
        )
        name = pending.kind.name
        if (
            now + hop + pending.round_trip - pending.first_sent
            <= pending.kind.goal
        ):
            self._result.in_goal[name] += 1
            self._windows[int(pending.first_sent) // WINDOW_SECONDS][1] += 1
        else:
            self._result.late[name] += 1
