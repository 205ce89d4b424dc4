"""Reads and checks the fields of INI files.

Another system that fills in a file may write any number with decimals. Whole
numbers are limits of memory, rates and counts, so decimals are rounded down:
the limit that is kept never exceeds the one that was written.
"""

import configparser
import ipaddress
import math
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
_DIGITS = re.compile('[0-9]{1,18}')
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_UNITS = MappingProxyType(
    {'ms': timedelta(milliseconds=1), 's': timedelta(seconds=1)},
)

Reader = Callable[[str], Any]


class Field(NamedTuple):
    """One setting of an INI file.

    `read` parses the text and raises ValueError if it is invalid; `allowed`
    says in error messages which values are valid.
    """

    section: str
    key: str
    read: Reader
    allowed: str
    default: str | None = None


def read_name(text: str) -> str:
    """Reads a name of lower-case letters, digits and dashes."""
    if not _NAME.fullmatch(text):
        raise ValueError
    return text


def read_label(text: str) -> str:
    """Reads a name that another system has given."""
    if not _LABEL.fullmatch(text):
        raise ValueError
    return text


def read_address(text: str) -> str:
    """Reads an `ip:port` address."""
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError
    return text


def read_addresses(text: str) -> tuple[str, ...]:
    """Reads addresses separated by commas."""
    parts = (part.strip() for part in text.split(','))
    return tuple(read_address(part) for part in parts if part)


def read_count(text: str) -> int:
    """Reads a whole number above 0; decimals are rounded down."""
    count = read_bound(text)
    if count <= 0:
        raise ValueError
    return count


def read_bound(text: str) -> int:
    """Reads a whole number of at least 0; decimals are rounded down."""
    if _DIGITS.fullmatch(text):
        return int(text)
    return math.floor(read_number(text))


def read_optional_count(text: str) -> int:
    """Reads a whole number above 0; none is read as 0."""
    return read_count(text) if text else 0


def read_milliseconds(text: str) -> timedelta:
    """Reads a duration given in milliseconds."""
    return timedelta(milliseconds=read_count(text))


def read_seconds(text: str) -> timedelta:
    """Reads a duration given in seconds."""
    return timedelta(seconds=read_count(text))


def read_level(text: str) -> str:
    """Reads the name of a log level."""
    if text not in {'debug', 'info', 'warning', 'error'}:
        raise ValueError
    return text


def read_switch(text: str) -> bool:
    """Reads whether something is enabled."""
    if text not in {'yes', 'no'}:
        raise ValueError
    return text == 'yes'


NAME_RULE = 'lower-case letters, digits and -, at most 63 characters'
LABEL_RULE = 'letters, digits, ., _ and -, at most 63 characters'
ADDRESS_RULE = 'an IP address and a port, for example 192.0.2.1:8080'
COUNT_RULE = 'a whole number above 0'
BOUND_RULE = 'a whole number of at least 0'

DURATION_RULE = 'a number with its unit, for example 250ms or 2.5s'
WINDOW_RULE = 'a duration of at least 1ms, for example 250ms or 2.5s'
NUMBER_RULE = 'a number of at least 0'
SWITCH_RULE = 'yes or no'
FRACTION_RULE = 'a number from 0 to 1'


def read_duration(text: str) -> timedelta:
    """Reads a duration that is written with its unit."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError
    return float(match[1]) * _UNITS[match[2]]


def read_window(text: str) -> timedelta:
    """Reads the length of a window, by which rates are divided."""
    window = read_duration(text)
    if window < _UNITS['ms']:
        raise ValueError
    return window


def read_number(text: str) -> float:
    """Reads a number of at least 0."""
    number = float(text)
    if not 0 <= number < float('inf'):
        raise ValueError
    return number


def read_fraction(text: str) -> float:
    """Reads a fraction from 0 to 1."""
    fraction = read_number(text)
    if fraction > 1:
        raise ValueError
    return fraction


def read_fields(
    path: Path,
    parser: configparser.ConfigParser,
    fields: Mapping[str, Field],
    faults: list[str],
) -> dict[str, Any]:
    """Returns the values of the valid fields by name.

    For each invalid field, a line is added to `faults`.
    """
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
        SettingsInvalid: the file cannot be read or is not an INI file.
    """
    parser = configparser.ConfigParser(interpolation=None, delimiters='=')
    # Names of zones are keys, so the case of keys must be kept.
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
    """Yields an error line for each section or key without a field.

    Args:
        path: the file, for the error lines.
        parser: the content of the file.
        fields: the known fields.
        free_sections: sections whose keys are not checked.
    """
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
                    known_key
                    for field_section, known_key in known
                    if field_section == section
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
        ValueError: the value is missing or invalid; the message names the
            file, the section, the key and what is allowed.
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
