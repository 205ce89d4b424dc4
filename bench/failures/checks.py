"""Checks the guarantees of the service against the records of a run."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from bench.load_generator import CallResult
from bench.upstreams import UpstreamRecord

DRAIN_SECONDS = 3


def find_violations(
    results: Iterable[CallResult],
    records: Iterable[UpstreamRecord],
) -> Iterator[str]:
    """Yields a line for each violated guarantee.

    Args:
        results: results of all calls.
        records: the records of the upstreams.
    """
    records = list(records)
    runs: Counter[str] = Counter()
    for record in records:
        runs.update(record.runs)
        if record.max_in_flight > record.slots:
            yield (
                f'{record.name} ran {record.max_in_flight} requests at once '
                f'with {record.slots} slots'
            )
    for each in results:
        yield from _find_run_violations(each, runs[each.request])


def _find_run_violations(result: CallResult, runs: int) -> Iterator[str]:
    """Compares the result of a call with the number of its runs."""
    if result.outcome == 'answered' and not result.matches_request:
        yield f'{result.request!r} received the response to another request'
    if result.outcome == 'answered' and not runs:
        yield f'{result.request!r} was answered and never ran'
    if result.outcome == 'not-run' and runs and result.is_write:
        yield f'{result.request!r} was refused as {result.reason} but ran'
    if result.is_write and runs > 1:
        yield f'{result.request!r} ran {runs} times'


def find_late_requests(
    records: Iterable[UpstreamRecord],
    leaving: Mapping[str, float],
) -> Iterator[str]:
    """Yields a line for each upstream with requests after its drain time.

    Args:
        records: the records of the upstreams.
        leaving: acceptance time, in Unix seconds, of the last ticket of each
            upstream that this ticket marks as leaving.
    """
    for record in records:
        accepted = leaving.get(record.name)
        if accepted is None:
            continue
        late = record.last_start - accepted
        if late > DRAIN_SECONDS:
            yield f'{record.name} received a request {late:.1f} s after it left'


def find_ticket_regressions(numbers: Mapping[str, list[int]]) -> Iterator[str]:
    """Yields a line for each incarnation whose ticket number decreased."""
    for incarnation, seen in numbers.items():
        if seen != sorted(seen):
            yield f'ticket numbers of incarnation {incarnation} fell: {seen}'


def find_leaving_times(
    tickets: Iterable[Any],
    accepted: Mapping[int, float],
) -> dict[str, float]:
    """Returns acceptance times of the tickets that made upstreams leave.

    Upstreams that a later ticket put back in service are left out.

    Args:
        tickets: the ticket documents in order of their numbers, from 1.
        accepted: time at which the operator received the acceptance of a
            ticket, in Unix seconds, by ticket number.
    """
    found: dict[str, float] = {}
    for number, ticket in enumerate(tickets, 1):
        for name, upstream in ticket.get('upstreams', {}).items():
            found.pop(name, None)
            if upstream['phase'] == 'leaving' and number in accepted:
                found[name] = accepted[number]
    return found
