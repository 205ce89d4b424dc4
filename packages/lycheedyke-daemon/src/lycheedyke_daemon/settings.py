"""Reads the settings of a daemon from an INI file and checks them."""

import configparser
from collections.abc import Iterator, Mapping
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

from lycheedyke.exceptions import SettingsInvalid
from lycheedyke_daemon.ini import (
    ADDRESS_RULE,
    COUNT_RULE,
    NAME_RULE,
    Field,
    find_unknown_keys,
    parse_ini,
    read_address,
    read_addresses,
    read_count,
    read_fields,
    read_level,
    read_milliseconds,
    read_name,
    read_seconds,
)

MIN_SECRET_LENGTH = 16
ROUTES_SECTION = 'routes'


class Settings(NamedTuple):
    """The effective settings of one entry instance.

    `routes` maps addresses of other instances to the addresses at which this
    instance reaches them, for zones behind address translation.
    """

    name: str
    customer: str
    region: str
    zone: str
    caller_address: str
    peer_address: str
    control_address: str
    admin_address: str
    platform_address: str
    platform_timeout: timedelta
    platform_calls_per_s: int
    platform_burst: int
    apply_timeout: timedelta
    seeds: tuple[str, ...]
    secrets_file: Path
    max_body_bytes: int
    body_memory_bytes: int
    key_memory_bytes: int
    key_life: timedelta
    stop_linger: timedelta
    region_megabits_per_s: int
    log_level: str
    routes: Mapping[str, str]


class Secrets(NamedTuple):
    """Secrets that are never logged or printed."""

    peer: bytes
    admin: str

    def __repr__(self) -> str:
        """Returns a text without the secrets."""
        return 'Secrets(...)'


_FIELDS = MappingProxyType(
    {
        'name': Field('instance', 'name', read_name, NAME_RULE),
        'customer': Field('instance', 'customer', read_name, NAME_RULE),
        'region': Field('instance', 'region', read_name, NAME_RULE),
        'zone': Field('instance', 'zone', read_name, NAME_RULE),
        'caller_address': Field('listen', 'caller', read_address, ADDRESS_RULE),
        'peer_address': Field('listen', 'peer', read_address, ADDRESS_RULE),
        'control_address': Field(
            'listen',
            'control',
            read_address,
            ADDRESS_RULE,
        ),
        'admin_address': Field('listen', 'admin', read_address, ADDRESS_RULE),
        'platform_address': Field(
            'platform',
            'address',
            read_address,
            ADDRESS_RULE,
        ),
        'platform_timeout': Field(
            'platform',
            'timeout_ms',
            read_milliseconds,
            COUNT_RULE,
            '1000',
        ),
        'platform_calls_per_s': Field(
            'platform',
            'calls_per_s',
            read_count,
            COUNT_RULE,
            '4',
        ),
        'platform_burst': Field(
            'platform',
            'burst',
            read_count,
            COUNT_RULE,
            '80',
        ),
        'apply_timeout': Field(
            'platform',
            'apply_timeout_ms',
            read_milliseconds,
            COUNT_RULE,
            '10000',
        ),
        'seeds': Field(
            'peers',
            'seeds',
            read_addresses,
            'control addresses of other instances, separated by commas',
            '',
        ),
        'secrets_file': Field('secrets', 'file', Path, 'a path'),
        'max_body_bytes': Field(
            'limits',
            'max_body_bytes',
            read_count,
            COUNT_RULE,
            '1048576',
        ),
        'body_memory_bytes': Field(
            'limits',
            'body_memory_bytes',
            read_count,
            COUNT_RULE,
            '67108864',
        ),
        'key_memory_bytes': Field(
            'limits',
            'key_memory_bytes',
            read_count,
            COUNT_RULE,
            '67108864',
        ),
        'key_life': Field(
            'limits',
            'key_life_s',
            read_seconds,
            COUNT_RULE,
            '600',
        ),
        'stop_linger': Field(
            'limits',
            'stop_linger_ms',
            read_milliseconds,
            COUNT_RULE,
            '3000',
        ),
        'region_megabits_per_s': Field(
            'limits',
            'region_megabits_per_s',
            read_count,
            COUNT_RULE,
            '4000',
        ),
        'log_level': Field(
            'logs',
            'level',
            read_level,
            'debug, info, warning or error',
            'info',
        ),
    }
)


def read_settings(path: Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsInvalid: the settings have faults. All faults are reported
            together, one line each, with the file, the section, the key, the
            value and what is allowed.
    """
    parser = parse_ini(path)
    faults = list(
        find_unknown_keys(path, parser, _FIELDS, (ROUTES_SECTION,)),
    )
    found = read_fields(path, parser, _FIELDS, faults)
    found['routes'] = dict(_read_routes(path, parser, faults))
    faults.extend(_find_duplicates(path, found))
    if faults:
        raise SettingsInvalid(faults)
    return Settings(**found)


def read_secrets(path: Path) -> Secrets:
    """Reads the secrets file, an INI file with one section [secrets].

    Raises:
        SettingsInvalid: a secret is missing or too short.
    """
    parser = parse_ini(path)
    faults = []
    for key in ('peer', 'admin'):
        if len(parser.get('secrets', key, fallback='')) < MIN_SECRET_LENGTH:
            faults.append(
                f'{path}: [secrets] {key}: allowed is '
                f'a text of at least {MIN_SECRET_LENGTH} characters',
            )
    if faults:
        raise SettingsInvalid(faults)
    return Secrets(
        parser['secrets']['peer'].encode(),
        parser['secrets']['admin'],
    )


def describe(settings: Settings) -> str:
    """Returns the effective settings, one line `name = value` each."""
    return '\n'.join(
        f'{name} = {value}' for name, value in settings._asdict().items()
    )


def _read_routes(
    path: Path,
    parser: configparser.ConfigParser,
    faults: list[str],
) -> Iterator[tuple[str, str]]:
    if not parser.has_section(ROUTES_SECTION):
        return
    for address, route in parser.items(ROUTES_SECTION):
        try:
            yield read_address(address), read_address(route)
        except ValueError:
            faults.append(
                f'{path}: [{ROUTES_SECTION}] {address} = {route!r}: '
                f'allowed on both sides is {ADDRESS_RULE}',
            )


def _find_duplicates(path: Path, found: dict[str, Any]) -> Iterator[str]:
    seen: dict[str, str] = {}
    for name, field in _FIELDS.items():
        if field.section != 'listen' or name not in found:
            continue
        address = found[name]
        first = seen.setdefault(address, field.key)
        if first != field.key:
            yield (
                f'{path}: [listen] {field.key} = {address!r}: '
                f'already used by {first}'
            )
