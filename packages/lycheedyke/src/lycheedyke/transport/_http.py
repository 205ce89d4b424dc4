"""HTTP exchanges that say whether bytes may have been sent."""

import asyncio
from collections.abc import Callable, Mapping
from contextvars import ContextVar
from datetime import timedelta
from types import TracebackType
from typing import NamedTuple, Self

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.connector import Connection

from lycheedyke.exceptions import (
    AnswerTooLarge,
    ConnectionNotMade,
    ConnectionRefusedByHost,
    ExchangeBroken,
    ExchangeTimeout,
)

KEEPALIVE_SECONDS = 15
DEFAULT_MAX_BODY_BYTES = 1_048_576
# Bounds the answer to one exchange.


BeforeWrite = Callable[[], None]
_gate: ContextVar['_WriteGate | None'] = ContextVar('gate', default=None)


class HttpAnswer(NamedTuple):
    """A whole HTTP answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpClient:
    """A connection pool over aiohttp, usable with `async with`.

    Args:
        max_connections: the most connections open to one address.
        max_body_bytes: the largest answer body accepted.
    """

    def __init__(
        self,
        *,
        max_connections: int = 100,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        """Makes a client without connections."""
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._session: aiohttp.ClientSession | None = None

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
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def send(
        self,
        method: str,
        url: str,
        *,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        before_write: BeforeWrite | None = None,
    ) -> HttpAnswer:
        """Sends one request and reads the whole answer.

        A connection whose exchange breaks is closed and never used again.

        Args:
            method: the HTTP method.
            url: the whole URL.
            timeout: the longest time for the exchange.
            headers: the headers to send.
            body: the body to send.
            before_write: called on the connection, right before the request
                is written, which is then written at most once; an error
                that it raises goes to the caller, and nothing was sent.

        Raises:
            ConnectionNotMade: no byte was sent.
            ConnectionRefusedByHost: as above; no process listens there.
            ExchangeTimeout: no whole answer within `timeout`.
            ExchangeBroken: the connection broke after it was made.
            AnswerTooLarge: the answer exceeds the limit.
        """
        gate = _WriteGate(before_write) if before_write else None
        _gate.set(gate)
        try:
            return await asyncio.wait_for(
                self._exchange(method, url, headers, body),
                timeout.total_seconds(),
            )
        except aiohttp.ClientConnectorError as error:
            raise _connection_error(url, error) from error
        except TimeoutError as error:
            raise ExchangeTimeout(f'{method} {url}: no answer') from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if gate is not None and gate.refusal is not None:
                raise gate.refusal from error
            raise ExchangeBroken(f'{method} {url}: {error!r}') from error

    async def _exchange(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | None,
        body: bytes | None,
    ) -> HttpAnswer:
        session = self._open_session()
        async with session.request(
            method,
            url,
            headers=headers,
            data=body,
            allow_redirects=False,
        ) as response:
            return HttpAnswer(
                response.status,
                response.headers,
                await self._read(response),
            )

    async def _read(self, response: aiohttp.ClientResponse) -> bytes:
        length = response.content_length or 0
        if length > self._max_body_bytes:
            response.close()
            raise AnswerTooLarge(f'{response.url}: {length} bytes')
        body = await response.read()
        if len(body) > self._max_body_bytes:
            raise AnswerTooLarge(f'{response.url}: {len(body)} bytes')
        return body

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    limit_per_host=self._max_connections,
                    keepalive_timeout=KEEPALIVE_SECONDS,
                ),
                timeout=aiohttp.ClientTimeout(total=None),
                cookie_jar=aiohttp.DummyCookieJar(),
                request_class=_GatedRequest,
                auto_decompress=False,
                skip_auto_headers=('User-Agent', 'Accept-Encoding'),
            )
        return self._session


class _WriteGate:
    """Lets one request be written once, if its check permits."""

    def __init__(self, check: BeforeWrite) -> None:
        self.refusal: Exception | None = None
        self._check = check
        self._is_passed = False

    def open(self) -> None:
        """Lets the request through for the first time only."""
        if self._is_passed:
            raise aiohttp.ClientError('the request was written before')
        self.check()
        self._is_passed = True

    def check(self) -> None:
        """Checks again, and keeps the refusal."""
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
    error: aiohttp.ClientConnectorError,
) -> ConnectionNotMade:
    if isinstance(error.os_error, ConnectionRefusedError):
        return ConnectionRefusedByHost(f'{url}: connection refused')
    return ConnectionNotMade(f'{url}: {error.os_error!r}')
