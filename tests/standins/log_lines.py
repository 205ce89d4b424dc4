"""The events that the operator's page lists, and whether lines keep to it."""

import logging
import re
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ROW = re.compile(r'^\| `([^`]+)` \| ([^|]*) \|$', re.MULTILINE)
PLAIN = frozenset(logging.makeLogRecord({}).__dict__) | {'asctime', 'message'}
COMMON = frozenset(('time', 'level', 'instance', 'zone', 'logger', 'event'))


@cache
def listed_events() -> dict[str, frozenset[str]]:
    """Returns the fields of each event that the page lists."""
    page = (ROOT / 'docs/OPERATIONS.md').read_text()
    part = page.split('### Log lines', 1)[1].split('\n### ', 1)[0]
    return {
        name: frozenset(re.findall('`([^`]+)`', fields))
        for name, fields in ROW.findall(part)
    }


def find_unlisted(event: str, fields: set[str]) -> str:
    """Returns what the page does not list of a line; '' if it lists all."""
    listed = listed_events().get(event)
    if listed is None:
        return f'event {event!r}'
    strange = (fields - listed) | (fields & COMMON)
    return f'{sorted(strange)} of {event!r}' if strange else ''


def check_record(record: logging.LogRecord) -> str:
    """Returns what the page does not list of a record; '' if it lists all."""
    fields = vars(record).keys() - PLAIN
    return find_unlisted(record.getMessage(), set(fields))
