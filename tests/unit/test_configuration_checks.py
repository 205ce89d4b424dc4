"""Problems of a configuration are found before it is sent."""

import json
from pathlib import Path
from typing import Any

import pytest

from lycheedyke.protocol import RoutingRecord
from lycheedyke.state.configuration_checks import (
    Severity,
    find_problems,
    list_differences,
)
from lycheedyke_ctl.configurations import (
    ConfigurationCommands,
    ConfigurationFaulty,
)
from standins.gateway_testbed import ROUTES, decode_record
from standins.registry_store import config_value

GUIDE: dict[str, Any] = {
    'name': 'charts',
    'prefix': '/charts/',
    'service': 'guide',
}
TENANTS: list[dict[str, Any]] = [
    {'name': 'tills', 'apiKeys': ['k-1'], 'ratePerS': 5, 'burst': 2},
    {'name': 'vendors', 'apiKeys': ['k-2'], 'homeRegions': ['pnw']},
]
LONG_GOAL: dict[str, Any] = {'timeout': '100ms', 'goal': '250ms'}
FAR: dict[str, Any] = {
    **GUIDE,
    'name': 'far',
    'prefix': '/far/',
    'homeRegions': ['nc'],
}


def _decode(content: bytes) -> RoutingRecord:
    record = decode_record('op/config', content)
    assert isinstance(record, RoutingRecord)
    return record


def _make(
    *routes: dict[str, Any],
    tenants: list[dict[str, Any]] | None = None,
    version: int = 0x20,
    **limits: str,
) -> bytes:
    value = config_value(version, [*ROUTES, GUIDE, *routes], tenants, **limits)
    return json.dumps(value).encode()


def test_a_sound_configuration_has_no_problems() -> None:
    """Guards against findings that operators learn to ignore."""
    assert not find_problems(_decode(_make(tenants=TENANTS)))


@pytest.mark.parametrize(
    ('content', 'severity', 'line'),
    [
        (
            _make({**GUIDE, 'name': 'odd', 'prefix': '/odd/', 'goal': 'x'}),
            Severity.error,
            "error: route 'odd': ValueError: 'x' is not a duration in ms or s",
        ),
        (
            _make({**FAR, 'service': 'nobody'}),
            Severity.error,
            "error: route 'far': service 'nobody' does not exist",
        ),
        (
            _make({**GUIDE, 'prefix': '/2/'}),
            Severity.error,
            "error: route 'charts': 2 entries have this name",
        ),
        (
            _make(tenants=[*TENANTS, {'name': 'new', 'apiKeys': ['k-1']}]),
            Severity.error,
            "error: tenant 'new': another tenant holds one of its keys",
        ),
        (
            _make({**GUIDE, 'name': 'again'}),
            Severity.unused,
            "unused: route 'charts': never matches: route 'again' has the "
            'same host and prefix',
        ),
        (
            _make(tenants=[{'name': 'new', 'apiKeys': []}]),
            Severity.unused,
            "unused: tenant 'new': it holds no key",
        ),
        (
            _make({**GUIDE, 'name': 'slow', 'prefix': '/2/', **LONG_GOAL}),
            Severity.contradiction,
            "contradiction: route 'slow': its goal of 0.25 s is beyond its "
            'time-out of 0.1 s',
        ),
        (
            _make(FAR, tenants=TENANTS),
            Severity.contradiction,
            "contradiction: route 'far': shares no home region with tenant "
            "'vendors'",
        ),
        (
            _make(tenants=[{'name': 'new', 'apiKeys': ['k'], 'burst': 9}]),
            Severity.contradiction,
            "contradiction: tenant 'new': a burst of 9, and no rate to exceed",
        ),
        (
            _make(headerTimeout='20s'),
            Severity.contradiction,
            'contradiction: limits: the header time-out of 20 s is beyond the '
            'idle time-out of 15 s',
        ),
    ],
)
def test_a_problem_names_its_entry(
    content: bytes, severity: Severity, line: str
) -> None:
    """Guards against entries that silently do something else, or nothing."""
    found = find_problems(_decode(content))
    assert [str(each) for each in found if each.severity is severity] == [line]


def test_differences_name_what_changes_and_no_key() -> None:
    """Guards against a version that changes more than its author meant."""
    before = _decode(_make(tenants=TENANTS))
    changed = [
        {**TENANTS[0], 'apiKeys': ['k-3', 'k-4'], 'ratePerS': 9},
        {'name': 'new', 'apiKeys': ['k-5']},
    ]
    route = {**FAR, 'attempts': 1}
    after = _decode(_make(route, tenants=changed, version=0x21))
    lines = list_differences(before, after)
    assert lines == [
        'version: 20 -> 21',
        "route 'far': added",
        "tenant 'vendors': removed",
        "tenant 'new': added",
        "tenant 'tills': keys: 2 added, 1 removed, rate: 5 -> 9",
    ]
    assert 'it has no effect: the number must rise' in list_differences(
        after, before
    )
    without = _decode(_make(version=0x22))
    assert 'callers need no key from now on' in list_differences(after, without)


def test_the_command_shows_findings_and_fails_on_errors(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a faulty configuration that a script goes on to send."""
    commands = ConfigurationCommands(_decode)
    new = tmp_path / 'new.json'
    old = tmp_path / 'old.json'
    old.write_bytes(_make())
    new.write_bytes(_make({**GUIDE, 'name': 'again'}, version=0x21))
    commands.check(new, in_force=old)
    shown = capsys.readouterr().out.splitlines()
    assert shown[0].startswith("unused: route 'charts'")
    assert shown[-1] == "route 'again': added"
    new.write_bytes(_make({**GUIDE, 'prefix': '/2/', 'service': 'nobody'}))
    with pytest.raises(ConfigurationFaulty, match='2 errors'):
        commands.check(new)
    new.write_bytes(b'{"version": "1"')
    with pytest.raises(ConfigurationFaulty, match=r'new\.json'):
        commands.check(new)
