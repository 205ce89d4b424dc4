"""Converts the complete answer of an upstream to an outcome."""

from lycheedyke.protocol import (
    OUTCOME_HEADER,
    REASON_HEADER,
    Answered,
    NotRun,
    Outcome,
    Reason,
)
from lycheedyke.transport import HttpResponse, length_of_absent_body
from lycheedyke_daemon.work import Work, end_to_end_headers

_OWN_HEADERS = frozenset((OUTCOME_HEADER.lower(), REASON_HEADER.lower()))


def outcome_of_answer(
    upstream: str, work: Work, answer: HttpResponse
) -> Outcome:
    """Returns the outcome that an upstream's answer stands for."""
    if answer.headers.get(OUTCOME_HEADER) == 'not-run':
        return NotRun(Reason.upstream_refused)
    headers = tuple(
        (name, text)
        for name, text in forwarded_headers(work, answer)
        if name.lower() not in _OWN_HEADERS
    )
    return Answered(answer.status, headers, answer.body, upstream)


def forwarded_headers(
    work: Work, answer: HttpResponse
) -> tuple[tuple[str, str], ...]:
    """Returns the headers of an answer that its caller gets."""
    headers = tuple(end_to_end_headers(answer.headers))
    length = length_of_absent_body(work.method, answer.status, answer.headers)
    if length is None:
        return headers
    return (*headers, ('Content-Length', length))
