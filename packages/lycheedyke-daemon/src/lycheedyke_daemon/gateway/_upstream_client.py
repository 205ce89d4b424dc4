"""Sends requests to upstreams and reads the outcomes of their answers."""

import functools
from collections.abc import Mapping
from datetime import timedelta

import multidict
from aiohttp import web

from lycheedyke.exceptions import (
    ConnectError,
    ConnectionRefusedByHost,
    ExchangeBroken,
    ResponseMemoryFull,
    ResponseTooLarge,
    UpstreamLimited,
    UpstreamWithdrawn,
    WriteTooLate,
)
from lycheedyke.protocol import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
    UpstreamRecord,
)
from lycheedyke.state import (
    LimitNotUnderstood,
    LossReason,
    PermitBook,
    SendPermit,
    UpstreamState,
    UpstreamTable,
)
from lycheedyke.transport import (
    BodyMemory,
    BodySink,
    ExchangeChecks,
    HttpClient,
    HttpResponse,
)
from lycheedyke_daemon.answers import forwarded_headers
from lycheedyke_daemon.failures import outcome_of_error
from lycheedyke_daemon.gateway._answer_headers import (
    HeaderNames,
    parse_load,
    parse_retry_after,
    read_send_limit,
)
from lycheedyke_daemon.gateway._decision_log import Telemetry
from lycheedyke_daemon.gateway.bodies import open_stream, was_held_up
from lycheedyke_daemon.stopping import Handler
from lycheedyke_daemon.work import MAX_LOGGED, Work

MILLISECOND = timedelta(milliseconds=1)
HTTP_OK = 200
HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
# To callers they promise, as 421 does, that the request has not run.
REFUSALS = frozenset((408, 429, HTTP_UNAVAILABLE))
# Below the ten seconds after which upstreams close idle connections. One that
# states its limit in its answers is believed.
UPSTREAM_IDLE_TIMEOUT = timedelta(seconds=5)
LONGEST_IDLE_TIMEOUT = timedelta(seconds=30)
# Several round trips between regions.
CONNECT_TIMEOUT = timedelta(milliseconds=500)
MAX_ANSWER_BYTES = 67_108_864
RETRY_AFTER = 'Retry-After'
LEAVING = '1'
# Answers that were broken off since all answers filled the memory, or since
# one exceeded a limit of its own.
MEMORY_FULL_COUNTER = 'answer.memory-full'
LARGE_COUNTER = 'answer.too-large'


class Sending:
    """One request on its way to an upstream.

    Attributes:
        permit: the permit to send it, if the upstream has named a limit.
        written_at: when it was written; None before.
    """

    def __init__(self, permit: SendPermit | None = None) -> None:
        """Initializes a request that is not written."""
        self.permit = permit
        self.written_at: timedelta | None = None

    def __repr__(self) -> str:
        """Returns when it was written."""
        return f'<Sending written at {self.written_at}>'


class UpstreamClient:
    """Sends work to upstreams and reads their complete answers.

    Args:
        names: the header names of the deployment.
        table: tells at the write whether an upstream may still get requests.
        permits: confirms at the write the permit for a limited upstream.
        telemetry: measures deadlines, counts and logs broken answers.
        memory: bounds the memory of all answers.
    """

    def __init__(
        self,
        names: HeaderNames,
        table: UpstreamTable,
        permits: PermitBook,
        telemetry: Telemetry,
        memory: BodyMemory,
    ) -> None:
        """Initializes the HTTP client."""
        self._names = names
        self._table = table
        self._permits = permits
        self._clock = telemetry.clock
        self._counters = telemetry.counters
        self._decision_log = telemetry.decision_log
        self._memory = memory
        self._http = HttpClient(
            max_body_bytes=MAX_ANSWER_BYTES,
            idle_timeout=UPSTREAM_IDLE_TIMEOUT,
            longest_idle_timeout=LONGEST_IDLE_TIMEOUT,
            connect_timeout=CONNECT_TIMEOUT,
            allow_close_delimited=True,
            memory=memory,
        )

    def __repr__(self) -> str:
        """Returns the HTTP client."""
        return f'<UpstreamClient over {self._http!r}>'

    @web.middleware
    async def hold_answers(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Accounts for answers until they are written to their caller."""
        with self._memory.hold():
            return await handler(request)

    @property
    def memory(self) -> BodyMemory:
        """The memory of all answers."""
        return self._memory

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    async def run(
        self, state: UpstreamState, work: Work, sending: Sending
    ) -> Outcome:
        """Sends work to one upstream and returns its outcome.

        Non-idempotent work is sent over a new connection: if the upstream
        closes a reused one, it is unknown whether the work has run.

        Args:
            state: the upstream.
            work: the work.
            sending: the permit; tells afterwards when the work was written.
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
                checks=ExchangeChecks(
                    functools.partial(
                        self._check_write, state, record, work, sending
                    ),
                    functools.partial(self._is_own, work),
                    functools.partial(self._accept, state, work),
                ),
            )
        except ConnectError as error:
            self._mark_unreachable(state, error)
            return outcome_of_error(error)
        except ExchangeBroken as error:
            # An upstream breaks off a response that its caller reads slowly.
            if not was_held_up(work):
                state.record_failure()
            outcome = outcome_of_error(error)
            if isinstance(error, ResponseTooLarge):
                self._tell_too_large(state, work, outcome, error)
            return outcome
        return self._read_outcome(state, record, work, sending, answer)

    def _is_own(self, work: Work, headers: Mapping[str, str]) -> bool:
        """Returns whether an answer names the request that was sent.

        One without an id proves nothing, and neither does its refusal.
        """
        return headers.get(self._names.request) == work.request_id

    def _accept(
        self,
        state: UpstreamState,
        work: Work,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> BodySink | None:
        """Returns where to pass a response on while it arrives, if at all."""
        sink = open_stream(work, status, headers, self._names.not_run)
        if sink is not None:
            # It is not silent, however long the rest takes.
            state.record_answer()
        return sink

    def _check_write(
        self,
        state: UpstreamState,
        chosen: UpstreamRecord,
        work: Work,
        sending: Sending,
    ) -> None:
        """Checks that an upstream may still get a request.

        A request may have waited since the upstream was chosen.

        Raises:
            UpstreamWithdrawn: it leaves, is gone, was replaced, or its zone
                was evacuated.
            UpstreamLimited: it takes no further request for now.
        """
        try:
            self._check_in_use(state, chosen)
            # The check runs again before a body is written.
            if sending.written_at is None:
                self._check_limit(state, sending)
                sending.written_at = self._clock.elapsed()
        except UpstreamWithdrawn as error:
            self._counters.count('write.withheld')
            self._decision_log.write(
                'write withheld',
                work.request_id,
                outcome_of_error(error),
                sent_to=chosen.name,
            )
            raise

    def _check_in_use(
        self, state: UpstreamState, chosen: UpstreamRecord
    ) -> None:
        is_same = state.record.incarnation == chosen.incarnation
        if not is_same or not self._table.is_serving(state):
            raise UpstreamWithdrawn(f'upstream {chosen.name!r} was withdrawn')

    def _check_limit(self, state: UpstreamState, sending: Sending) -> None:
        if not self._permits.confirm(state, sending.permit):
            raise UpstreamLimited(
                f'upstream {state.record.name!r} takes no request for now'
            )

    def _mark_unreachable(
        self,
        state: UpstreamState,
        error: ConnectError,
    ) -> None:
        match error:
            case ConnectionRefusedByHost():
                state.mark_lost(LossReason.refused)
            case WriteTooLate() | UpstreamWithdrawn():
                # Says nothing about the upstream.
                pass
            case _:
                state.record_failure(is_unreachable=True)

    def _tell_too_large(
        self,
        state: UpstreamState,
        work: Work,
        outcome: Outcome,
        error: ResponseTooLarge,
    ) -> None:
        is_full = isinstance(error, ResponseMemoryFull)
        self._counters.count(MEMORY_FULL_COUNTER if is_full else LARGE_COUNTER)
        self._decision_log.write(
            'answer broken off',
            work.request_id,
            outcome,
            sent_to=state.record.name,
            error=str(error),
            memory_used=self._memory.used,
        )

    def _read_outcome(
        self,
        state: UpstreamState,
        record: UpstreamRecord,
        work: Work,
        sending: Sending,
        answer: HttpResponse,
    ) -> Outcome:
        state.record_answer()
        if answer.status == HTTP_MISDIRECTED:
            # Another upstream uses this address now.
            state.mark_lost(LossReason.replaced)
            return NotRun(Reason.upstream_replaced)
        state.record_identity()
        self._record_load(state, answer)
        self._record_limit(record, work, sending, answer)
        is_paused = self._record_wishes(record, work, answer)
        if self._names.not_run in answer.headers:
            return NotRun(Reason.upstream_refused)
        # A caller would go on waiting after an interim answer such as 101.
        if answer.status < HTTP_OK:
            state.record_failure()
            return Unknown(Reason.upstream_broke)
        if answer.status < HTTP_SERVER_ERROR:
            state.record_success()
        elif not is_paused:
            state.record_failure()
        if answer.status in REFUSALS and not work.idempotent:
            return Unknown(Reason.refusal_unconfirmed)
        return Answered(
            answer.status,
            forwarded_headers(work, answer),
            answer.body,
            state.record.name,
        )

    def _record_wishes(
        self, record: UpstreamRecord, work: Work, answer: HttpResponse
    ) -> bool:
        """Records what an upstream wants; returns whether it wants a pause."""
        if answer.headers.get(self._names.leaving, '').strip() == LEAVING:
            self._table.mark_leaving(record)
        text = answer.headers.get(RETRY_AFTER)
        if answer.status != HTTP_UNAVAILABLE or text is None:
            return False
        pause = parse_retry_after(text)
        if pause is None:
            self._counters.count('retry-after.not-understood')
            self._tell(
                'pause not understood',
                work,
                record,
                retry_after=text[:MAX_LOGGED],
            )
            return False
        self._table.pause(record, pause)
        return True

    def _record_limit(
        self,
        record: UpstreamRecord,
        work: Work,
        sending: Sending,
        answer: HttpResponse,
    ) -> None:
        """Records the limit that an answer names, or that it names none.

        A limit that is not understood neither sets nor ends one.
        """
        named = answer.headers.getall(self._names.limit, ())
        try:
            rate = read_send_limit(named)
        except LimitNotUnderstood:
            self._counters.count('limit.not-understood')
            self._tell(
                'limit not understood',
                work,
                record,
                limit=', '.join(named)[:MAX_LOGGED],
            )
            return
        self._table.record_limit(record, rate, sending.written_at)

    def _tell(
        self, event: str, work: Work, record: UpstreamRecord, **fields: object
    ) -> None:
        """Logs an answer that says something that is not understood."""
        self._decision_log.write(
            event,
            work.request_id,
            NotRun(Reason.upstream_refused),
            sent_to=record.name,
            **fields,
        )

    def _record_load(self, state: UpstreamState, answer: HttpResponse) -> None:
        load = parse_load(answer.headers.get(self._names.load, ''))
        if load is not None:
            state.record_load(*load)
