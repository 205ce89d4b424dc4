"""What a soak promises, from what callers and upstreams saw."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from bench.soak.crowd import REFUSALS, Told
from bench.soak.faults import Caused, PlannedStop
from bench.soak.world import (
    COLD_PER_S,
    COLD_SECONDS,
    REPEAT_EXTRA,
    REPEAT_RATIO,
    REPEAT_WINDOW_SECONDS,
    Upstream,
)

ATTEMPTS = 2
DRAIN_SECONDS = 3.0
# The users allow that much beyond the cold rate.
COLD_OVER = 1.5
COLD_SLACK = 8
# Of a caller's request and the end of the connection that it came over.
LOSS_SLACK_SECONDS = 0.2
# A fault may have touched what ends that long after it.
AFTERMATH_SECONDS = 2.0
HTTP_OK = 200


class Seen(NamedTuple):
    """What a soak saw.

    Attributes:
        told: what callers were told.
        upstreams: all upstreams, with what reached them.
        caused: the faults.
        stops: the planned stops.
        refused: when nobody listened for callers, by instance.
    """

    told: Sequence[Told]
    upstreams: Sequence[Upstream]
    caused: Sequence[Caused]
    stops: Sequence[PlannedStop]
    refused: Mapping[str, Sequence[float]]

    def is_disturbed(
        self,
        kinds: Sequence[str],
        name: str,
        begun: float,
        ended: float,
    ) -> bool:
        """Returns whether a fault touched a time.

        Args:
            kinds: beginnings of the kinds that count.
            name: who was touched; '' for anybody.
            begun: of the time.
            ended: of the time.
        """
        return any(
            each.kind.startswith(tuple(kinds))
            and (not name or each.name.endswith(name))
            and each.begun <= ended
            and begun <= each.ended + AFTERMATH_SECONDS
            for each in self.caused
        )


def find_broken(seen: Seen) -> Iterator[str]:
    """Yields a line for each promise that was broken."""
    runs: Counter[str] = Counter()
    for upstream in seen.upstreams:
        runs.update(upstream.started)
    for told in seen.told:
        yield from _broken_of(told, runs[told.request])
        yield from _unanswered(seen, told)
    for upstream in seen.upstreams:
        yield from _late_work(seen, upstream)
        yield from _too_warm(upstream)
    yield from _over_budget(seen)
    for stop in seen.stops:
        if stop.status:
            yield f'planned stop of {stop.name} ended with {stop.status}'


def _broken_of(told: Told, runs: int) -> Iterator[str]:
    name = told.request
    if told.is_order and runs > 1:
        yield f'order {name} ran {runs} times'
    if runs > ATTEMPTS:
        yield f'{name} ran {runs} times in {ATTEMPTS} attempts'
    if told.status in REFUSALS and not told.is_sealed and runs:
        yield f'{name} was refused with {told.status} and ran'
    if told.status != HTTP_OK:
        return
    if not told.is_sealed or told.ran != name:
        yield f'{name} got the answer {told.ran!r}, sealed {told.is_sealed}'
    if not runs:
        yield f'{name} was answered and never ran'


def _unanswered(seen: Seen, told: Told) -> Iterator[str]:
    """A caller without an answer needs a fault at its instance or link."""
    if told.status or told.error == 'ClientConnectorError':
        return
    kinds = ('kill', 'freeze', 'link')
    if seen.is_disturbed(kinds, told.instance, told.sent, told.ended):
        return
    if any(told.sent <= at <= told.ended for at in seen.refused[told.instance]):
        return
    ends = [stop.gone for stop in seen.stops if stop.name == told.instance]
    if any(abs(end - told.sent) < LOSS_SLACK_SECONDS for end in ends):
        return
    took = told.ended - told.sent
    yield (
        f'{told.request} to {told.instance} got {told.error} after {took:.2f} s'
    )


def _late_work(seen: Seen, upstream: Upstream) -> Iterator[str]:
    """Yields work that reached an upstream long after it had left."""
    if upstream.left_at is None:
        return
    kinds = ('kill', 'freeze', 'store', 'link', 'stop')
    for arrival in upstream.arrivals:
        late = arrival.received_at - upstream.left_at
        if late <= DRAIN_SECONDS:
            continue
        if seen.is_disturbed(kinds, '', upstream.left_at, arrival.received_at):
            continue
        yield f'{upstream.name} got work {late:.1f} s after it left'


def _too_warm(upstream: Upstream) -> Iterator[str]:
    """Yields a cold upstream that got more than it bears."""
    if upstream.cold_from is None:
        return
    end = upstream.cold_from + COLD_SECONDS
    count = sum(1 for each in upstream.arrivals if each.received_at < end)
    most = COLD_PER_S * COLD_SECONDS * COLD_OVER + COLD_SLACK
    if count > most:
        yield f'cold {upstream.name} got {count} requests, of {most:.0f}'


def _over_budget(seen: Seen) -> Iterator[str]:
    """Yields windows with more repeats than the budget of all instances."""
    firsts: dict[str, float] = {}
    again: defaultdict[int, int] = defaultdict(int)
    arrivals = sorted(
        (arrival.received_at, arrival.headers['Lycheedyke-Request-Id'])
        for upstream in seen.upstreams
        for arrival in upstream.arrivals
    )
    for at, request in arrivals:
        if firsts.setdefault(request, at) < at:
            again[int(at)] += 1
    sent = Counter(int(told.sent) for told in seen.told)
    for begin in sorted(again):
        window = range(begin, begin + REPEAT_WINDOW_SECONDS)
        repeats = sum(again[second] for second in window)
        requests = sum(sent[second] for second in window)
        if repeats > REPEAT_RATIO * requests + REPEAT_EXTRA:
            yield f'{repeats} repeats of {requests} requests in 10 s'
