"""One exchange with one upstream, and what its answer stands for."""

from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.exceptions import (
    ConnectError,
    ConnectionRefusedByHost,
    ExchangeBroken,
)
from lycheedyke.protocol import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from lycheedyke.state import UpstreamState
from lycheedyke.transport import HttpClient, HttpResponse
from lycheedyke_daemon.failures import outcome_of_error
from lycheedyke_daemon.work import Work, end_to_end_headers

MILLISECOND = timedelta(milliseconds=1)
HTTP_MISDIRECTED = 421
HTTP_FAILURES = 500
# Upstreams of the users close idle connections after ten seconds.
UPSTREAM_IDLE_LIMIT = timedelta(seconds=5)
# Several round trips between regions.
CONNECT_LIMIT = timedelta(milliseconds=500)
MAX_ANSWER_BYTES = 67_108_864
LOAD_PARTS = 3


class HeaderNames(NamedTuple):
    """The headers that callers and upstreams of a deployment use.

    Attributes:
        request: identifies one attempt of a caller.
        remaining: the milliseconds that the sender will wait.
        object_key_cookie: the cookie that names the object of a request.
        expected_upstream: names the upstream that is to run the request.
        not_run: says that an upstream has not run the request.
        load: running and waiting requests and slots of an upstream.
    """

    request: str
    remaining: str
    object_key_cookie: str
    expected_upstream: str
    not_run: str
    load: str


class UpstreamClient:
    """Sends work to upstreams and reads whole answers.

    Args:
        names: the headers of the deployment.
        clock: measures deadlines.
    """

    def __init__(self, names: HeaderNames, clock: Clock) -> None:
        """Makes an exchange without connections."""
        self._names = names
        self._clock = clock
        self._http = HttpClient(
            max_body_bytes=MAX_ANSWER_BYTES,
            idle_timeout=UPSTREAM_IDLE_LIMIT,
            connect_timeout=CONNECT_LIMIT,
            allow_close_delimited=True,
        )

    def __repr__(self) -> str:
        """Returns the client."""
        return f'<UpstreamExchange over {self._http!r}>'

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    async def run(self, state: UpstreamState, work: Work) -> Outcome:
        """Returns the outcome of work at one upstream.

        Non-idempotent work goes over a new connection: one that the
        upstream has just closed would leave open whether it ran.
        """
        record = state.record
        remaining = work.deadline - self._clock.elapsed()
        if remaining < MILLISECOND:
            return NotRun(Reason.deadline_passed)
        try:
            answer = await self._http.send(
                work.method,
                f'http://{record.address}{work.target}',
                timeout=remaining,
                headers=(
                    *work.headers,
                    (self._names.remaining, str(remaining // MILLISECOND)),
                    (self._names.expected_upstream, record.name),
                ),
                body=work.body or None,
                reuse=work.idempotent,
            )
        except ConnectError as error:
            self._note_unreachable(state, error)
            return outcome_of_error(error)
        except ExchangeBroken as error:
            state.record_failure()
            return outcome_of_error(error)
        return self._read(state, work, answer)

    def _note_unreachable(
        self,
        state: UpstreamState,
        error: ConnectError,
    ) -> None:
        if isinstance(error, ConnectionRefusedByHost):
            state.mark_lost()
        else:
            state.record_failure(is_unreachable=True)

    def _read(
        self,
        state: UpstreamState,
        work: Work,
        answer: HttpResponse,
    ) -> Outcome:
        state.record_answer()
        if answer.status == HTTP_MISDIRECTED:
            # Another upstream has the address.
            state.mark_lost()
            return NotRun(Reason.upstream_replaced)
        self._note_load(state, answer)
        if self._names.not_run in answer.headers:
            return NotRun(Reason.upstream_refused)
        if answer.headers.get(self._names.request) != work.request_id:
            state.record_failure()
            return Unknown(Reason.upstream_broke)
        if answer.status >= HTTP_FAILURES:
            state.record_failure()
        else:
            state.record_success()
        return Answered(
            answer.status,
            tuple(end_to_end_headers(answer.headers)),
            answer.body,
            state.record.name,
        )

    def _note_load(self, state: UpstreamState, answer: HttpResponse) -> None:
        parts = answer.headers.get(self._names.load, '').split(',')
        if len(parts) != LOAD_PARTS:
            return
        running, waiting, _ = parts
        if running.isdecimal() and waiting.isdecimal():
            state.record_load(int(running), int(waiting))
