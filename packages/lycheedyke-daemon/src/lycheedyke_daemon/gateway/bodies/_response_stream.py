"""Passes large responses on to their callers while they arrive.

What a caller has not read yet is held up to a bound, and in the memory of all
responses. An upstream cuts off a response that stays unread for some seconds,
so reading stops only at that bound. Once a part of a response was sent, it
either ends complete or its connection is closed.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Self

from aiohttp import web

from lycheedyke.exceptions import BodyMemoryFull
from lycheedyke.protocol import Answered, Outcome
from lycheedyke.transport import BodyMemory, StreamedBody
from lycheedyke_daemon.gateway._decision_log import Telemetry
from lycheedyke_daemon.gateway.bodies._handovers import Handovers
from lycheedyke_daemon.pipeline import TURN, ResponseIncomplete
from lycheedyke_daemon.stopping import RequestTracker

# Shorter responses are received as a whole.
MIN_STREAMED_BYTES = 32_768
# What is held for one caller; above the largest usual response.
MAX_HELD_BYTES = 1_048_576
# The share of the memory of all responses that one may hold.
MAX_HELD_SHARE = 4
# How often it is noticed that the last bytes written were sent.
SENT_POLL = timedelta(milliseconds=50)
STREAMED_COUNTER = 'answer.streamed'
CUT_SHORT_COUNTER = 'answer.cut-short'


class ResponseStreams:
    """Opens the streams of an instance.

    Args:
        memory: bounds the memory of all responses.
        tracker: begins responses, and knows of a planned stop.
        telemetry: counts the streamed and the incomplete responses.

    Attributes:
        handovers: measures how long callers take to receive answers.
    """

    def __init__(
        self,
        memory: BodyMemory,
        tracker: RequestTracker,
        telemetry: Telemetry,
    ) -> None:
        """Initializes the streams of an instance without requests."""
        self.memory = memory
        self.tracker = tracker
        self.counters = telemetry.counters
        self.handovers = Handovers(telemetry.clock)

    def __repr__(self) -> str:
        """Returns the memory."""
        return f'<ResponseStreams in {self.memory!r}>'

    @contextlib.contextmanager
    def open(
        self, request: web.Request, *, is_streamed: bool
    ) -> Iterator['ResponseStream']:
        """Yields the stream of a request, and ends it after the block.

        Args:
            request: the request; `STREAM` then holds its stream.
            is_streamed: whether its response is passed on while it arrives.
        """
        stream = ResponseStream(self, request, is_streamed=is_streamed)
        request[STREAM] = stream
        try:
            yield stream
        finally:
            stream.close()


class ResponseStream:
    """The response to one request, which several upstreams may begin.

    Args:
        streams: the parts that all streams of the instance share.
        request: the request.
        is_streamed: whether the response is passed on while it arrives.

    Attributes:
        has_begun: whether the caller may have received a part of it.
        was_held_up: whether it has waited for the caller or for memory.
    """

    def __init__(
        self,
        streams: ResponseStreams,
        request: web.Request,
        *,
        is_streamed: bool,
    ) -> None:
        """Initializes a stream without a response."""
        self.has_begun = False
        self._streams = streams
        self._request = request
        self._is_streamed = is_streamed
        self._is_open = False
        self._response = web.StreamResponse()
        self._body: StreamedBody | None = None
        self._writer: asyncio.Task[None] | None = None
        self._lost: ConnectionError | None = None
        self._unsent = 0

    @property
    def size(self) -> int:
        """The size of the response that is passed on, in bytes; 0 if none."""
        return (self._response.content_length or 0) if self._is_open else 0

    @property
    def was_held_up(self) -> bool:
        """Whether it has waited for the caller or for memory."""
        return self._body is not None and self._body.was_held_up

    def __repr__(self) -> str:
        """Returns the body."""
        return f'<ResponseStream of {self._body!r}>'

    def open(
        self, status: int, headers: tuple[tuple[str, str], ...], length: int
    ) -> Self | None:
        """Returns where to write the body; None to receive it as a whole.

        A response that stands behind others on its connection is received as
        a whole, since it may wait for them for long.

        Args:
            status: the status of the response.
            headers: the headers that the caller gets.
            length: the length of the body.
        """
        is_first = self._request[TURN].is_first
        if not (self._is_streamed and is_first and length > MIN_STREAMED_BYTES):
            return None
        memory = self._streams.memory
        max_held = min(MAX_HELD_BYTES, memory.max_bytes // MAX_HELD_SHARE)
        self._response = web.StreamResponse(status=status)
        self._response.headers.extend(headers)
        self._response.content_length = length
        self._body = StreamedBody(memory, max_held, length)
        self._is_open = True
        return self

    def begin(self, break_off: Callable[[], None]) -> None:
        """Begins to write to the caller.

        Args:
            break_off: ends the exchange with the upstream.
        """
        assert self._body is not None
        self._body.break_off_rest = break_off
        self._writer = asyncio.create_task(self._write(self._body))

    async def write(self, chunk: bytes) -> None:
        """Takes received bytes, and waits until there is room for them.

        Raises:
            BodyMemoryFull: the body was broken off as the largest one.
        """
        assert self._body is not None
        await self._body.write(chunk)

    def end(self) -> None:
        """Notes that all bytes were received, but perhaps not all written."""
        assert self._body is not None and self._writer is not None
        self._body.break_off_rest = self._stop_writing

    def fail(self) -> None:
        """Drops the body; another upstream may begin it if nothing was sent."""
        self.close()
        self._is_open = self.has_begun

    async def finish(
        self, outcome: Outcome, response: web.Response
    ) -> web.StreamResponse:
        """Writes the rest of the response; returns what the caller gets.

        Args:
            outcome: the outcome of the request.
            response: the answer if no response was passed on.

        Raises:
            ResponseIncomplete: the rest of the response is missing.
            ConnectionError: the caller has left.
        """
        if not self._is_open:
            return response
        if isinstance(outcome, Answered):
            await self._write_rest()
            return self._response
        if self.has_begun:
            raise self._cut_short()
        return response

    def close(self) -> None:
        """Stops writing, and releases the memory."""
        self._stop_writing()
        if self._body is not None:
            self._body.release()

    def _stop_writing(self) -> None:
        if self._writer is not None:
            self._writer.cancel()

    async def _write_rest(self) -> None:
        assert self._body is not None and self._writer is not None
        self._streams.counters.count(STREAMED_COUNTER)
        self._body.finish()
        await asyncio.wait((self._writer,))
        if self._lost is not None:
            raise self._lost
        if self._writer.cancelled() or self._body.is_broken:
            raise self._cut_short()
        # Raises an unexpected error.
        self._writer.result()

    async def _write(self, body: StreamedBody) -> None:
        """Writes the body to the caller, as fast as it reads."""
        try:
            while chunk := await self._next_chunk(body):
                if not self.has_begun:
                    self.has_begun = True
                    await self._streams.tracker.prepare(
                        self._request, self._response
                    )
                await self._response.write(chunk)
                # Waits until the caller has read most of what was written.
                await self._request.writer.drain()
                self._unsent += len(chunk)
                self._release_sent(body)
        except BodyMemoryFull:
            return
        except ConnectionError as error:
            self._lost = error

    async def _next_chunk(self, body: StreamedBody) -> bytes:
        """Waits for bytes to write, and releases those that were sent."""
        while self._unsent:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SENT_POLL.total_seconds()):
                    return await body.next_chunk()
            self._release_sent(body)
        return await body.next_chunk()

    def _release_sent(self, body: StreamedBody) -> None:
        """Releases what was written and does not wait to be sent."""
        transport = self._request.transport
        waiting = transport.get_write_buffer_size() if transport else 0
        sent = max(0, self._unsent - waiting)
        body.release_sent(sent)
        self._unsent -= sent

    def _cut_short(self) -> ResponseIncomplete:
        self._streams.counters.count(CUT_SHORT_COUNTER)
        return ResponseIncomplete('the rest of the response is missing')


STREAM = web.RequestKey('stream', ResponseStream)
