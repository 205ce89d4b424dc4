"""Fields of INI files: where they stand, how they are read and checked."""

import configparser
import ipaddress
import re
from collections.abc import Callable, Collection, Iterator, Mapping
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

from lycheedyke.exceptions import SettingsInvalid

MAX_PORT = 65535
_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')
_LABEL = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_UNITS = MappingProxyType(
    {'ms': timedelta(milliseconds=1), 's': timedelta(seconds=1)},
)

Reader = Callable[[str], Any]


class Field(NamedTuple):
    """Where a setting stands, how it is read and what it may be."""

    section: str
    key: str
    read: Reader
    allowed: str
    default: str | None = None


def read_name(text: str) -> str:
    """Returns a name of lower-case letters, digits and dashes."""
    if not _NAME.fullmatch(text):
        raise ValueError
    return text


def read_label(text: str) -> str:
    """Returns a name as other systems give it."""
    if not _LABEL.fullmatch(text):
        raise ValueError
    return text


def read_address(text: str) -> str:
    """Returns an `ip:port` address."""
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError
    return text


def read_addresses(text: str) -> tuple[str, ...]:
    """Returns addresses that commas separate."""
    parts = (part.strip() for part in text.split(','))
    return tuple(read_address(part) for part in parts if part)


def read_count(text: str) -> int:
    """Returns a whole number above 0."""
    count = int(text)
    if count <= 0:
        raise ValueError
    return count


def read_milliseconds(text: str) -> timedelta:
    """Returns a number of milliseconds."""
    return timedelta(milliseconds=read_count(text))


def read_seconds(text: str) -> timedelta:
    """Returns a number of seconds."""
    return timedelta(seconds=read_count(text))


def read_level(text: str) -> str:
    """Returns the name of a log level."""
    if text not in {'debug', 'info', 'warning', 'error'}:
        raise ValueError
    return text


NAME_RULE = 'lower-case letters, digits and -, at most 63 characters'
LABEL_RULE = 'letters, digits, ., _ and -, at most 63 characters'
ADDRESS_RULE = 'an IP address and a port, as 192.0.2.1:8080'
COUNT_RULE = 'a whole number above 0'

DURATION_RULE = 'a number with its unit, as 250ms or 2.5s'
NUMBER_RULE = 'a number of at least 0'
FRACTION_RULE = 'a number from 0 to 1'


def read_duration(text: str) -> timedelta:
    """Returns a duration that is written with its unit."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError
    return float(match[1]) * _UNITS[match[2]]


def read_number(text: str) -> float:
    """Returns a number of at least 0."""
    number = float(text)
    if not 0 <= number < float('inf'):
        raise ValueError
    return number


def read_fraction(text: str) -> float:
    """Returns a part of a whole, from 0 to 1."""
    part = read_number(text)
    if part > 1:
        raise ValueError
    return part


def read_fields(
    path: Path,
    parser: configparser.ConfigParser,
    fields: Mapping[str, Field],
    faults: list[str],
) -> dict[str, Any]:
    """Returns the values of all fields; adds a line for each fault."""
    found: dict[str, Any] = {}
    for name, field in fields.items():
        try:
            found[name] = read_field(path, parser, field)
        except ValueError as error:
            faults.append(str(error))
    return found


def parse_ini(path: Path) -> configparser.ConfigParser:
    """Reads an INI file.

    Raises:
        SettingsInvalid: it is missing or not an INI file.
    """
    parser = configparser.ConfigParser(interpolation=None, delimiters='=')
    # Names of zones are keys, and keep their case.
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsInvalid([f'{path}: {error}']) from error
    return parser


def find_unknown_keys(
    path: Path,
    parser: configparser.ConfigParser,
    fields: Mapping[str, Field],
    free_sections: Collection[str] = (),
) -> Iterator[str]:
    """Yields a line for each section or key that is no field."""
    known = {(field.section, field.key) for field in fields.values()}
    sections = {section for section, _ in known}
    for section in parser.sections():
        if section in free_sections:
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


def read_field(
    path: Path,
    parser: configparser.ConfigParser,
    field: Field,
) -> Any:
    """Returns the value of one field.

    Raises:
        ValueError: with the file, the section, the key and what is allowed.
    """
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
