"""Reads the requests of a connection, and answers them in their order."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any, cast

from aiohttp import web
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpRequestParser, RawRequestMessage, StreamWriter
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.tcp_helpers import tcp_keepalive
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from lycheedyke_daemon.bodies import skip_body
from lycheedyke_daemon.cancellation import is_cancelled
from lycheedyke_daemon.malformed_requests import (
    MALFORMED,
    ROOT,
    is_decodable,
    refuse_malformed,
    refuse_target,
)
from lycheedyke_daemon.pipeline import (
    MAX_UNANSWERED,
    RESUME_UNANSWERED,
    TURN,
    CloseReason,
    Pipeline,
    ResponseIncomplete,
    Turn,
    wait_turn,
)

# The head of one request; each of its fields has a limit of its own.
MAX_HEAD_BYTES_IN_ALL = 131_072
EXPECT = 'Expect'
MS_PER_SECOND = 1000

_logger = logging.getLogger(__name__)

_Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class PipelinedRequestHandler(RequestHandler):
    """Serves the requests of a connection side by side.

    Each request has a task of its own from the arrival of its head on. At most
    `MAX_UNANSWERED` are unanswered; then reading pauses. Malformed bytes, or a
    head that exceeds its limit, are answered 400 after the answers to all
    requests before them; then the connection closes. What follows a request
    that closes the connection is read and dropped: unread bytes would reset
    the connection before its last answers arrive. Where reading is paused at
    that time, they stay unread.

    Args:
        manager: the server.
        options: as for `aiohttp.web.RequestHandler`.
    """

    __slots__ = (
        '_arrived',
        '_head_bytes',
        '_idle_check',
        '_idle_since',
        '_is_last',
        '_opened',
        '_payload',
        '_pipeline',
        '_unparsed',
    )

    def __init__(self, manager: web.Server, **options: Any) -> None:
        """Initializes the handler for a connection without a request."""
        super().__init__(manager, **options)
        # This parser stops after each request, so that malformed bytes do not
        # discard the requests before them.
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self._opened = self._loop.time()
        self._arrived = self._opened
        self._idle_since = self._opened
        self._head_bytes = 0
        self._idle_check: asyncio.TimerHandle | None = None
        self._is_last = False
        self._unparsed = b''
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._pipeline = Pipeline()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; each request starts a task of its own."""
        BaseProtocol.connection_made(self, transport)
        # The transports of uvloop are no subclass of this.
        connection = cast(asyncio.Transport, transport)
        tcp_keepalive(connection)
        if self._manager is not None:
            self._manager.connection_made(self, connection)
        self._check_idle()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends all requests: nobody waits for their answers."""
        super().connection_lost(exc)
        if self._idle_check is not None:
            self._idle_check.cancel()
        for turn in self._pipeline:
            if turn.task is not None:
                turn.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Begins the requests whose heads are complete.

        Args:
            data: received bytes; none to go on with bytes received before.
        """
        if self._force_close or self._parser is None:
            return
        was_in_head = self._payload.is_eof()
        count = self._request_count
        if data:
            self._arrived = self._loop.time()
        self._parse(data)
        if self._request_count != count:
            self._head_bytes = 0
        elif was_in_head and self._reads_on and not self._buffer_paused:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES_IN_ALL:
                self._begin_malformed(
                    BadHttpMessage('the head of the request is too large')
                )

    def close(self) -> None:
        """Begins no further request; closes after the last answer owed."""
        self._pipeline.is_closing = True
        if not self._pipeline:
            self._close_transport(CloseReason.stopping)

    def close_if_idle(self, limit: timedelta) -> bool:
        """Closes the connection if it is idle; returns whether it was closed.

        A connection is in use from the moment at which the head of a request
        has been read until the request is answered and its body is read.

        Args:
            limit: how long the connection may be idle, in time in which the
                machine is not suspended.
        """
        idle = timedelta(seconds=self._loop.time() - self._idle_since)
        if self._pipeline or self._pipeline.is_closing or idle <= limit:
            return False
        self._pipeline.is_closing = True
        self._close_transport(CloseReason.idle)
        return True

    async def shutdown(self, timeout: float | None = None) -> None:
        """Closes the connection once its requests have ended.

        Args:
            timeout: the longest wait in seconds, after which the requests are
                cancelled.
        """
        self.close()
        tasks = [turn.task for turn in self._pipeline if turn.task]
        if tasks:
            _, running = await asyncio.wait(tasks, timeout=timeout)
            if running:
                self._note_close(CloseReason.stopping)
            for task in running:
                task.cancel()
            if running:
                await asyncio.wait(running, timeout=timeout)
        self.force_close()

    def _close_transport(self, reason: CloseReason) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._note_close(reason)
            if reason is CloseReason.incomplete:
                self.transport.abort()
            self.transport.close()

    def _note_close(self, reason: CloseReason) -> None:
        """Notes why the connection is closed; logs it if it is in use."""
        if self._pipeline.closed_by is not None:
            return
        self._pipeline.closed_by = reason
        if self._pipeline.unanswered:
            self._report_unanswered(reason)

    def _report_unanswered(self, reason: CloseReason) -> None:
        """Logs that the instance closes a connection that is in use."""
        now = self._loop.time()
        _logger.warning(
            'connection closed in use',
            extra={
                'closed_by': reason.value,
                'age_ms': round((now - self._opened) * MS_PER_SECOND),
                'silent_ms': round((now - self._arrived) * MS_PER_SECOND),
                **self._pipeline.describe(),
            },
        )

    @property
    def _reads_on(self) -> bool:
        """Whether received bytes are of a request, or of a further one."""
        is_last = self._is_last or self._pipeline.is_closing
        return not (is_last and self._payload.is_eof())

    def _parse(self, data: bytes) -> None:
        """Begins requests until the received bytes hold no further one."""
        self._unparsed += data
        while self._reads_on:
            is_in_body = not self._payload.is_eof()
            if len(self._pipeline) >= MAX_UNANSWERED and not is_in_body:
                self._pause_reading_for_buffer()
                return
            try:
                is_done = self._feed(is_in_body=is_in_body)
            except HttpProcessingError as error:
                self._begin_malformed(error)
                return
            if is_done:
                return
        self._unparsed = b''

    def _feed(self, *, is_in_body: bool) -> bool:
        """Parses up to the end of one request; returns whether none ended."""
        assert self._parser is not None
        received = self._unparsed
        self._unparsed = b''
        try:
            messages, is_upgraded, rest = self._parser.feed_data(received)
        except (ValueError, LookupError) as error:
            # Some authorities of a target make the URL's parser fail.
            raise BadHttpMessage('the target is malformed') from error
        if is_upgraded:
            # No other protocol is served.
            self._parser.set_upgraded(False)
            self._unparsed = rest
        for message, payload in messages:
            self._parser.message_consumed()
            self._begin(message, payload)
        return not messages and not (is_in_body and self._payload.is_eof())

    def _begin(self, message: RawRequestMessage, payload: StreamReader) -> None:
        assert self._request_handler is not None
        self._is_last = message.should_close
        handler: _Handler = self._request_handler
        if not is_decodable(message.url):
            error = BadHttpMessage('the host in the target is malformed')
            self.logger.error('Error handling request', exc_info=error)
            message = message._replace(url=ROOT)
            handler = refuse_target
        self._start(message, payload, handler)

    def _begin_malformed(self, error: HttpProcessingError) -> None:
        """Answers malformed bytes in their turn, and reads no further.

        Those of a body are answered by the request that they belong to.
        """
        self._is_last = True
        self.logger.error('Error handling request', exc_info=error)
        if self._payload.is_eof():
            self._start(MALFORMED, EMPTY_PAYLOAD, refuse_malformed)
        else:
            self._payload.set_exception(RequestPayloadError(str(error)))
            self._payload = EMPTY_PAYLOAD

    def _start(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        handler: _Handler,
    ) -> None:
        """Starts the task that answers a request."""
        assert self._manager is not None and self._request_factory is not None
        self._manager.requests_count += 1
        self._request_count += 1
        self._payload = payload
        turn = self._pipeline.add(self._arrived)
        turn.task = self._loop.create_task(
            self._serve(turn, message, payload, handler)
        )

    async def _serve(
        self,
        turn: Turn,
        message: RawRequestMessage,
        payload: StreamReader,
        handler: _Handler,
    ) -> None:
        """Answers one request, and closes the connection if it was the last."""
        is_open = False
        reason = CloseReason.failed
        try:
            request = self._make_request(turn, message, payload)
            is_open = await self._answer(request, handler)
            reason = CloseReason.last_answer
        except ConnectionError as error:
            _logger.debug('connection lost', exc_info=True)
            if isinstance(error, ResponseIncomplete):
                reason = CloseReason.incomplete
        except Exception:
            self.logger.exception('connection closed')
        finally:
            self._end(turn, None if is_open else reason)

    def _make_request(
        self, turn: Turn, message: RawRequestMessage, payload: StreamReader
    ) -> web.BaseRequest:
        assert turn.task is not None and self._request_factory is not None
        request = self._request_factory(
            message, payload, self, StreamWriter(self, self._loop), turn.task
        )
        request[TURN] = turn
        return request

    async def _answer(
        self, request: web.BaseRequest, handler: _Handler
    ) -> bool:
        """Returns whether the connection stays open after the answer."""
        if EXPECT in request.headers:
            # The interim answer stands among the others.
            await request[TURN].wait_first()
        response = await self._run(request, handler)
        if not response.prepared:
            await wait_turn(request, response)
            await response.prepare(request)
        await response.write_eof()
        # A caller that reads slowly holds up the answers to its requests.
        await self._drain_helper()
        request[TURN].is_answered = True
        # A caller that still sends its body would be reset by a close.
        is_whole = await skip_body(request.content, self._lingering_time)
        return is_whole and bool(response.keep_alive)

    async def _run(
        self, request: web.BaseRequest, handler: _Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPException as error:
            return error
        except RequestPayloadError:
            return await refuse_malformed(request)
        except (Exception, asyncio.CancelledError) as error:
            is_ended = isinstance(error, asyncio.CancelledError)
            # Once bytes are written, the answer can only be incomplete.
            if (is_ended and is_cancelled()) or request.writer.output_size > 0:
                raise
            self.logger.exception('Error handling request')
            return web.Response(
                status=HTTPStatus.INTERNAL_SERVER_ERROR, text='internal error'
            )

    def _end(self, turn: Turn, reason: CloseReason | None) -> None:
        """Goes on after the end of a request.

        Args:
            turn: the request.
            reason: why the connection is to be closed; None to keep it open.
        """
        self._pipeline.end(turn)
        self._idle_since = self._loop.time()
        if turn.is_dropped:
            return
        is_last = self._pipeline.is_closing and not self._pipeline
        if reason is not None or is_last:
            self._pipeline.is_closing = True
            self._close_transport(reason or CloseReason.last_answer)
        elif self._buffer_paused and len(self._pipeline) <= RESUME_UNANSWERED:
            self._buffer_paused = False
            self._parse(b'')
            if not self._buffer_paused:
                self._resume_reading_for_buffer()

    def _check_idle(self) -> None:
        """Closes the connection at the server's limit for idle ones."""
        limit = self._keepalive_timeout
        if self.close_if_idle(timedelta(seconds=limit)):
            return
        due = self._idle_since + limit
        now = self._loop.time()
        if due <= now:
            due = now + limit
        self._idle_check = self._loop.call_at(due, self._check_idle)
