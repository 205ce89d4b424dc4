"""HTTP exchanges that say whether bytes may have been sent."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from types import TracebackType
from typing import NamedTuple, Self

import aiohttp

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
    ) -> HttpAnswer:
        """Sends one request and reads the whole answer.

        A connection whose exchange breaks is closed and never used again.

        Raises:
            ConnectionNotMade: no byte was sent.
            ConnectionRefusedByHost: as above; no process listens there.
            ExchangeTimeout: no whole answer within `timeout`.
            ExchangeBroken: the connection broke after it was made.
            AnswerTooLarge: the answer exceeds the limit.
        """
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
                auto_decompress=False,
                skip_auto_headers=('User-Agent', 'Accept-Encoding'),
            )
        return self._session


def _connection_error(
    url: str,
    error: aiohttp.ClientConnectorError,
) -> ConnectionNotMade:
    if isinstance(error.os_error, ConnectionRefusedError):
        return ConnectionRefusedByHost(f'{url}: connection refused')
    return ConnectionNotMade(f'{url}: {error.os_error!r}')
