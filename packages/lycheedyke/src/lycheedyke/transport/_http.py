"""An HTTP client that reports whether a request may have been sent."""

import asyncio
import functools
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from types import TracebackType
from typing import NamedTuple, Self

import aiohttp
import multidict
import yarl

from lycheedyke.exceptions import (
    BodyTooLarge,
    ExchangeBroken,
    ResponseMemoryFull,
)
from lycheedyke.timers import ProgressTimeout, progress_timeout
from lycheedyke.transport._body_memory import BodyMemory, IncomingBody
from lycheedyke.transport._connector import Connector, IdleLimits
from lycheedyke.transport._framing import has_body, has_length
from lycheedyke.transport._http_errors import exchange_error, too_large_error
from lycheedyke.transport._sockets import open_socket
from lycheedyke.transport._streaming import (
    Accept,
    BodySink,
    find_sink,
    pass_on,
)
from lycheedyke.transport._write_gate import (
    BeforeWrite,
    GatedRequest,
    WriteGate,
    gate_of_task,
)

DEFAULT_IDLE_TIMEOUT = timedelta(seconds=15)
DEFAULT_MAX_BODY_BYTES = 1_048_576
DEFAULT_BODY_MEMORY_BYTES = 67_108_864
# The largest status line, and the largest header field, of a response.
MAX_HEAD_BYTES = 32_768
# The received bytes of one body that wait to be read, twice this at most
# before the connection is read no further.
READ_BUFFER_BYTES = 16_384
DEFAULT_CONNECT_TIMEOUT = timedelta(seconds=1)
# The share of the timeout of an exchange that connecting may take.
CONNECT_SHARE = 0.8
IsOwn = Callable[[Mapping[str, str]], bool]
# An address may be none that a socket can have.
_EXCHANGE_ERRORS = (aiohttp.ClientError, ArithmeticError, OSError, ValueError)


class HttpResponse(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes
    # From the head of the response to its end.
    took: timedelta = timedelta()


class ExchangeChecks(NamedTuple):
    """What the user of a client checks during an exchange.

    Attributes:
        before_write: called once a connection is available, right before the
            request is written. If it raises an error, nothing is sent and the
            caller gets the error.
        is_own: returns whether headers are those of a response to this request.
            The other side may send an earlier response again.
        accept: returns where to write the body of a response with a length
            while it arrives, or None to read it as a whole. The returned
            response then has no body.
        longest: the longest time for an exchange whose body goes on arriving,
            each part within the timeout after the one before; None where the
            timeout limits the exchange as a whole.
    """

    before_write: BeforeWrite | None = None
    is_own: IsOwn | None = None
    accept: Accept | None = None
    longest: timedelta | None = None


NO_CHECKS = ExchangeChecks()


class HttpClient:
    """An HTTP client with a connection pool, usable with `async with`.

    Args:
        max_connections: the maximum number of open connections to one
            address.
        max_body_bytes: the largest accepted response body, in bytes.
        idle_timeout: how long a pooled connection may be idle if the other
            side does not state its limit.
        longest_idle_timeout: how long one may be idle if the other side states
            a longer time; None for `idle_timeout`.
        connect_timeout: the longest time for connecting.
        allow_close_delimited: whether a response without a length is
            accepted, whose body ends where the connection is closed.
        memory: bounds the memory of all bodies; may be shared by clients.
    """

    def __init__(
        self,
        *,
        max_connections: int = 100,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        idle_timeout: timedelta = DEFAULT_IDLE_TIMEOUT,
        longest_idle_timeout: timedelta | None = None,
        connect_timeout: timedelta = DEFAULT_CONNECT_TIMEOUT,
        allow_close_delimited: bool = False,
        memory: BodyMemory | None = None,
    ) -> None:
        """Initializes the client without opening a connection."""
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._idle_limits = IdleLimits(
            idle_timeout, longest_idle_timeout or idle_timeout
        )
        self._connect_timeout = connect_timeout
        self._allow_close_delimited = allow_close_delimited
        self._memory = memory or BodyMemory(DEFAULT_BODY_MEMORY_BYTES)
        self._pooled: aiohttp.ClientSession | None = None
        self._unpooled: aiohttp.ClientSession | None = None

    def __repr__(self) -> str:
        """Returns the constructor call."""
        return f'HttpClient(max_connections={self._max_connections})'

    async def __aenter__(self) -> Self:
        """Returns the client itself."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        for session in (self._pooled, self._unpooled):
            if session is not None:
                await session.close()
        self._pooled = None
        self._unpooled = None

    async def send(
        self,
        method: str,
        url: str,
        *,
        timeout: timedelta,
        headers: Mapping[str, str] | Iterable[tuple[str, str]] = (),
        body: bytes | None = None,
        reuse: bool = True,
        checks: ExchangeChecks = NO_CHECKS,
    ) -> HttpResponse:
        """Sends one request and reads the complete response.

        A connection on which an exchange fails is closed and not reused. The
        target of the URL is sent without being encoded again.

        Args:
            method: the HTTP method.
            url: the URL of the request.
            timeout: the longest time for the exchange, including connecting.
            headers: the headers; a name may occur more than once.
            body: the body, if any.
            reuse: whether a pooled connection may be used. If the other side
                closes it at that moment, it is unknown whether the request
                ran.
            checks: what is checked before the request is written and once
                the head of its response has come.

        Raises:
            ConnectError: no byte was sent.
            WriteTooLate: no byte was sent, since a pause of this process
                outlasted `timeout`.
            ConnectionRefusedByHost: no byte was sent, since no process
                listens at the address.
            ExchangeTimeout: no complete response within `timeout`.
            ExchangeBroken: the exchange failed after the connection was made,
                or the response is that to another request.
            ResponseTooLarge: the response exceeds a size limit.
            ResponseMemoryFull: the response was the largest one when the
                memory of all bodies was full.
        """
        loop = asyncio.get_running_loop()
        gate = WriteGate(
            checks.before_write, loop.time() + timeout.total_seconds()
        )
        gate_of_task.set(gate)
        try:
            async with progress_timeout(
                timeout, checks.longest or timeout
            ) as limit:
                with gate.bounded(
                    self._limit_connecting(timeout), limit.timeout
                ):
                    return await self._send_and_read(
                        method,
                        yarl.URL(url, encoded=True),
                        multidict.CIMultiDict(headers),
                        body,
                        reuse=reuse,
                        checks=checks,
                        progress=limit,
                    )
        except _EXCHANGE_ERRORS as error:
            raise gate.refusal or exchange_error(
                gate, method, url, error
            ) from error

    async def _send_and_read(
        self,
        method: str,
        url: yarl.URL,
        headers: multidict.CIMultiDict[str],
        body: bytes | None,
        *,
        reuse: bool,
        checks: ExchangeChecks,
        progress: ProgressTimeout,
    ) -> HttpResponse:
        session = self._open_pooled() if reuse else self._open_unpooled()
        async with session.request(
            method,
            url,
            headers=headers,
            data=body,
            allow_redirects=False,
        ) as response:
            started = asyncio.get_running_loop().time()
            is_own = checks.is_own
            if is_own is not None and not is_own(response.headers):
                response.close()
                raise ExchangeBroken(f'{url}: response to another request')
            if not has_body(method, response.status):
                # The connection is reusable from the end of the head on.
                return HttpResponse(response.status, response.headers, b'')
            sink = find_sink(method, response, checks.accept)
            if sink is not None:
                content = await self._pass_on(response, sink, progress)
            elif has_length(response.headers):
                content = await self._read(response, progress)
            else:
                content = await self._read_until_close(response, progress)
            took = asyncio.get_running_loop().time() - started
            return HttpResponse(
                response.status,
                response.headers,
                content,
                timedelta(seconds=took),
            )

    async def _read_until_close(
        self, response: aiohttp.ClientResponse, progress: ProgressTimeout
    ) -> bytes:
        """Reads a body that ends where the connection is closed.

        It is complete only if the connection was closed, not reset.
        """
        if not self._allow_close_delimited:
            response.close()
            raise ExchangeBroken(
                f'{response.url}: response without a length may be truncated',
            )
        connection = response.connection
        protocol = connection.protocol if connection else None
        body = await self._read(response, progress)
        if protocol is None or protocol.closed is None:
            raise ExchangeBroken(
                f'{response.url}: unknown how the connection ended',
            )
        await protocol.closed
        return body

    async def _read(
        self, response: aiohttp.ClientResponse, progress: ProgressTimeout
    ) -> bytes:
        with self._memory.receive(
            self._max_body_bytes, functools.partial(_break_off, response)
        ) as body:
            try:
                return await _receive(response, body, progress)
            except BodyTooLarge as error:
                response.close()
                raise too_large_error(response, error) from error

    async def _pass_on(
        self,
        response: aiohttp.ClientResponse,
        sink: BodySink,
        progress: ProgressTimeout,
    ) -> bytes:
        try:
            await pass_on(
                response,
                sink,
                self._max_body_bytes,
                functools.partial(_break_off, response),
                progress.note_progress,
            )
        except BodyTooLarge as error:
            response.close()
            raise too_large_error(response, error) from error
        return b''

    def _limit_connecting(self, timeout: timedelta) -> timedelta:
        return min(self._connect_timeout, timeout * CONNECT_SHARE)

    def _open_pooled(self) -> aiohttp.ClientSession:
        if self._pooled is None:
            self._pooled = _open_session(
                Connector(
                    self._idle_limits,
                    limit=0,
                    limit_per_host=self._max_connections,
                    socket_factory=open_socket,
                ),
            )
        return self._pooled

    def _open_unpooled(self) -> aiohttp.ClientSession:
        if self._unpooled is None:
            self._unpooled = _open_session(
                Connector(
                    self._idle_limits,
                    limit=0,
                    limit_per_host=self._max_connections,
                    socket_factory=open_socket,
                    force_close=True,
                ),
            )
        return self._unpooled


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        request_class=GatedRequest,
        # The limits of an exchange are set by `HttpClient.send`.
        timeout=aiohttp.ClientTimeout(),
        auto_decompress=False,
        skip_auto_headers=('User-Agent', 'Accept-Encoding'),
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
        read_bufsize=READ_BUFFER_BYTES,
    )
    # A request is written at most once, so aiohttp need not open a second
    # connection on which the request would not be written.
    session._retry_connection = False
    return session


async def _receive(
    response: aiohttp.ClientResponse,
    body: IncomingBody,
    progress: ProgressTimeout,
) -> bytes:
    body.check_length(response.content_length or 0)
    async for chunk in response.content.iter_any():
        body.append(chunk)
        progress.note_progress()
        if not response.content.at_eof():
            # The next read may return at once; others get their turn.
            await asyncio.sleep(0)
    return body.complete()


def _break_off(response: aiohttp.ClientResponse) -> None:
    """Ends an exchange whose body was broken off for another one."""
    response.content.set_exception(
        ResponseMemoryFull(f'{response.url}: broken off as the largest body')
    )
    response.close()
