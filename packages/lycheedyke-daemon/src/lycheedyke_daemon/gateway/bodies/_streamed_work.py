"""Work whose response is passed on while it arrives."""

import multidict

from lycheedyke.transport import BodySink, HttpResponse
from lycheedyke_daemon.answers import forwarded_headers
from lycheedyke_daemon.work import Work

HTTP_SUCCESS = range(200, 300)
CONTENT_LENGTH = 'Content-Length'


def open_stream(
    work: Work,
    status: int,
    headers: multidict.CIMultiDictProxy[str],
    not_run: str,
) -> BodySink | None:
    """Returns where to write the body of a response, if it is passed on.

    Refusals and errors are received as a whole: the request may be sent to
    another upstream.

    Args:
        work: the work.
        status: the status of the response.
        headers: its headers, with a `Content-Length`.
        not_run: the name of the header of responses to work that did not run.
    """
    target = work.response_target
    if target is None or not_run in headers or status not in HTTP_SUCCESS:
        return None
    head = HttpResponse(status, headers, b'')
    return target.open(
        status, forwarded_headers(work, head), int(headers[CONTENT_LENGTH])
    )


def was_held_up(work: Work) -> bool:
    """Returns whether the response has waited for its caller."""
    target = work.response_target
    return target is not None and target.was_held_up
