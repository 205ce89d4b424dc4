"""Checks log lines against the events that docs/OPERATIONS.md lists."""

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
    """Returns the fields of each event that docs/OPERATIONS.md lists."""
    page = (ROOT / 'docs/OPERATIONS.md').read_text()
    part = page.split('### Log lines', 1)[1].split('\n### ', 1)[0]
    return {
        name: frozenset(re.findall('`([^`]+)`', fields))
        for name, fields in ROW.findall(part)
    }


def find_unlisted(event: str, fields: set[str]) -> str:
    """Returns the unlisted event or fields of a log line, or ''."""
    listed = listed_events().get(event)
    if listed is None:
        return f'event {event!r}'
    unlisted = (fields - listed) | (fields & COMMON)
    return f'{sorted(unlisted)} of {event!r}' if unlisted else ''


def check_record(record: logging.LogRecord) -> str:
    """Returns the unlisted event or fields of a log record, or ''."""
    fields = vars(record).keys() - PLAIN
    return find_unlisted(record.getMessage(), set(fields))
