"""A discrete-event model of entry instances and upstreams under load.

The decisions are the product's own (`UpstreamSelector`, `is_admissible`,
`estimate_retry_after`, `compute_zone_shares`); time, callers and upstreams are modelled.
An upstream runs a request for an object that it knows in a part of the time,
and knows the objects that it ran last.
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
    Distances,
    Location,
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

CALLER_TRIP = 0.016
REGION_TRIP = 0.070
SERVICE = 'desk'
QUEUE_OF_SLOTS = 3
WINDOW_SECONDS = 2
DESK_UPSTREAMS = MappingProxyType(
    {'pnw-a': 1, 'pnw-b': 1, 'mt-a': 4, 'mt-b': 4, 'nc-a': 5, 'nc-b': 5},
)


class Kind(NamedTuple):
    """A kind of request: its rate at each zone, in seconds otherwise."""

    name: str
    per_s: float
    work: float
    goal: float
    timeout: float
    things: int
    rank: int = 0


def desk_kinds(per_s: float) -> tuple[Kind, ...]:
    """Returns both kinds of the desk, so many requests for each zone.

    A desk of twenty upstreams as the users' sheet has it, warm work of 72
    and 94 ms; 60 slots carry about 760 known requests a second.
    """
    return (
        Kind('lookup', per_s * 0.76, 0.24, 0.25, 1.2, 52, rank=1),
        Kind('order', per_s * 0.24, 0.312, 0.3, 0.8, 24),
    )


class Load(NamedTuple):
    """What a run of the model is fed with.

    Attributes:
        kinds: the kinds of requests.
        upstreams: how many upstreams each zone has; a zone is `region-x`.
        seconds: how long callers come.
        entries: the entry instances of each zone.
        slots: the slots of each upstream.
        known_part: the part of the time that a known object takes.
        keeps: how many objects an upstream knows.
        slow: how many times as long some upstreams run, by name.
        known_at_start: whether each upstream knows every object.
    """

    kinds: tuple[Kind, ...]
    upstreams: Mapping[str, int]
    seconds: float = 20
    entries: int = 4
    slots: int = 3
    known_part: float = 0.3
    keeps: int = 50
    slow: Mapping[str, float] = {}
    known_at_start: bool = False


class Result(NamedTuple):
    """What became of all requests, by kind and in all."""

    asked: Counter[str]
    in_goal: Counter[str]
    late: Counter[str]
    refused: Counter[str]
    windows: dict[int, tuple[int, int]]
    sent: Counter[str]

    def share(self, kind: str) -> float:
        """Returns the share of a kind that ended within its goal."""
        return self.in_goal[kind] / max(1, self.asked[kind])

    @property
    def in_goal_share(self) -> float:
        """The share of all requests that ended within their goal."""
        return self.in_goal.total() / max(1, self.asked.total())


class _Upstream:
    """Runs up to `slots` requests and queues some more."""

    def __init__(self, load: Load, name: str, dice: random.Random) -> None:
        self.running = 0
        self.queue: deque[Callable[[], None]] = deque()
        self._load = load
        self._slowness = load.slow.get(name, 1.0)
        self._dice = dice
        self._known: OrderedDict[str, None] = OrderedDict()

    def run_time(self, kind: Kind, thing: str) -> float:
        """Returns how long a request runs that starts now."""
        work = kind.work * self._dice.gauss(1, 0.15)
        if thing in self._known or self._load.known_at_start:
            work *= self._load.known_part
        self._known[thing] = None
        self._known.move_to_end(thing)
        if len(self._known) > self._load.keeps:
            self._known.popitem(last=False)
        return max(0.001, work * self._slowness)


class _Entry(NamedTuple):
    region: str
    fleet: UpstreamTable
    times: RunTimeStats
    choice: UpstreamSelector


class _Call(NamedTuple):
    kind: Kind
    request: Request
    entry: _Entry
    trip: float
    first: float
    is_return: bool


class LoadModel:
    """One run; the same seed gives the same run.

    Args:
        load: what callers ask and what upstreams there are.
        seed: of all chances.
    """

    def __init__(self, load: Load, seed: int = 1) -> None:
        """Makes all instances and upstreams; nobody asks yet."""
        self._load = load
        self._dice = random.Random(seed)
        self._clock = ManualClock()
        self._start = self._clock.elapsed().total_seconds()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._ties = itertools.count()
        self._regions = {zone: zone[:-2] for zone in load.upstreams}
        self._upstreams = {
            f'{zone}-{at}': _Upstream(load, f'{zone}-{at}', self._dice)
            for zone, count in load.upstreams.items()
            for at in range(count)
        }
        self._entries = {
            f'{zone}/{at}': self._make_entry(f'{zone}/{at}', zone)
            for zone in load.upstreams
            for at in range(load.entries)
        }
        self._lists = self._make_lists()
        self._result = Result(
            Counter(), Counter(), Counter(), Counter(), {}, Counter()
        )
        self._windows: defaultdict[int, list[int]] = defaultdict(lambda: [0, 0])

    def run(self) -> Result:
        """Plays the load and returns what became of it."""
        for zone in self._load.upstreams:
            for kind in self._load.kinds:
                self._plan_arrival(zone, kind, 0)
        while self._events:
            at, _, act = heapq.heappop(self._events)
            now = self._clock.elapsed().total_seconds() - self._start
            self._clock.pass_time(max(0, at - now))
            act()
        windows = {at: (own[0], own[1]) for at, own in self._windows.items()}
        return self._result._replace(windows=windows)

    def _make_entry(self, name: str, zone: str) -> _Entry:
        fleet = UpstreamTable(self._clock)
        for upstream in self._upstreams:
            fleet.apply(
                make_upstream(
                    upstream,
                    zone=upstream.rpartition('-')[0],
                    slots=self._load.slots,
                ),
            )
        times = RunTimeStats()
        choice = UpstreamSelector(
            fleet,
            times,
            Location(zone, self._regions[zone], self._regions),
            Distances(),
            WarmupLimiter(name, self._clock),
            cold_rate=lambda service: 7.0,
            instances=lambda: len(self._load.upstreams) * self._load.entries,
        )
        return _Entry(self._regions[zone], fleet, times, choice)

    def _make_lists(self) -> dict[str, list[str]]:
        entries = {
            zone: tuple(f'{zone}/{at}' for at in range(self._load.entries))
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

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._ties), act))

    def _plan_arrival(self, zone: str, kind: Kind, after: float) -> None:
        at = after + self._dice.expovariate(kind.per_s)
        if at < self._load.seconds:
            self._at(at, lambda: self._arrive(zone, kind, at))

    def _arrive(self, zone: str, kind: Kind, now: float) -> None:
        self._plan_arrival(zone, kind, now)
        region = self._regions[zone]
        entry = self._entries[self._dice.choice(self._lists[zone])]
        thing = f'{region} {kind.name} {self._dice.randrange(kind.things)}'
        route = make_route(
            f'/{kind.name}/',
            goal=timedelta(seconds=kind.goal),
            timeout=timedelta(seconds=kind.timeout),
        )
        trip = CALLER_TRIP
        if region != entry.region:
            trip += REGION_TRIP
        self._result.asked[kind.name] += 1
        self._windows[int(now) // WINDOW_SECONDS][0] += 1
        request = Request(route, SERVICE, thing, wait_share_of(kind.rank))
        self._offer(_Call(kind, request, entry, trip, now, is_return=False))

    def _offer(self, call: _Call) -> None:
        now = self._clock.elapsed().total_seconds() - self._start
        pick = call.entry.choice.choose(call.request)
        if pick is None or not is_admissible(call.request, pick, timedelta()):
            self._refuse(call, pick, now)
            return
        pick.state.begin_request(call.request.object_key)
        self._result.sent[pick.state.record.name] += 1
        hop = pick.round_trip.total_seconds() / 2
        self._at(now + hop, lambda: self._reach(call, pick, now))

    def _refuse(self, call: _Call, pick: Candidate | None, now: float) -> None:
        if call.is_return:
            self._result.refused[call.kind.name] += 1
            return
        wait = estimate_retry_after(call.request, pick).total_seconds()
        again = call._replace(is_return=True)
        self._at(now + call.trip + wait, lambda: self._offer(again))

    def _reach(self, call: _Call, pick: Candidate, sent: float) -> None:
        upstream = self._upstreams[pick.state.record.name]
        if upstream.running < self._load.slots:
            self._run(call, pick, sent)
        elif len(upstream.queue) < QUEUE_OF_SLOTS * self._load.slots:
            upstream.queue.append(lambda: self._run(call, pick, sent))
        else:
            pick.state.end_request()
            pick.state.record_load(upstream.running, len(upstream.queue))
            now = self._clock.elapsed().total_seconds() - self._start
            self._refuse(call, pick, now)

    def _run(self, call: _Call, pick: Candidate, sent: float) -> None:
        now = self._clock.elapsed().total_seconds() - self._start
        upstream = self._upstreams[pick.state.record.name]
        upstream.running += 1
        took = upstream.run_time(call.kind, call.request.object_key)
        self._at(now + took, lambda: self._end(call, pick, sent))

    def _end(self, call: _Call, pick: Candidate, sent: float) -> None:
        now = self._clock.elapsed().total_seconds() - self._start
        upstream = self._upstreams[pick.state.record.name]
        upstream.running -= 1
        if upstream.queue:
            upstream.queue.popleft()()
        hop = pick.round_trip.total_seconds() / 2
        pick.state.end_request()
        pick.state.record_load(upstream.running, len(upstream.queue))
        took = timedelta(seconds=now + hop - sent)
        record_run_time(call.entry.times, call.request, pick, took)
        name = call.kind.name
        if now + hop + call.trip - call.first <= call.kind.goal:
            self._result.in_goal[name] += 1
            self._windows[int(call.first) // WINDOW_SECONDS][1] += 1
        else:
            self._result.late[name] += 1
