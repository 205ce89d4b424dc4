"""The operator's page lists the events and fields of a gateway's log."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.log_lines import listed_events

ROOT = Path(__file__).resolve().parents[3]
DAEMON = ROOT / 'packages/lycheedyke-daemon/src/lycheedyke_daemon'
LIBRARY = ROOT / 'packages/lycheedyke/src/lycheedyke'
SOURCES = (
    *sorted((DAEMON / 'gateway').rglob('*.py')),
    DAEMON / 'service.py',
    DAEMON / 'background.py',
    DAEMON / 'crashes.py',
    DAEMON / 'idle_connections.py',
    DAEMON / 'request_protocol.py',
    DAEMON / 'trials.py',
    LIBRARY / 'timers.py',
    LIBRARY / 'state/_upstream_state.py',
    LIBRARY / 'state/_upstreams.py',
    LIBRARY / 'state/_suspects.py',
    LIBRARY / 'state/placement/_placement.py',
    LIBRARY / 'coordination/_registry_follower.py',
    LIBRARY / 'coordination/_removal_deferral.py',
    LIBRARY / 'coordination/_replica.py',
    LIBRARY / 'coordination/_presence.py',
    LIBRARY / 'coordination/_quarantine_publisher.py',
    LIBRARY / 'coordination/_evidence_publisher.py',
    *sorted((LIBRARY / 'coordination/configurations').rglob('*.py')),
    ROOT / 'platform/store.py',
)
WRITERS = frozenset(('info', 'warning', 'error', 'exception', 'write', '_tell'))


def _events(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        called = node.func
        if not isinstance(called, ast.Attribute) or called.attr not in WRITERS:
            continue
        yield from _texts(node.args[0])
    names = re.findall(
        r"event = '([^']+)' if \w+ else '([^']+)'", path.read_text()
    )
    for pair in names:
        yield from pair


def _counters(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        called = node.func
        if isinstance(called, ast.Attribute) and called.attr == 'count':
            yield from _texts(node.args[0])


def _texts(node: ast.expr) -> Iterator[str]:
    if isinstance(node, ast.IfExp):
        yield from _texts(node.body)
        yield from _texts(node.orelse)
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value


def test_the_page_lists_every_event_and_no_other() -> None:
    """The page lists exactly the events that the code logs."""
    written = {event for path in SOURCES for event in _events(path)}
    assert written == set(listed_events())


def test_the_page_lists_every_counter() -> None:
    """The page lists the counters that the gateway's own code counts."""
    page = (ROOT / 'docs/OPERATIONS.md').read_text()
    part = page.split('### Metrics', 1)[1].split('\n### ', 1)[0]
    counted = {
        name
        for path in (DAEMON / 'gateway').rglob('*.py')
        for name in _counters(path)
    }
    assert 'registry.restored' in counted
    assert not {name for name in counted if f'`{name}`' not in part}


@pytest.mark.parametrize(
    'event', ['request ended', 'request refused', 'request unanswered']
)
def test_lines_on_requests_name_their_inputs(event: str) -> None:
    """Each line has the request, its outcome and the reason."""
    assert {'request', 'outcome', 'reason'} <= listed_events()[event]
