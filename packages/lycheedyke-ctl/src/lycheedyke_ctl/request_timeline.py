"""Builds the timeline of one request from the logs of many processes."""

import json as json_form
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

from lycheedyke.exceptions import LycheedykeError

_COMMON_FIELDS = frozenset(
    ('time', 'level', 'instance', 'zone', 'logger', 'event', 'request'),
)
# The timeline includes context events from this long before the first line of
# the request.
CONTEXT_SECONDS = 5
_UPSTREAM_FIELDS = ('sent_to', 'best')
_CONTEXT_EVENTS = frozenset(
    (
        'configuration in force',
        'zone evacuated',
        'zone taken back',
        'registry lost',
        'registry regained',
        'registry outage',
        'outage refuted',
        'removal deferred',
        'deferral ended',
        'upstream out',
        'upstream lost',
        'upstream leaving',
        'upstream gone',
        'stopping',
        'started',
    ),
)


class RequestNotFound(LycheedykeError):
    """No line in the logs names the request."""


def story(request: str, *logs: Path, json: bool = False) -> None:
    """Show the log lines of a request in the order of time.

    Also show the changes of configuration, registry and upstream state that
    the instances concerned logged up to 5 seconds before. Lines of other
    programs, and text before the JSON object of a line, are ignored.

    Args:
        request: The request id that the caller set.
        logs: The logs of the instances; standard input if none is named.
        json: Print the log lines as JSON.
    """
    lines = list(read_lines(_read_all(logs)))
    timeline = build_timeline(request, lines)
    if not timeline:
        raise RequestNotFound(
            f'request {request!r} is in none of {len(lines)} log lines: '
            'it succeeded and was not sampled, or its line was dropped',
        )
    for line in timeline:
        sys.stdout.write(f'{_dump(line) if json else _describe(line)}\n')


def build_timeline(
    request: str,
    lines: Iterable[dict[str, Any]],
) -> list[dict[str, Any]]:
    """Returns the lines of a request and the events that explain them.

    Args:
        request: the request id that the caller set.
        lines: the log lines of all instances.
    """
    ordered = sorted(lines, key=_time)
    own = [line for line in ordered if line.get('request') == request]
    if not own:
        return []
    instances = {line['instance'] for line in own}
    names = {
        line[field]
        for line in own
        for field in _UPSTREAM_FIELDS
        if field in line
    }
    context = [
        line
        for line in ordered
        if line['event'] in _CONTEXT_EVENTS
        and line['instance'] in instances
        and line.get('upstream', '') in names | {''}
        and 0 <= _seconds(own[-1]) - _seconds(line) <= _window(own)
    ]
    return sorted((*own, *context), key=_time)


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the decoded log lines; ignores all other lines."""
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            line = json_form.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and 'event' in line:
            yield line


def _read_all(logs: Iterable[Path]) -> Iterator[str]:
    paths = tuple(logs)
    if not paths:
        yield from sys.stdin
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as log:
            yield from log


def _window(own: list[dict[str, Any]]) -> float:
    return CONTEXT_SECONDS + _seconds(own[-1]) - _seconds(own[0])


def _seconds(line: dict[str, Any]) -> float:
    return datetime.fromisoformat(line['time']).timestamp()


def _time(line: dict[str, Any]) -> str:
    return str(line['time'])


def _dump(line: dict[str, Any]) -> str:
    return json_form.dumps(line)


def _describe(line: dict[str, Any]) -> str:
    fields = '  '.join(
        f'{name}={text}'
        for name, text in line.items()
        if name not in _COMMON_FIELDS and text != ''
    )
    return f'{line["time"]}  {line["instance"]}  {line["event"]}  {fields}'
