"""Puts together from many processes' logs what became of one request."""

import json as json_form
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

from lycheedyke.exceptions import LycheedykeError

_COMMON = frozenset(
    ('time', 'level', 'instance', 'zone', 'logger', 'event', 'request'),
)
# What an instance came to believe this long before a request concerns it.
BELIEF_SECONDS = 5
_UPSTREAMS = ('sent_to', 'best')
_BELIEFS = frozenset(
    (
        'configuration in force',
        'zone evacuated',
        'zone taken back',
        'registry lost',
        'registry regained',
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
    """Show what became of a request, in time order.

    Lines of other programs, and what stands before a JSON object on its
    line, are passed over. What the instances concerned came to believe in
    the seconds before is shown too.

    Args:
        request: The caller's id of the request.
        logs: The logs of the instances; standard input if none is named.
        json: Print the lines as they were written.
    """
    lines = list(read_lines(_read_all(logs)))
    told = build_timeline(request, lines)
    if not told:
        raise RequestNotFound(
            f'request {request!r} is in none of {len(lines)} log lines: '
            'it ended well and was not sampled, or its line was left out',
        )
    for line in told:
        sys.stdout.write(f'{_dump(line) if json else _describe(line)}\n')


def build_timeline(
    request: str,
    lines: Iterable[dict[str, Any]],
) -> list[dict[str, Any]]:
    """Returns the lines of a request and the beliefs behind it.

    Args:
        request: the caller's id.
        lines: log lines of any instances.
    """
    ordered = sorted(lines, key=_time)
    own = [line for line in ordered if line.get('request') == request]
    if not own:
        return []
    instances = {line['instance'] for line in own}
    names = {
        line[field] for line in own for field in _UPSTREAMS if field in line
    }
    beliefs = [
        line
        for line in ordered
        if line['event'] in _BELIEFS
        and line['instance'] in instances
        and line.get('upstream', '') in names | {''}
        and 0 <= _seconds(own[-1]) - _seconds(line) <= _window(own)
    ]
    return sorted((*own, *beliefs), key=_time)


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the log lines among texts."""
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
    return BELIEF_SECONDS + _seconds(own[-1]) - _seconds(own[0])


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
        if name not in _COMMON and text != ''
    )
    return f'{line["time"]}  {line["instance"]}  {line["event"]}  {fields}'
