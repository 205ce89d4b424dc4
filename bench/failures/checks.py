"""Checks from the stand-ins' own records."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from bench.crowd import Told
from bench.upstreams import UpstreamRecord

DRAIN_SECONDS = 3


def find_faults(
    told: Iterable[Told],
    records: Iterable[UpstreamRecord],
) -> Iterator[str]:
    """Yields a line for each promise that was broken."""
    records = list(records)
    runs: Counter[str] = Counter()
    for record in records:
        runs.update(record.runs)
        if record.most_in_flight > record.slots:
            yield (
                f'{record.name} ran {record.most_in_flight} at once '
                f'in {record.slots} slots'
            )
    for each in told:
        yield from _faults_of(each, runs[each.request])


def _faults_of(told: Told, runs: int) -> Iterator[str]:
    if told.outcome == 'answered' and not told.own:
        yield f'{told.request!r} got the answer to another request'
    if told.outcome == 'answered' and not runs:
        yield f'{told.request!r} was answered and never ran'
    if told.outcome == 'not-run' and runs and told.is_write:
        yield f'{told.request!r} was refused as {told.reason}, and ran'
    if told.is_write and runs > 1:
        yield f'{told.request!r} ran {runs} times'


def find_undrained(
    records: Iterable[UpstreamRecord],
    leaving: Mapping[str, float],
) -> Iterator[str]:
    """Yields a line for each upstream that got work after it had left.

    Args:
        records: the upstreams' records.
        leaving: when each upstream's last ticket, which made it leave, was
            accepted, in Unix seconds.
    """
    for record in records:
        accepted = leaving.get(record.name)
        if accepted is None:
            continue
        late = record.last_start - accepted
        if late > DRAIN_SECONDS:
            yield f'{record.name} got work {late:.1f} s after it left'


def find_reverts(numbers: Mapping[str, list[int]]) -> Iterator[str]:
    """Yields a line for each incarnation whose ticket number went down."""
    for incarnation, seen in numbers.items():
        if seen != sorted(seen):
            yield f'incarnation {incarnation} went back: {seen}'


def last_leaving(
    tickets: Iterable[Any],
    accepted: Mapping[int, float],
) -> dict[str, float]:
    """Returns when the upstreams that are leaving at the end were told so.

    Args:
        tickets: the documents in order of their numbers, from 1.
        accepted: when operators were told, by number.
    """
    found: dict[str, float] = {}
    for number, ticket in enumerate(tickets, 1):
        for name, upstream in ticket.get('upstreams', {}).items():
            found.pop(name, None)
            if upstream['phase'] == 'leaving' and number in accepted:
                found[name] = accepted[number]
    return found
