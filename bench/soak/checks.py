"""Checks the guarantees of the service against the records of a soak test."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from bench.soak.crash_checks import find_crash_violations
from bench.soak.echo_upstream import EchoUpstream
from bench.soak.limits import find_limit_violations
from bench.soak.load_generator import (
    BEHIND_CLOSE,
    CLOSE_ERRORS,
    REFUSALS,
    CallResult,
)
from bench.soak.lost_answers import find_lost_answers
from bench.soak.memory import find_excess_memory
from bench.soak.observations import Observations, format_time
from bench.soak.stop_checks import has_crossed_stop
from bench.soak.testbed import (
    COLD_PER_S,
    COLD_SECONDS,
    RETRY_EXTRA,
    RETRY_RATIO,
    RETRY_WINDOW_SECONDS,
    may_have_been_idle,
)
from bench.soak.wishes import find_wish_violations

MAX_ATTEMPTS = 2
# A request may be on its way to a paused instance for this time.
CROSSING_SECONDS = 0.4
DRAIN_SECONDS = 3.0
# A cold upstream may receive COLD_RATE_FACTOR times the requests of its cold
# rate, and COLD_EXTRA_REQUESTS more.
COLD_RATE_FACTOR = 1.5
COLD_EXTRA_REQUESTS = 8
HTTP_OK = 200


def find_violations(observations: Observations) -> Iterator[str]:
    """Yields a line for each violated guarantee."""
    runs: Counter[str] = Counter()
    for upstream in observations.upstreams:
        runs.update(upstream.started)
    for result in observations.results:
        yield from _find_run_violations(result, runs[result.request])
        yield from _find_unexplained_errors(observations, result)
    for upstream in observations.upstreams:
        yield from _find_late_requests(observations, upstream)
        yield from _find_cold_overload(upstream)
    yield from _find_excess_retries(observations)
    yield from find_crash_violations(observations)
    yield from find_wish_violations(observations)
    yield from find_limit_violations(observations)
    yield from find_lost_answers(observations)
    yield from find_excess_memory(observations.memory)
    for stop in observations.stops:
        if stop.exit_status:
            yield (
                f'planned stop of {stop.name} '
                f'exited with status {stop.exit_status}'
            )


def _find_run_violations(result: CallResult, runs: int) -> Iterator[str]:
    """Compares the result of a call with the number of its runs."""
    name = result.request
    if result.is_order and runs > 1:
        yield f'order {name} ran {runs} times'
    if runs > MAX_ATTEMPTS:
        yield f'{name} ran {runs} times in {MAX_ATTEMPTS} attempts'
    is_promise = result.is_order or not result.is_sealed
    if result.status in REFUSALS and is_promise and runs:
        yield f'{name} was refused with {result.status} and ran'
    if result.status != HTTP_OK:
        return
    if not result.is_sealed or result.response_id != name:
        yield (
            f'{name} received the response for {result.response_id!r} '
            f'(sealed: {result.is_sealed})'
        )
    if not runs:
        yield f'{name} was answered and never ran'


def _find_unexplained_errors(
    observations: Observations, result: CallResult
) -> Iterator[str]:
    """Yields a call without a response that no fault explains.

    A fault of the instance or its links or a failed connect to the instance
    explains a lost response. A refused connection of the caller is no
    violation, nor is a request behind an answer that closes its connection, nor
    one that crosses the close of an idle connection or the end of a planned
    stop; `find_lost_answers` checks that these were not passed on.
    """
    if result.status or result.error in {'ClientConnectorError', BEHIND_CLOSE}:
        return
    if _has_crossed_close(observations, result):
        return
    if has_crossed_stop(observations, result):
        return
    kinds = ('kill', 'freeze', 'link')
    if observations.overlaps_fault(
        kinds, result.instance, result.sent, result.ended
    ):
        return
    if any(
        result.sent <= at <= result.ended
        for at in observations.failed_connects[result.instance]
    ):
        return
    took = result.ended - result.sent
    exits = ''.join(
        f', sent {result.sent - stop.sent:+.2f} s from its SIGTERM '
        f'and {result.sent - stop.exited:+.2f} s from its exit'
        for stop in observations.stops
        if stop.name == result.instance
    )
    kept = result.sent - result.idle_since
    use = 'new or answered on' if kept < 0 else f'idle for {kept:.2f} s'
    yield (
        f'{result.request} to {result.instance} '
        f'failed with {result.error} after {took:.2f} s, '
        f'sent at {format_time(result.sent)} '
        f'(connection {use}{exits})'
    )


def _has_crossed_close(observations: Observations, result: CallResult) -> bool:
    """Returns whether a request may have crossed the close for idleness.

    The instance must have reached the limit while the request was on its way;
    the caller may learn of the close later. `find_idle_closes_in_use` checks
    that the instance had not read the request.
    """
    stalled = observations.stalled_seconds(result.sent, result.ended)
    arrived = min(result.ended, result.sent + CROSSING_SECONDS + stalled)
    return result.error in CLOSE_ERRORS and may_have_been_idle(
        observations.config_writes, result.idle_since, arrived
    )


def _find_late_requests(
    observations: Observations, upstream: EchoUpstream
) -> Iterator[str]:
    """Yields requests that an upstream received after its drain time.

    A fault between the leaving of the upstream and the request excuses it.
    """
    if upstream.left_at is None:
        return
    kinds = ('kill', 'freeze', 'store', 'link', 'stop')
    for arrival in upstream.arrivals:
        late = arrival.received_at - upstream.left_at
        if late <= DRAIN_SECONDS:
            continue
        if observations.overlaps_fault(
            kinds, '', upstream.left_at, arrival.received_at
        ):
            continue
        yield f'{upstream.name} received a request {late:.1f} s after it left'


def _find_cold_overload(upstream: EchoUpstream) -> Iterator[str]:
    """Yields the upstream if it received too many requests while cold."""
    if upstream.cold_from is None:
        return
    end = upstream.cold_from + COLD_SECONDS
    count = sum(1 for each in upstream.arrivals if each.received_at < end)
    max_count = (
        COLD_PER_S * COLD_SECONDS * COLD_RATE_FACTOR + COLD_EXTRA_REQUESTS
    )
    if count > max_count:
        yield (
            f'cold {upstream.name} received {count} requests; '
            f'the limit is {max_count:.0f}'
        )


def _find_excess_retries(observations: Observations) -> Iterator[str]:
    """Yields windows with more retries than the budgets of all instances."""
    first_arrivals: dict[str, float] = {}
    retries_by_second: defaultdict[int, int] = defaultdict(int)
    arrivals = sorted(
        (arrival.received_at, arrival.headers['Lycheedyke-Request-Id'])
        for upstream in observations.upstreams
        for arrival in upstream.arrivals
    )
    for at, request in arrivals:
        if first_arrivals.setdefault(request, at) < at:
            retries_by_second[int(at)] += 1
    sent = Counter(int(result.sent) for result in observations.results)
    for begin in sorted(retries_by_second):
        window = range(begin, begin + RETRY_WINDOW_SECONDS)
        retries = sum(retries_by_second[second] for second in window)
        requests = sum(sent[second] for second in window)
        if retries > RETRY_RATIO * requests + RETRY_EXTRA:
            yield f'{retries} retries of {requests} requests in 10 s'
