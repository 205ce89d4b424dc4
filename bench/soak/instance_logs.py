"""Checks of what instances wrote to their logs."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

CLOSED_IN_USE = 'connection closed in use'
IDLE = 'idle'


def find_idle_closes_in_use(folder: Path) -> Iterator[str]:
    """Yields closes for idleness of connections with unanswered requests.

    Callers cannot tell them from requests that crossed the close.

    Args:
        folder: holds a log file of each instance.
    """
    for path in sorted(folder.glob('*.log')):
        for line in path.read_text(errors='replace').splitlines():
            if CLOSED_IN_USE not in line:
                continue
            record = _decode(line)
            if record.get('closed_by') == IDLE:
                yield (
                    f'{path.stem} closed a connection as idle with '
                    f'unanswered requests: {record}'
                )


def _decode(line: str) -> dict[str, Any]:
    """Returns a line of a log; a line that a kill cut short is empty."""
    try:
        return dict(json.loads(line))
    except ValueError:
        return {}
