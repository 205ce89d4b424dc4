"""Checks that the fields of a registry record are within their ranges."""

import re
from collections.abc import Iterator
from datetime import timedelta

from lycheedyke.exceptions import DocumentMalformed
from lycheedyke.protocol._registry import (
    EntryRecord,
    RegistryItem,
    RegistryRecord,
    UpstreamRecord,
)
from lycheedyke.protocol._suspect_record import SuspectRecord

MAX_PORT = 65_535
MAX_SLOTS = 10_000
MAX_NOTED_CRASHES = 64
MAX_COLD = timedelta(days=1)
# The last millisecond of the year 9999.
MAX_BORN = 253_402_300_799_999
# Characters of a value in an error.
MAX_QUOTED = 100
_ADDRESS = re.compile(r'(?:[0-9A-Za-z._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})')
# Names are sent in headers.
_NAME = re.compile('[!-~]{1,200}')


def check_record(record: RegistryRecord) -> None:
    """Checks all fields of a record that others may write.

    Raises:
        DocumentMalformed: a field is out of its range.
    """
    faults = '; '.join(_find_faults(record))
    if faults:
        raise DocumentMalformed(faults)


def is_valid_item(item: RegistryItem) -> bool:
    """Returns whether the fields of an item's record are in their ranges."""
    if item.record is None:
        return True
    return next(_find_faults(item.record), None) is None


def _find_faults(record: RegistryRecord) -> Iterator[str]:
    match record:
        case UpstreamRecord():
            yield from _find_upstream_faults(record)
        case EntryRecord():
            yield from _check_names(record.name, zone=record.zone)
            yield from _check_address('caller', record.caller_address)
            yield from _check_address('peer', record.peer_address)
        case SuspectRecord():
            yield from _find_suspect_faults(record)


def _find_upstream_faults(record: UpstreamRecord) -> Iterator[str]:
    yield from _check_names(
        record.name, zone=record.zone, service=record.service
    )
    yield from _check_address('upstream', record.address)
    if not 1 <= record.slots <= MAX_SLOTS:
        yield f'the slots are not between 1 and {MAX_SLOTS}'
    if record.cold > MAX_COLD:
        yield f'cold for {record.cold}, which is longer than {MAX_COLD}'
    if not 0 <= record.born <= MAX_BORN:
        yield 'born is no time in Unix milliseconds'


def _find_suspect_faults(record: SuspectRecord) -> Iterator[str]:
    if not 1 <= len(record.crashes) <= MAX_NOTED_CRASHES:
        yield f'the crashes are not between 1 and {MAX_NOTED_CRASHES}'
    times = (record.expires_ms, *(crash.at_ms for crash in record.crashes))
    if not all(0 <= time <= MAX_BORN for time in times):
        yield 'a time is none in Unix milliseconds'


def _check_names(name: str, **others: str) -> Iterator[str]:
    for field, text in ('name', name), *others.items():
        if _NAME.fullmatch(text) is None:
            yield f'{field} {_quote(text)} is no name'


def _check_address(field: str, address: str) -> Iterator[str]:
    found = _ADDRESS.fullmatch(address)
    if found is None or not 1 <= int(found[1]) <= MAX_PORT:
        yield f'{field} address {_quote(address)} is no host and port'


def _quote(text: str) -> str:
    return repr(text[:MAX_QUOTED])
