"""Sets up logging with absl, as JSON lines on standard output."""

import json
import logging
import sys
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta

from absl import flags
from absl import logging as absl_logging

from lycheedyke_daemon.log_writer import BoundedWriter

# Attributes of every record; others were passed as `extra` fields.
_STANDARD_FIELDS = frozenset(logging.makeLogRecord({}).__dict__) | {
    'asctime',
    'message',
}


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object on one line.

    Args:
        instance: the name of the instance.
        zone: its availability zone.
    """

    def __init__(self, instance: str, zone: str) -> None:
        """Initializes the formatter."""
        super().__init__()
        self._instance = instance
        self._zone = zone

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as a line of JSON."""
        event = {
            'time': datetime.fromtimestamp(record.created, UTC).isoformat(),
            'level': record.levelname.lower(),
            'instance': self._instance,
            'zone': self._zone,
            'logger': record.name,
            'event': record.getMessage(),
        }
        event.update(
            (name, field)
            for name, field in record.__dict__.items()
            if name not in _STANDARD_FIELDS
        )
        if record.exc_info:
            event['error'] = self.formatException(record.exc_info)
        return json.dumps(event, default=_to_json)


def _to_json(value: object) -> object:
    match value:
        case timedelta():
            return f'{value.total_seconds():g}s'
        case Mapping():
            return dict(value)
        case _:
            return repr(value)


def configure_logging(instance: str, zone: str, level: str) -> BoundedWriter:
    """Sends all logs of the process to standard output as JSON lines.

    Returns:
        The writer, which the caller has to close at the end.
    """
    # absl prints a warning line unless flags were parsed, even if none.
    flags.FLAGS(['lycheedyked'])
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(instance, zone))
    writer = BoundedWriter(sys.stdout)
    handler.python_handler.setStream(writer)
    return writer
