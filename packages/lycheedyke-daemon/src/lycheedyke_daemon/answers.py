"""Converts the complete answer of an upstream to an outcome."""

from lycheedyke.protocol import (
    OUTCOME_HEADER,
    REASON_HEADER,
    Answered,
    NotRun,
    Outcome,
    Reason,
)
from lycheedyke.transport import HttpResponse
from lycheedyke_daemon.work import Work, end_to_end_headers

HTTP_NOT_MODIFIED = 304
_OWN_HEADERS = frozenset((OUTCOME_HEADER.lower(), REASON_HEADER.lower()))


def outcome_of_answer(
    upstream: str, work: Work, answer: HttpResponse
) -> Outcome:
    """Returns the outcome that an upstream's answer stands for."""
    if answer.headers.get(OUTCOME_HEADER) == 'not-run':
        return NotRun(Reason.upstream_refused)
    headers = [
        (name, text)
        for name, text in end_to_end_headers(answer.headers)
        if name.lower() not in _OWN_HEADERS
    ]
    length = answer.headers.get('Content-Length')
    if length and _describes_absent_body(work, answer):
        headers.append(('Content-Length', length))
    return Answered(answer.status, tuple(headers), answer.body, upstream)


def _describes_absent_body(work: Work, answer: HttpResponse) -> bool:
    return work.method == 'HEAD' or answer.status == HTTP_NOT_MODIFIED
