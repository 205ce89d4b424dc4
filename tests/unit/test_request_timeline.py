"""Tests of building a request timeline from the logs of many processes."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from lycheedyke_ctl.request_timeline import build_timeline, read_lines


def _line(second: int, event: str, **fields: Any) -> dict[str, Any]:
    return {
        'time': f'2026-12-04T03:00:{second:02d}.000000+00:00',
        'level': 'info',
        'instance': 'edge-1',
        'zone': 'pnw-a',
        'logger': 'a',
        'event': event,
        **fields,
    }


LINES = [
    _line(1, 'started'),
    _line(18, 'upstream out', upstream='i-1'),
    _line(18, 'upstream out', upstream='i-9'),
    _line(19, 'upstream out', upstream='i-1', instance='edge-7'),
    _line(20, 'attempt ended', request='r-1', sent_to='i-1'),
    _line(20, 'attempt ended', request='r-2', sent_to='i-1'),
    _line(21, 'request ended', request='r-1', reason='upstream-broke'),
]


def test_timeline_has_the_request_and_its_context() -> None:
    """Lines of other requests, instances, upstreams and times are omitted."""
    timeline = build_timeline('r-1', reversed(LINES))
    assert [(line['event'], line['time'][17:19]) for line in timeline] == [
        ('upstream out', '18'),
        ('attempt ended', '20'),
        ('request ended', '21'),
    ]


def test_lines_of_other_programs_are_passed_over() -> None:
    """A prefix is removed; incomplete lines and plain text are ignored."""
    texts = [
        f'  3.2 edge-1 {json.dumps(LINES[0])}',
        '{"time": "2026',
        'hello',
        '{"time": 3}',
    ]
    assert list(read_lines(texts)) == [LINES[0]]


def test_command_prints_a_timeline_or_reports_a_missing_request(
    tmp_path: Path,
) -> None:
    """The command reads files, and fails if no line has the request id."""
    log = tmp_path / 'a.log'
    log.write_text(''.join(f'{json.dumps(line)}\n' for line in LINES))
    command = [sys.executable, '-m', 'lycheedyke_ctl', 'story']
    done = subprocess.run(
        [*command, 'r-1', str(log)], capture_output=True, text=True, check=True
    )
    assert 'reason=upstream-broke' in done.stdout.splitlines()[-1]
    missing = subprocess.run(
        [*command, 'r-3', str(log)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert missing.returncode == 2
    assert "request 'r-3' is in none of 7 log lines" in missing.stderr
