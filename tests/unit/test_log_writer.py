"""Logging never blocks, stays bounded and reports dropped lines."""

import json
import logging
import os
import threading
import time
from typing import TextIO

import pytest

from lycheedyke.protocol import Answered, NotRun, Reason, Unknown
from lycheedyke.state import Counters
from lycheedyke_daemon.gateway import DecisionLog
from lycheedyke_daemon.log_writer import BoundedWriter
from lycheedyke_daemon.logs import JsonFormatter
from standins.clock import ManualClock

PIPE_BYTES = 65_536
LINE = 'x' * 400 + '\n'


def test_a_reader_that_stops_reading_delays_nobody() -> None:
    """A full pipe drops lines without blocking; their count is logged."""
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, 'w') as stream:
        writer = BoundedWriter(stream, max_queued=100)
        started = time.monotonic()
        for _ in range(5_000):
            writer.write(LINE)
        assert time.monotonic() - started < 1
        assert writer.dropped > 4_000
        with os.fdopen(read_end) as reader:
            lines: list[str] = []
            reading = threading.Thread(target=_drain, args=(reader, lines))
            reading.start()
            writer.close()
            writer.write(LINE)
            stream.close()
            reading.join(5)
    reported = [json.loads(line) for line in lines if line.startswith('{')]
    assert sum(each['count'] for each in reported) == writer.dropped
    assert lines.count(LINE) + writer.dropped >= 5_000


def _drain(reader: TextIO, lines: list[str]) -> None:
    lines.extend(reader)


def _record(**extra: object) -> dict[str, object]:
    record = logging.makeLogRecord(
        {'name': 'a', 'msg': 'event', 'levelname': 'INFO', **extra},
    )
    line = JsonFormatter('edge-1', 'pnw-a').format(record)
    assert '\n' not in line
    found: dict[str, object] = json.loads(line)
    return found


def test_lines_hold_their_fields() -> None:
    """Each line is a JSON object with the standard and the extra fields."""
    found = _record(request='r-1', took_ms=7)
    assert {'time', 'level', 'instance', 'zone', 'logger'} <= found.keys()
    assert (found['event'], found['request'], found['took_ms']) == (
        'event',
        'r-1',
        7,
    )


@pytest.mark.parametrize(
    ('outcome', 'fields'),
    [
        (
            Answered(500, (), b'', 'i-1'),
            {'outcome': 'answered', 'status': 500, 'upstream': 'i-1'},
        ),
        (
            NotRun(Reason.no_room),
            {'outcome': 'not-run', 'reason': 'no-room'},
        ),
        (
            Unknown(Reason.upstream_broke),
            {'outcome': 'unknown', 'reason': 'upstream-broke'},
        ),
    ],
)
def test_what_ends_badly_leaves_its_line(
    caplog: pytest.LogCaptureFixture,
    outcome: Answered | NotRun | Unknown,
    fields: dict[str, object],
) -> None:
    """Every unsuccessful outcome is logged, regardless of sampling."""
    log = DecisionLog(
        ManualClock(), Counters(), sampled_of=1_000_000, lines_per_s=10
    )
    with caplog.at_level(logging.INFO):
        log.write('request ended', 'r-1', outcome, version=3)
    (record,) = caplog.records
    found = {name: getattr(record, name) for name in (*fields, 'request')}
    assert found == {**fields, 'request': 'r-1'}


def test_sound_requests_are_sampled_alike_everywhere(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """All instances log the same requests, about one in eight."""
    answer = Answered(200, (), b'', 'i-1')
    logged: list[list[str]] = []
    for _ in range(2):
        caplog.clear()
        log = DecisionLog(
            ManualClock(), Counters(), sampled_of=8, lines_per_s=1000
        )
        with caplog.at_level(logging.INFO):
            for at in range(800):
                log.write('request ended', f'r-{at}', answer)
        logged.append([vars(record)['request'] for record in caplog.records])
    assert logged[0] == logged[1]
    assert 60 < len(logged[0]) < 150


def test_lines_keep_to_their_budget() -> None:
    """Lines beyond the rate limit are counted and not written."""
    clock = ManualClock()
    counters = Counters()
    log = DecisionLog(clock, counters, sampled_of=1, lines_per_s=10)
    for _ in range(1_000):
        log.write('request ended', 'r', NotRun(Reason.no_room))
        clock.advance(0.001)
    assert counters.counts['log.left-out'] >= 1_000 - 50 - 11
