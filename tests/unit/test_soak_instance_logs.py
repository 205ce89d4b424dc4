"""The soak test reads in instances' logs what callers cannot observe."""

import json
from pathlib import Path
from typing import Any

import pytest

from bench.soak.instance_logs import find_idle_closes_in_use

CLOSED = {
    'event': 'connection closed in use',
    'closed_by': 'idle',
    'requests': ['a'],
}


def _write_log(folder: Path, *records: dict[str, Any]) -> None:
    lines = [json.dumps(record) for record in records]
    # A killed process may leave half a line.
    half = lines[-1][:-9] if lines else ''
    (folder / 'edge-0.log').write_text('\n'.join([*lines, half]))


def test_a_connection_closed_as_idle_in_use_has_its_line(
    tmp_path: Path,
) -> None:
    """It names the instance and the requests, whoever passed them on."""
    _write_log(tmp_path, {'event': 'started'}, CLOSED)
    (line,) = find_idle_closes_in_use(tmp_path)
    assert 'edge-0 closed a connection as idle' in line
    assert "['a']" in line


@pytest.mark.parametrize(
    'changes',
    [
        {'closed_by': 'stopping'},
        {'closed_by': 'failed'},
        {'event': 'idle connections closed'},
    ],
)
def test_other_closes_have_none(
    tmp_path: Path, changes: dict[str, str]
) -> None:
    """Other checks find what they break; idle connections may be closed."""
    _write_log(tmp_path, {**CLOSED, **changes})
    assert not list(find_idle_closes_in_use(tmp_path))
