"""A discrete-event model of entry instances and upstreams under load.

The decisions are those of the product (`UpstreamSelector`, `is_admissible`,
`estimate_retry_after`, `compute_zone_shares`); time, callers and upstreams are
modelled. An upstream knows the objects of its latest requests, and a request
for a known object takes only a share of the run time.
"""

import bisect
import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
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
from standins.load_inputs import (
    DESK_UPSTREAMS,
    Load,
    RequestKind,
    Result,
    make_desk_kinds,
)
from standins.model_upstream import ModelUpstream
from standins.records import make_route, make_upstream

CALLER_ROUND_TRIP = 0.016
REGION_ROUND_TRIP = 0.070
SERVICE = 'desk'
QUEUE_PER_SLOT = 3
WINDOW_SECONDS = 2


__all__ = (
    'DESK_UPSTREAMS',
    'WINDOW_SECONDS',
    'Load',
    'LoadModel',
    'RequestKind',
    'Result',
    'make_desk_kinds',
)


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
            f'{zone}-{index}': ModelUpstream(load, f'{zone}-{index}', self._rng)
            for zone, count in load.upstreams.items()
            for index in range(count)
        }
        self._entries = {
            f'{zone}/{index}': self._make_entry(f'{zone}/{index}', zone)
            for zone in load.upstreams
            for index in range(load.entries)
        }
        self._lists = self._make_lists()
        self._weights = {
            kind.name: list(
                itertools.accumulate(
                    (rank + 1) ** -kind.skew for rank in range(kind.objects)
                )
            )
            for kind in load.kinds
        }
        self._result = Result(
            Counter(),
            Counter(),
            Counter(),
            Counter(),
            {},
            Counter(),
            Counter(),
            Counter(),
            [],
            Counter(),
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
        selector.set_max_homes(self._load.max_homes)
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
        object_key = self._pick_object(region, kind)
        route = make_route(
            f'/{kind.name}/',
            goal=timedelta(seconds=kind.goal),
            timeout=timedelta(seconds=kind.timeout),
        )
        round_trip = CALLER_ROUND_TRIP
        if region != entry.region:
            round_trip += REGION_ROUND_TRIP
        self._result.requested[kind.name] += 1
        if now >= self._load.measured_from:
            self._result.measured[kind.name] += 1
        self._windows[int(now) // WINDOW_SECONDS][0] += 1
        request = Request(
            route, SERVICE, object_key, wait_share_of(kind.priority)
        )
        self._send(
            _PendingRequest(
                kind, request, entry, round_trip, now, is_retry=False
            )
        )

    def _pick_object(self, region: str, kind: RequestKind) -> str:
        number = self._rng.randrange(kind.objects)
        if kind.skew:
            weights = self._weights[kind.name]
            number = bisect.bisect(weights, self._rng.random() * weights[-1])
        if self._load.has_shared_objects:
            region = 'all'
        return f'{region} {kind.name} {number}'

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
            self._report(candidate, upstream)
            now = self._clock.elapsed().total_seconds() - self._start
            self._refuse(pending, candidate, now)

    def _run(
        self, pending: _PendingRequest, candidate: Candidate, sent: float
    ) -> None:
        now = self._clock.elapsed().total_seconds() - self._start
        upstream = self._upstreams[candidate.state.record.name]
        upstream.running += 1
        elapsed = upstream.run_time(
            pending.kind, pending.request.object_key, now
        )
        if now >= self._load.measured_from:
            name = candidate.state.record.name
            self._result.runs[name] += 1
            self._result.warm_runs[name] += upstream.is_warm
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
        self._report(candidate, upstream)
        elapsed = timedelta(seconds=now + hop - sent)
        record_run_time(
            pending.entry.run_times, pending.request, candidate, elapsed
        )
        name = pending.kind.name
        took = now + hop + pending.round_trip - pending.first_sent
        if pending.first_sent >= self._load.measured_from:
            self._result.times.append(took)
        if took <= pending.kind.goal:
            self._result.in_goal[name] += 1
            self._windows[int(pending.first_sent) // WINDOW_SECONDS][1] += 1
        else:
            self._result.late[name] += 1

    def _report(self, candidate: Candidate, upstream: ModelUpstream) -> None:
        now = self._clock.elapsed().total_seconds() - self._start
        candidate.state.record_load(
            upstream.running,
            len(upstream.queue),
            upstream.pace_percent(now),
        )
