"""Reports requests that end without an answer."""

import asyncio
import functools
from datetime import timedelta

from aiohttp import web

from lycheedyke.protocol import NotRun, Reason, Unknown
from lycheedyke_daemon.cancellation import is_cancelled
from lycheedyke_daemon.gateway._decision_log import Telemetry
from lycheedyke_daemon.gateway._stop_schedule import StopSchedule
from lycheedyke_daemon.pipeline import TURN, ResponseIncomplete
from lycheedyke_daemon.stopping import Handler

MILLISECOND = timedelta(milliseconds=1)
# The upstreams that a request was sent to, in this order.
SENT_TO = web.RequestKey('sent_to', list[str])


class UnansweredReport:
    """Logs and counts the requests whose answers were not written.

    Args:
        id_header: the name of the header with the id of a request.
        telemetry: the log and the counters.
        schedule: whether a planned stop closes the connections.
    """

    def __init__(
        self,
        id_header: str,
        telemetry: Telemetry,
        schedule: StopSchedule,
    ) -> None:
        """Initializes the report."""
        self._id_header = id_header
        self._clock = telemetry.clock
        self._counters = telemetry.counters
        self._decision_log = telemetry.decision_log
        self._schedule = schedule

    def __repr__(self) -> str:
        """Returns the header of the ids."""
        return f'<UnansweredReport by {self._id_header}>'

    def track(self, handler: Handler) -> Handler:
        """Returns a handler whose unanswered requests are reported.

        Args:
            handler: also writes the answer. It adds the upstreams that it
                sends a request to to the request's `SENT_TO`.
        """
        return functools.partial(self._serve, handler)

    async def _serve(
        self,
        handler: Handler,
        request: web.Request,
    ) -> web.StreamResponse:
        started = self._clock.elapsed()
        request[SENT_TO] = []
        try:
            return await handler(request)
        except ResponseIncomplete:
            # The end of the request was reported with its outcome.
            raise
        except (asyncio.CancelledError, ConnectionError) as error:
            reason = self._find_reason(request)
            is_fault = reason is Reason.internal_error
            # The error may be of an upstream's connection.
            if not (is_fault and _is_answerable(request, error)):
                self._report(request, reason, self._clock.elapsed() - started)
            raise

    def _report(
        self, request: web.Request, reason: Reason, took: timedelta
    ) -> None:
        sent_to = request[SENT_TO]
        closed_by = request[TURN].closed_by
        self._counters.count(f'unanswered.{reason.value}')
        self._decision_log.write(
            'request unanswered',
            request.headers.get(self._id_header, ''),
            Unknown(reason) if sent_to else NotRun(reason),
            sent_to=','.join(sent_to),
            closed_by=closed_by.value if closed_by else '',
            took_ms=took // MILLISECOND,
        )

    def _find_reason(self, request: web.Request) -> Reason:
        if request[TURN].is_dropped:
            return Reason.behind_close
        if self._schedule.is_over:
            return Reason.stopping
        if request[TURN].closed_by is not None:
            return Reason.connection_closed
        transport = request.transport
        if transport is None or transport.is_closing():
            return Reason.caller_left
        return Reason.internal_error


def _is_answerable(request: web.Request, error: BaseException) -> bool:
    """Returns whether the server answers 500 on an open connection."""
    is_ended = isinstance(error, asyncio.CancelledError) and is_cancelled()
    return not is_ended and not request.writer.output_size
