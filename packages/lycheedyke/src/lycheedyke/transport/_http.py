"""An HTTP client that reports whether a request may have been sent."""

import asyncio
import functools
from collections.abc import Callable, Iterable, Mapping
from contextvars import ContextVar
from datetime import timedelta
from types import TracebackType
from typing import NamedTuple, Self

import aiohttp
import multidict
import yarl
from aiohttp.abc import AbstractStreamWriter
from aiohttp.connector import Connection

from lycheedyke.exceptions import (
    BodyMemoryFull,
    BodyTooLarge,
    ConnectError,
    ConnectionRefusedByHost,
    ExchangeBroken,
    ExchangeTimeout,
    ResponseMemoryFull,
    ResponseTooLarge,
)
from lycheedyke.transport._body_memory import BodyMemory, IncomingBody
from lycheedyke.transport._connector import Connector
from lycheedyke.transport._sockets import open_socket

DEFAULT_IDLE_TIMEOUT = timedelta(seconds=15)
DEFAULT_MAX_BODY_BYTES = 1_048_576
DEFAULT_BODY_MEMORY_BYTES = 67_108_864
# The largest status line, and the largest header field, of a response.
MAX_HEAD_BYTES = 32_768
# The received bytes of one body that wait to be read, twice this at most
# before the connection is read no further.
READ_BUFFER_BYTES = 16_384
DEFAULT_CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_DETAIL_CHARACTERS = 500
# The share of the timeout of an exchange that connecting may take.
CONNECT_SHARE = 0.8
_NOT_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_NO_BODY_STATUSES = frozenset((204, 304))

BeforeWrite = Callable[[], None]
_gate: ContextVar['_WriteGate | None'] = ContextVar('gate', default=None)


class HttpResponse(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes


class HttpClient:
    """An HTTP client with a connection pool, usable with `async with`.

    Args:
        max_connections: the maximum number of open connections to one
            address.
        max_body_bytes: the largest accepted response body, in bytes.
        idle_timeout: how long a pooled connection may be idle.
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
        connect_timeout: timedelta = DEFAULT_CONNECT_TIMEOUT,
        allow_close_delimited: bool = False,
        memory: BodyMemory | None = None,
    ) -> None:
        """Initializes the client without opening a connection."""
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._idle_timeout = idle_timeout
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
        before_write: BeforeWrite | None = None,
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
            before_write: called once a connection is available, right before
                the request is written. If it raises an error, nothing is
                sent and the caller gets the error.

        Raises:
            ConnectError: no byte was sent.
            ConnectionRefusedByHost: no byte was sent, since no process
                listens at the address.
            ExchangeTimeout: no complete response within `timeout`.
            ExchangeBroken: the exchange failed after the connection was made.
            ResponseTooLarge: the response exceeds a size limit.
            ResponseMemoryFull: the response was the largest one when the
                memory of all bodies was full.
        """
        gate = _WriteGate(before_write)
        _gate.set(gate)
        try:
            return await asyncio.wait_for(
                self._send_and_read(
                    method,
                    yarl.URL(url, encoded=True),
                    multidict.CIMultiDict(headers),
                    body,
                    self._make_timeout(timeout),
                    reuse=reuse,
                ),
                timeout.total_seconds(),
            )
        except _NOT_CONNECTED as error:
            if gate.is_open:
                raise _to_broken(method, url, error) from error
            raise _to_connect_error(url, error) from error
        except TimeoutError as error:
            raise ExchangeTimeout(
                f'{method} {url}: no complete response in time',
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if gate.refusal is not None:
                raise gate.refusal from error
            raise _to_broken(method, url, error) from error

    async def _send_and_read(
        self,
        method: str,
        url: yarl.URL,
        headers: multidict.CIMultiDict[str],
        body: bytes | None,
        timeout: aiohttp.ClientTimeout,
        *,
        reuse: bool,
    ) -> HttpResponse:
        session = self._open_pooled() if reuse else self._open_unpooled()
        async with session.request(
            method,
            url,
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=timeout,
        ) as response:
            if self._allow_close_delimited and not _has_length(response):
                return await self._read_until_close(response)
            return HttpResponse(
                response.status,
                response.headers,
                await self._read(response),
            )

    async def _read_until_close(
        self,
        response: aiohttp.ClientResponse,
    ) -> HttpResponse:
        """Reads a response whose body ends where the connection is closed.

        The response is complete only if the connection was closed, not reset.
        """
        connection = response.connection
        protocol = connection.protocol if connection else None
        body = await self._read(response)
        if protocol is None or protocol.closed is None:
            raise ExchangeBroken(
                f'{response.url}: unknown how the connection ended',
            )
        await protocol.closed
        return HttpResponse(response.status, response.headers, body)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        if response.method == 'HEAD' or response.status in _NO_BODY_STATUSES:
            return await response.read()
        if not self._allow_close_delimited and not _has_length(response):
            response.close()
            raise ExchangeBroken(
                f'{response.url}: response without a length may be truncated',
            )
        with self._memory.receive(
            self._max_body_bytes, functools.partial(_break_off, response)
        ) as body:
            try:
                return await _receive(response, body)
            except BodyTooLarge as error:
                response.close()
                raise _to_too_large(response, error) from error

    def _make_timeout(self, timeout: timedelta) -> aiohttp.ClientTimeout:
        connect_timeout = min(self._connect_timeout, timeout * CONNECT_SHARE)
        return aiohttp.ClientTimeout(connect=connect_timeout.total_seconds())

    def _open_pooled(self) -> aiohttp.ClientSession:
        if self._pooled is None:
            self._pooled = _open_session(
                Connector(
                    limit=0,
                    limit_per_host=self._max_connections,
                    socket_factory=open_socket,
                    keepalive_timeout=self._idle_timeout.total_seconds(),
                ),
            )
        return self._pooled

    def _open_unpooled(self) -> aiohttp.ClientSession:
        if self._unpooled is None:
            self._unpooled = _open_session(
                Connector(
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
        request_class=_GatedRequest,
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


def _has_length(response: aiohttp.ClientResponse) -> bool:
    coding = response.headers.get('Transfer-Encoding', '')
    return 'Content-Length' in response.headers or 'chunked' in coding.lower()


class _WriteGate:
    """Allows one request to be written at most once, if its check passes."""

    def __init__(self, check: BeforeWrite | None) -> None:
        self.refusal: Exception | None = None
        self._check = check
        self.is_open = False

    def open(self) -> None:
        """Allows the write the first time, and raises an error afterwards."""
        if self.is_open:
            raise aiohttp.ClientError('the request was already written once')
        self.check()
        self.is_open = True

    def check(self) -> None:
        """Runs the check, and stores the error that it raises."""
        if self._check is None:
            return
        try:
            self._check()
        except Exception as error:
            self.refusal = error
            raise


class _GatedRequest(aiohttp.ClientRequest):
    """A request that is written only if the gate of its task allows it.

    aiohttp sends some requests again on a new connection. A request with a
    gate is never sent a second time.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Writes a request without a body; otherwise starts its body writer."""
        gate = _gate.get()
        if gate is not None:
            gate.open()
        return await super().send(conn)

    async def write_bytes(
        self,
        writer: AbstractStreamWriter,
        conn: Connection,
        content_length: int | None = None,
    ) -> None:
        """Writes the buffered headers and the body."""
        gate = _gate.get()
        if gate is not None:
            try:
                gate.check()
            except Exception:
                conn.close()
                return
        await super().write_bytes(writer, conn, content_length)


async def _receive(
    response: aiohttp.ClientResponse, body: IncomingBody
) -> bytes:
    body.check_length(response.content_length or 0)
    async for chunk in response.content.iter_any():
        body.append(chunk)
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


def _to_too_large(
    response: aiohttp.ClientResponse, error: BodyTooLarge
) -> ResponseTooLarge:
    detail = f'{response.url}: response of at least {error}'
    if isinstance(error, BodyMemoryFull):
        return ResponseMemoryFull(detail)
    return ResponseTooLarge(detail)


def _to_broken(method: str, url: str, error: Exception) -> ExchangeBroken:
    # Errors of the parser quote what was received.
    detail = repr(error)[:MAX_DETAIL_CHARACTERS]
    return ExchangeBroken(f'{method} {url}: {detail}')


def _to_connect_error(
    url: str,
    error: aiohttp.ClientError,
) -> ConnectError:
    cause = getattr(error, 'os_error', error)
    if isinstance(cause, ConnectionRefusedError):
        return ConnectionRefusedByHost(f'{url}: connection refused')
    return ConnectError(f'{url}: {cause!r}')
