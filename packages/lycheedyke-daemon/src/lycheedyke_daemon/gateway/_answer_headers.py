"""The headers in which upstreams say what they want."""

import re
from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.state import MAX_RATE, LimitNotUnderstood
from lycheedyke_daemon.work import MAX_LOGGED

# The longest pause that an upstream may ask for.
MAX_PAUSE = timedelta(minutes=10)
LOAD_FIELDS = 3
# Larger counts of requests are read as this one.
MAX_LOAD = 1_000_000.0
_DECIMAL = re.compile(r'[0-9]{1,300}(?:\.[0-9]{0,300})?')


class HeaderNames(NamedTuple):
    """The names of the headers and the cookie that a deployment uses.

    Attributes:
        request: the id of one attempt of a caller.
        remaining: the milliseconds that the sender still waits.
        object_key_cookie: the cookie with the object key of a request.
        expected_upstream: the name of the upstream that the request is for.
        not_run: present if the upstream has not run the request.
        load: the running requests, waiting requests and slots of an
            upstream, and the pace of its work if it tells that.
        leaving: `1` if the upstream leaves.
        limit: the requests per second that an upstream takes from all
            instances together.
        tenant: the name of the tenant that sent the request.
    """

    request: str
    remaining: str
    object_key_cookie: str
    expected_upstream: str
    not_run: str
    load: str
    leaving: str
    limit: str
    tenant: str


class ReportedLoad(NamedTuple):
    """The load that an upstream reports with an answer.

    Attributes:
        running: the requests that run.
        waiting: the requests that wait.
        pace_percent: the run times as a percentage of the usual ones; None if
            the upstream does not report it.
    """

    running: int
    waiting: int
    pace_percent: float | None = None


def parse_load(text: str) -> ReportedLoad | None:
    """Returns the load that a header reports: three figures or more.

    The third figure, the slots, is read from the record of the upstream. The
    fourth is the pace. Further figures are ignored.

    Returns:
        None if the text reports no load.
    """
    fields = text.split(',')[: LOAD_FIELDS + 1]
    if len(fields) < LOAD_FIELDS:
        return None
    running, waiting, _, *further = map(_parse_decimal, fields)
    if running is None or waiting is None:
        return None
    return ReportedLoad(
        int(min(running, MAX_LOAD)),
        int(min(waiting, MAX_LOAD)),
        further[0] if further else None,
    )


def parse_retry_after(text: str) -> timedelta | None:
    """Returns the time that a `Retry-After` header gives, at most `MAX_PAUSE`.

    Returns:
        None if the text is no number of seconds above zero. Dates are not
        read, as the clocks of upstreams may differ.
    """
    seconds = min(_parse_decimal(text) or 0, MAX_PAUSE.total_seconds())
    return timedelta(seconds=seconds) if seconds else None


def parse_send_limit(text: str) -> float | None:
    """Returns the limit that an upstream names, in requests per second.

    Returns:
        None for a limit that is too high to matter.

    Raises:
        LimitNotUnderstood: the text is no decimal number.
    """
    rate = _parse_decimal(text)
    if rate is None:
        raise LimitNotUnderstood(
            f'limit {text[:MAX_LOGGED]!r} is no decimal number'
        )
    return rate if rate < MAX_RATE else None


def read_send_limit(named: Sequence[str]) -> float | None:
    """Returns the limit that the fields of an answer name, if any.

    Returns:
        The limit in requests per second; None without one, or if it is too
        high to matter.

    Raises:
        LimitNotUnderstood: it is no decimal number, or there are several.
    """
    match named:
        case []:
            return None
        case [text]:
            return parse_send_limit(text)
        case _:
            raise LimitNotUnderstood('several limits in one answer')


def _parse_decimal(text: str) -> float | None:
    """Returns a decimal number, or None if the text is none."""
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    return float(text)
