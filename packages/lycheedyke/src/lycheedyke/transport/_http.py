"""HTTP exchanges that say whether bytes may have been sent."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from contextvars import ContextVar
from datetime import timedelta
from types import TracebackType
from typing import Any, NamedTuple, Self

import aiohttp
import multidict
import yarl
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from lycheedyke.exceptions import (
    ConnectError,
    ConnectionRefusedByHost,
    ExchangeBroken,
    ExchangeTimeout,
    ResponseTooLarge,
)
from lycheedyke.transport._sockets import open_socket

IDLE_LIMIT = timedelta(seconds=15)
DEFAULT_MAX_BODY_BYTES = 1_048_576
MAX_HEAD_BYTES = 32_768
# Bounds the answer to one exchange.
CONNECT_LIMIT = timedelta(seconds=1)
CONNECT_SHARE = 0.8
# The share of an exchange's time that making the connection may take.
_NOT_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_NO_BODY_STATUSES = frozenset((204, 304))

BeforeWrite = Callable[[], None]
_gate: ContextVar['_WriteGate | None'] = ContextVar('gate', default=None)


class HttpResponse(NamedTuple):
    """A whole HTTP answer."""

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes


class _Connector(aiohttp.TCPConnector):
    """A pool that gives out no connection with unread bytes on it."""

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> Any:
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        protocol = await super()._create_connection(req, traces, timeout)
        # How a connection ends is kept only if asked for before it does.
        closed = protocol.closed
        if closed is not None:
            closed.add_done_callback(_note_end)
        return protocol


class HttpClient:
    """A connection pool over aiohttp, usable with `async with`.

    Args:
        max_connections: the most connections open to one address.
        max_body_bytes: the largest answer body accepted.
        idle_timeout: how long a kept connection may be idle.
        connect_timeout: the longest time for making a connection.
        allow_close_delimited: whether an answer without a length is accepted, which
            ends with its connection.
    """

    def __init__(
        self,
        *,
        max_connections: int = 100,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        idle_timeout: timedelta = IDLE_LIMIT,
        connect_timeout: timedelta = CONNECT_LIMIT,
        allow_close_delimited: bool = False,
    ) -> None:
        """Makes a client without connections."""
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._idle_limit = idle_timeout
        self._connect_limit = connect_timeout
        self._may_end_open = allow_close_delimited
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

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
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()
        self._kept = None
        self._fresh = None

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
        """Sends one request and reads the whole answer.

        A connection whose exchange breaks is closed and never used again.
        The target of the URL is sent as it stands.

        Args:
            method: the HTTP method.
            url: where to send it.
            timeout: the time for the whole exchange.
            headers: the headers; a name may stand more than once.
            body: the body, if any.
            reuse: whether a kept connection may be used. One that the other
                side has just closed leaves open whether the request ran.
            before_write: called on the connection, right before the request
                is written; an error that it raises goes to the caller, and
                nothing was sent.

        Raises:
            ConnectError: no byte was sent.
            ConnectionRefusedByHost: as above; no process listens there.
            ExchangeTimeout: no whole answer within `timeout`.
            ExchangeBroken: the connection broke after it was made.
            ResponseTooLarge: the answer exceeds the limit.
        """
        gate = _WriteGate(before_write)
        _gate.set(gate)
        try:
            return await asyncio.wait_for(
                self._exchange(
                    method,
                    yarl.URL(url, encoded=True),
                    multidict.CIMultiDict(headers),
                    body,
                    self._limit_connect(timeout),
                    reuse=reuse,
                ),
                timeout.total_seconds(),
            )
        except _NOT_CONNECTED as error:
            if gate.is_passed:
                raise ExchangeBroken(f'{method} {url}: {error!r}') from error
            raise _connection_error(url, error) from error
        except TimeoutError as error:
            raise ExchangeTimeout(f'{method} {url}: no answer') from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if gate.refusal is not None:
                raise gate.refusal from error
            raise ExchangeBroken(f'{method} {url}: {error!r}') from error

    async def _exchange(
        self,
        method: str,
        url: yarl.URL,
        headers: multidict.CIMultiDict[str],
        body: bytes | None,
        timeout: aiohttp.ClientTimeout,
        *,
        reuse: bool,
    ) -> HttpResponse:
        session = self._open_kept() if reuse else self._open_fresh()
        async with session.request(
            method,
            url,
            headers=headers,
            data=body,
            allow_redirects=False,
            timeout=timeout,
        ) as response:
            if self._may_end_open and not _has_known_end(response):
                return await self._read_to_close(response)
            return HttpResponse(
                response.status,
                response.headers,
                await self._read(response),
            )

    async def _read_to_close(
        self,
        response: aiohttp.ClientResponse,
    ) -> HttpResponse:
        """Reads an answer that ends with its connection.

        It is whole only if the connection was closed, not reset.
        """
        connection = response.connection
        protocol = connection.protocol if connection else None
        body = await self._read(response)
        if protocol is None or protocol.closed is None:
            raise ExchangeBroken(f'{response.url}: the end was not seen')
        await protocol.closed
        return HttpResponse(response.status, response.headers, body)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        if response.method == 'HEAD' or response.status in _NO_BODY_STATUSES:
            return await response.read()
        if not self._may_end_open and not _has_known_end(response):
            response.close()
            raise ExchangeBroken(
                f'{response.url}: an answer without length may be cut off',
            )
        if (response.content_length or 0) > self._max_body_bytes:
            response.close()
            raise ResponseTooLarge(
                f'{response.url}: {response.content_length} bytes',
            )
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._max_body_bytes:
                response.close()
                raise ResponseTooLarge(f'{response.url}: {len(body)} bytes')
        return bytes(body)

    def _limit_connect(self, timeout: timedelta) -> aiohttp.ClientTimeout:
        longest = min(self._connect_limit, timeout * CONNECT_SHARE)
        return aiohttp.ClientTimeout(connect=longest.total_seconds())

    def _open_kept(self) -> aiohttp.ClientSession:
        if self._kept is None:
            self._kept = _open_session(
                _Connector(
                    limit=0,
                    limit_per_host=self._max_connections,
                    socket_factory=open_socket,
                    keepalive_timeout=self._idle_limit.total_seconds(),
                ),
            )
        return self._kept

    def _open_fresh(self) -> aiohttp.ClientSession:
        if self._fresh is None:
            self._fresh = _open_session(
                _Connector(
                    limit=0,
                    limit_per_host=self._max_connections,
                    socket_factory=open_socket,
                    force_close=True,
                ),
            )
        return self._fresh


def _note_end(closed: asyncio.Future[None]) -> None:
    if not closed.cancelled():
        closed.exception()


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        request_class=_GatedRequest,
        auto_decompress=False,
        skip_auto_headers=('User-Agent', 'Accept-Encoding'),
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
    )
    # A request is written once; making a second connection for it on which
    # it would not be written only takes time.
    session._retry_connection = False
    return session


def _has_known_end(response: aiohttp.ClientResponse) -> bool:
    coding = response.headers.get('Transfer-Encoding', '')
    return 'Content-Length' in response.headers or 'chunked' in coding.lower()


class _WriteGate:
    """Lets one request be written once, if its check permits."""

    def __init__(self, check: BeforeWrite | None) -> None:
        self.refusal: Exception | None = None
        self._check = check
        self.is_passed = False

    def open(self) -> None:
        """Lets the request through for the first time only."""
        if self.is_passed:
            raise aiohttp.ClientError('the request was written before')
        self.check()
        self.is_passed = True

    def check(self) -> None:
        """Checks again, and keeps the refusal."""
        if self._check is None:
            return
        try:
            self._check()
        except Exception as error:
            self.refusal = error
            raise


class _GatedRequest(aiohttp.ClientRequest):
    """A request that asks the gate of its task before it is written.

    aiohttp sends some requests again on a new connection; a request with a
    gate is never sent a second time.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Writes a request without a body, or starts the body's writer."""
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
        """Writes the headers, which waited for it, and the body."""
        gate = _gate.get()
        if gate is not None:
            try:
                gate.check()
            except Exception:
                conn.close()
                return
        await super().write_bytes(writer, conn, content_length)


def _connection_error(
    url: str,
    error: aiohttp.ClientError,
) -> ConnectError:
    cause = getattr(error, 'os_error', error)
    if isinstance(cause, ConnectionRefusedError):
        return ConnectionRefusedByHost(f'{url}: connection refused')
    return ConnectError(f'{url}: {cause!r}')
