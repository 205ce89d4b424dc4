"""All faults of the settings are reported at once, with what is allowed."""

from pathlib import Path

import pytest

from lycheedyke.exceptions import SettingsInvalid
from lycheedyke_daemon.settings import (
    describe,
    read_secrets,
    read_settings,
)

GOOD = """
[instance]
name = norr-a-1
customer = pantsaker
region = norr
zone = norr-a
[listen]
caller = 127.0.0.1:8001
peer = 127.0.0.1:8002
control = 127.0.0.1:8003
admin = 127.0.0.1:8004
[platform]
address = 127.0.0.1:9000
[secrets]
file = secrets.ini
"""


def _read(folder: Path, text: str) -> list[str]:
    path = folder / 'lycheedyked.ini'
    path.write_text(text)
    with pytest.raises(SettingsInvalid) as caught:
        read_settings(path)
    return caught.value.faults


def test_defaults_and_units(tmp_path: Path) -> None:
    """Durations are read in the unit that the name of their key gives."""
    path = tmp_path / 'lycheedyked.ini'
    path.write_text(f'{GOOD}[limits]\nkey_life_s = 90\n')
    settings = read_settings(path)
    assert settings.key_life.total_seconds() == 90
    assert settings.platform_timeout.total_seconds() == 1
    assert 'key_life = 0:01:30' in describe(settings)


@pytest.mark.parametrize(
    ('old', 'new', 'fault'),
    [
        ('name = norr-a-1', '', '[instance] name is missing'),
        ('8002', '70000', "[listen] peer = '127.0.0.1:70000': allowed is an"),
        ('8003', '8004', 'already used by control'),
        ('127.0.0.1:9000', 'store:9000', "[platform] address = 'store:9000'"),
        ('zone =', 'zones =', 'unknown key; allowed are customer, name'),
        ('[secrets]', '[secret]', '[secret]: unknown section'),
        (
            '[platform]',
            '[platform]\ntimeout_ms = 1s',
            "timeout_ms = '1s': allowed is a whole number above 0",
        ),
        (
            '[secrets]',
            '[routes]\n127.0.0.1:1 = here\n[secrets]',
            "[routes] 127.0.0.1:1 = 'here': allowed on both sides",
        ),
    ],
)
def test_each_fault_names_the_place_and_the_rule(
    tmp_path: Path,
    old: str,
    new: str,
    fault: str,
) -> None:
    """A fault names the file, section, key, value and what is allowed."""
    faults = _read(tmp_path, GOOD.replace(old, new))
    assert any(fault in line for line in faults), faults
    assert all('lycheedyked.ini' in line for line in faults)


def test_all_faults_come_at_once(tmp_path: Path) -> None:
    """Several faults in one file are reported together."""
    text = GOOD.replace('8001', 'x').replace('norr-a-1', 'Norr A')
    assert len(_read(tmp_path, text)) == 2


def test_secrets_are_not_shown(tmp_path: Path) -> None:
    """Short secrets are refused, and `repr` shows no secret."""
    path = tmp_path / 'secrets.ini'
    path.write_text('[secrets]\npeer = short\nadmin = %(x)s-long-enough-123\n')
    with pytest.raises(SettingsInvalid, match='peer: allowed is a text'):
        read_secrets(path)
    path.write_text(
        '[secrets]\npeer = 0123456789abcdef\nadmin = abcdef0123456789\n'
    )
    assert 'abcdef' not in repr(read_secrets(path))
