"""Settings of an instance that replicates a registry."""

from datetime import timedelta
from pathlib import Path

import pytest

from lycheedyke.exceptions import SettingsInvalid
from lycheedyke_daemon.gateway import read_gateway_settings
from lycheedyke_daemon.gateway._settings import _FIELDS as GATEWAY_FIELDS
from lycheedyke_daemon.ini import (
    BOUND_RULE,
    COUNT_RULE,
    DURATION_RULE,
    FRACTION_RULE,
    NUMBER_RULE,
    WINDOW_RULE,
    Field,
    read_count,
)
from lycheedyke_daemon.settings import _FIELDS as TICKET_FIELDS
from standins.gateway_testbed import SETTINGS

PORTS = [1001, 1002, 1003, 1004, 1005]


def _write(folder: Path, text: str) -> Path:
    path = folder / 'local.json'
    path.write_text(text)
    return path


def _text(name: str = 'edge-1') -> str:
    return SETTINGS.format(
        name=name,
        region='pnw',
        zone='pnw-a',
        ports=PORTS,
        store='10.0.0.1:80',
        seeds='10.0.0.2:80',
        metrics='127.0.0.1:1005',
    )


def test_settings_are_read_with_their_units(tmp_path: Path) -> None:
    """Durations have units, names keep their case, absent keys a default."""
    text = _text('Edge_1.x').replace('[zones]', '[zones]\nNorr-A = Norr')
    settings = read_gateway_settings(_write(tmp_path, text))
    assert settings.name == 'Edge_1.x'
    assert settings.zones['Norr-A'] == 'Norr'
    assert settings.stop_grace == timedelta(seconds=2)
    assert settings.repeat_window == timedelta(seconds=10)
    assert settings.seeds == ('10.0.0.2:80',)
    assert settings.zone_charge == timedelta(milliseconds=60)
    assert settings.max_homes == 1


@pytest.mark.parametrize('window', ['0s', '0.004ms'])
def test_a_window_without_length_is_refused(
    tmp_path: Path, window: str
) -> None:
    """Guards against a division by zero in each request."""
    text = _text().replace('extra = 100', f'extra = 100\nwindow = {window}')
    with pytest.raises(SettingsInvalid, match='window'):
        read_gateway_settings(_write(tmp_path, text))


def test_distances_are_those_of_the_deployment(tmp_path: Path) -> None:
    """The round trips and charges between zones and regions are settings."""
    text = _text() + '\n[distances]\nregion_trip = 9ms\nzone_charge = 0ms\n'
    settings = read_gateway_settings(_write(tmp_path, text))
    assert settings.region_trip == timedelta(milliseconds=9)
    assert settings.zone_charge == timedelta()


def test_the_bounds_of_quotas_are_settings(tmp_path: Path) -> None:
    """They have the values of the platform by default."""
    settings = read_gateway_settings(_write(tmp_path, _text()))
    assert settings.quota_bounds == (timedelta(seconds=5), 0.1, 20)
    text = _text() + '\n[quotas]\nwindow = 2s\nover = 0.2\nslack = 7.5\n'
    settings = read_gateway_settings(_write(tmp_path, text))
    assert settings.quota_bounds == (timedelta(seconds=2), 0.2, 7)


def test_memory_limits_follow_from_the_memory(tmp_path: Path) -> None:
    """Bodies and answers take a part of small machines, with a most."""
    text = _text().replace('memory_mb = 152', 'memory_mb = 160.5')
    settings = read_gateway_settings(_write(tmp_path, text))
    assert settings.answer_memory_bytes == 10_000_000
    assert settings.body_memory_bytes == 10_000_000
    text = text.replace('160.5', '64000\nbody_memory_bytes = 5')
    settings = read_gateway_settings(_write(tmp_path, text))
    assert settings.answer_memory_bytes == 67_108_864
    assert settings.body_memory_bytes == 5


def test_old_settings_without_a_memory_use_what_the_system_has(
    tmp_path: Path,
) -> None:
    """A file of an older version is valid, also with its limit of bodies."""
    text = _text().replace('[limits]', '[limits]\nbody_memory_bytes = 67108864')
    settings = read_gateway_settings(_write(tmp_path, text))
    assert settings.body_memory_bytes == 67_108_864
    assert settings.memory_mb > 0
    assert 0 < settings.answer_memory_bytes <= 67_108_864


@pytest.mark.parametrize(
    ('old', 'new', 'fault'),
    [
        ('stop_grace = 2s', 'stop_grace = 2', 'stop_grace'),
        ('memory_mb = 152', 'memory_mb = 0', "memory_mb = '0'"),
        ('zone = pnw-a', 'zone = mars', '[zones] mars'),
        ('extra = 100', 'extra = many', "extra = 'many'"),
        ('[zones]', '[shifts]\nmost = 2\n[zones]', "most = '2'"),
        ('[zones]', '[quotas]\nwindow = 0s\n[zones]', "window = '0s'"),
        ('[zones]', '[quotas]\nover = 2\n[zones]', "over = '2'"),
        ('[peers]', '[peers]\nsaplings = 1', 'saplings'),
        ('caller = 127.0.0.1:1001', 'caller = here', "caller = 'here'"),
    ],
)
def test_each_fault_names_its_place(
    tmp_path: Path,
    old: str,
    new: str,
    fault: str,
) -> None:
    """The error names an invalid value, an unknown key or an unknown zone."""
    path = _write(tmp_path, _text().replace(old, new))
    with pytest.raises(SettingsInvalid) as caught:
        read_gateway_settings(path)
    assert any(fault in each for each in caught.value.faults)


_UNITS = {'_ms': timedelta(milliseconds=1), '_s': timedelta(seconds=1)}
_NUMBERS = {
    COUNT_RULE: ('30.714285714285715', 30),
    BOUND_RULE: ('30.714285714285715', 30),
    NUMBER_RULE: ('30.714285714285715', 30.714285714285715),
    FRACTION_RULE: ('0.714285714285715', 0.714285714285715),
    DURATION_RULE: ('2.5s', timedelta(seconds=2.5)),
    WINDOW_RULE: ('2.5s', timedelta(seconds=2.5)),
}


@pytest.mark.parametrize(
    'field',
    [
        *(field for field in GATEWAY_FIELDS.values()),
        *(field for field in TICKET_FIELDS.values()),
    ],
    ids=lambda field: f'{field.section}.{field.key}',
)
def test_every_number_may_have_decimals(field: Field) -> None:
    """Guards against instances that end at start with code 2.

    A limit is rounded down, so that what is kept never exceeds it.
    """
    if field.allowed not in _NUMBERS:
        assert 'number' not in field.allowed
        return
    text, expected = _NUMBERS[field.allowed]
    found = field.read(text)
    for suffix, unit in _UNITS.items():
        if field.key.endswith(suffix) and isinstance(found, timedelta):
            found /= unit
    assert found == expected


@pytest.mark.parametrize('text', ['', 'x', '-1', '-0.5', 'inf', 'nan', '0.9'])
def test_what_is_no_count_is_refused(text: str) -> None:
    """Rounding down leaves no count of 0, and hides no other fault."""
    with pytest.raises(ValueError):
        read_count(text)
