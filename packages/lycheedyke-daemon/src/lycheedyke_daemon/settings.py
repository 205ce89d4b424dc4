"""Settings of a daemon: read from INI, checked, all faults at once."""

import configparser
import ipaddress
import re
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

from lycheedyke.exceptions import SettingsInvalid

MAX_PORT = 65535
MIN_SECRET_LENGTH = 16
ROUTES_SECTION = 'routes'
_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')

_Reader = Callable[[str], Any]


class Settings(NamedTuple):
    """The effective settings of one entry instance.

    `routes` maps addresses of other instances to the addresses at which
    they are reached from here, for zones behind address translation.
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
        """Hides the secrets."""
        return 'Secrets(...)'


class _Field(NamedTuple):
    """Where a setting stands, how it is read and what it may be."""

    section: str
    key: str
    read: _Reader
    allowed: str
    default: str | None = None


def _read_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError
    return text


def _read_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError
    return text


def _read_addresses(text: str) -> tuple[str, ...]:
    parts = (part.strip() for part in text.split(','))
    return tuple(_read_address(part) for part in parts if part)


def _read_count(text: str) -> int:
    count = int(text)
    if count <= 0:
        raise ValueError
    return count


def _read_milliseconds(text: str) -> timedelta:
    return timedelta(milliseconds=_read_count(text))


def _read_seconds(text: str) -> timedelta:
    return timedelta(seconds=_read_count(text))


def _read_level(text: str) -> str:
    if text not in {'debug', 'info', 'warning', 'error'}:
        raise ValueError
    return text


_NAME_RULE = 'lower-case letters, digits and -, at most 63 characters'
_ADDRESS_RULE = 'an IP address and a port, as 192.0.2.1:8080'
_COUNT_RULE = 'a whole number above 0'

_FIELDS = MappingProxyType(
    {
        'name': _Field('instance', 'name', _read_name, _NAME_RULE),
        'customer': _Field('instance', 'customer', _read_name, _NAME_RULE),
        'region': _Field('instance', 'region', _read_name, _NAME_RULE),
        'zone': _Field('instance', 'zone', _read_name, _NAME_RULE),
        'caller_address': _Field(
            'listen', 'caller', _read_address, _ADDRESS_RULE
        ),
        'peer_address': _Field('listen', 'peer', _read_address, _ADDRESS_RULE),
        'control_address': _Field(
            'listen',
            'control',
            _read_address,
            _ADDRESS_RULE,
        ),
        'admin_address': _Field(
            'listen', 'admin', _read_address, _ADDRESS_RULE
        ),
        'platform_address': _Field(
            'platform',
            'address',
            _read_address,
            _ADDRESS_RULE,
        ),
        'platform_timeout': _Field(
            'platform',
            'timeout_ms',
            _read_milliseconds,
            _COUNT_RULE,
            '1000',
        ),
        'platform_calls_per_s': _Field(
            'platform',
            'calls_per_s',
            _read_count,
            _COUNT_RULE,
            '4',
        ),
        'platform_burst': _Field(
            'platform',
            'burst',
            _read_count,
            _COUNT_RULE,
            '80',
        ),
        'apply_timeout': _Field(
            'platform',
            'apply_timeout_ms',
            _read_milliseconds,
            _COUNT_RULE,
            '10000',
        ),
        'seeds': _Field(
            'peers',
            'seeds',
            _read_addresses,
            'control addresses of other instances, separated by commas',
            '',
        ),
        'secrets_file': _Field('secrets', 'file', Path, 'a path'),
        'max_body_bytes': _Field(
            'limits',
            'max_body_bytes',
            _read_count,
            _COUNT_RULE,
            '1048576',
        ),
        'body_memory_bytes': _Field(
            'limits',
            'body_memory_bytes',
            _read_count,
            _COUNT_RULE,
            '67108864',
        ),
        'key_memory_bytes': _Field(
            'limits',
            'key_memory_bytes',
            _read_count,
            _COUNT_RULE,
            '67108864',
        ),
        'key_life': _Field(
            'limits',
            'key_life_s',
            _read_seconds,
            _COUNT_RULE,
            '600',
        ),
        'stop_linger': _Field(
            'limits',
            'stop_linger_ms',
            _read_milliseconds,
            _COUNT_RULE,
            '3000',
        ),
        'region_megabits_per_s': _Field(
            'limits',
            'region_megabits_per_s',
            _read_count,
            _COUNT_RULE,
            '4000',
        ),
        'log_level': _Field(
            'logs',
            'level',
            _read_level,
            'debug, info, warning or error',
            'info',
        ),
    }
)


def read_settings(path: Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsInvalid: with a line for each fault, which names the file,
            the section, the key, the value and what is allowed.
    """
    parser = _parse(path)
    faults = list(_unknown_keys(path, parser))
    found: dict[str, Any] = {}
    for name, field in _FIELDS.items():
        try:
            found[name] = _read_field(path, parser, field)
        except ValueError as error:
            faults.append(str(error))
    found['routes'] = dict(_read_routes(path, parser, faults))
    faults.extend(_clashes(path, found))
    if faults:
        raise SettingsInvalid(faults)
    return Settings(**found)


def read_secrets(path: Path) -> Secrets:
    """Reads the secrets file, an INI file with one section [secrets].

    Raises:
        SettingsInvalid: a secret is missing or too short.
    """
    parser = _parse(path)
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
    """Returns the effective settings as lines `key = value`."""
    return '\n'.join(
        f'{name} = {value}' for name, value in settings._asdict().items()
    )


def _parse(path: Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None, delimiters='=')
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsInvalid([f'{path}: {error}']) from error
    return parser


def _unknown_keys(
    path: Path,
    parser: configparser.ConfigParser,
) -> Iterator[str]:
    known = {(field.section, field.key) for field in _FIELDS.values()}
    sections = {section for section, _ in known}
    for section in parser.sections():
        if section == ROUTES_SECTION:
            continue
        if section not in sections:
            yield f'{path}: [{section}]: unknown section'
            continue
        for key, text in parser.items(section):
            if (section, key) not in known:
                allowed = sorted(
                    name for owner, name in known if owner == section
                )
                yield (
                    f'{path}: [{section}] {key} = {text!r}: unknown key; '
                    f'allowed are {", ".join(allowed)}'
                )


def _read_field(
    path: Path,
    parser: configparser.ConfigParser,
    field: _Field,
) -> Any:
    text = parser.get(field.section, field.key, fallback=field.default)
    if text is None:
        raise ValueError(
            f'{path}: [{field.section}] {field.key} is missing; '
            f'allowed is {field.allowed}',
        )
    try:
        return field.read(text)
    except ValueError:
        raise ValueError(
            f'{path}: [{field.section}] {field.key} = {text!r}: '
            f'allowed is {field.allowed}',
        ) from None


def _read_routes(
    path: Path,
    parser: configparser.ConfigParser,
    faults: list[str],
) -> Iterator[tuple[str, str]]:
    if not parser.has_section(ROUTES_SECTION):
        return
    for address, route in parser.items(ROUTES_SECTION):
        try:
            yield _read_address(address), _read_address(route)
        except ValueError:
            faults.append(
                f'{path}: [{ROUTES_SECTION}] {address} = {route!r}: '
                f'allowed on both sides is {_ADDRESS_RULE}',
            )


def _clashes(path: Path, found: dict[str, Any]) -> Iterator[str]:
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
