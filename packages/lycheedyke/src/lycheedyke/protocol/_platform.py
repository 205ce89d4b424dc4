"""The client of the platform's key-value service."""

import base64
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from lycheedyke.exceptions import (
    ConnectError,
    PlatformCallNotSent,
    PlatformError,
    PlatformUnreachable,
    TransportError,
    WriteConflict,
)
from lycheedyke.protocol._rate_limiter import RateLimiter
from lycheedyke.transport import HttpClient, HttpResponse

DEFAULT_TIMEOUT = timedelta(seconds=1)
MAX_VALUE_BYTES = 1_048_576
MAX_RESPONSE_BYTES = 16 * MAX_VALUE_BYTES
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409

_Body = TypeVar('_Body')


class PlatformEntry(NamedTuple):
    """A key, its value and the revision of its last write."""

    key: str
    content: bytes
    revision: int


class _WireEntry(msgspec.Struct):
    key: str
    value: str
    revision: int


class _WireRange(msgspec.Struct):
    revision: int
    entries: list[_WireEntry]


class PlatformClient:
    """Reads, writes and watches keys, and counts every call.

    Args:
        address: `ip:port` of the service.
        timeout: the longest time for one call. A watch may take as much
            longer as it waits for writes.
        budget: limits the rate of calls.
        count: increments a counter: `platform.<kind>` at each call, and
            `platform.delayed` if the call had to wait for the budget.
    """

    def __init__(
        self,
        address: str,
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        budget: RateLimiter | None = None,
        count: Callable[[str], None] | None = None,
    ) -> None:
        """Initializes the client, which connects at the first call."""
        self.calls = 0
        self._budget = budget
        self._count = count
        self._address = address
        self._timeout = timeout
        self._http = HttpClient(max_body_bytes=MAX_RESPONSE_BYTES)

    def __repr__(self) -> str:
        """Returns the address."""
        return f'PlatformClient({self._address!r})'

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    async def get(self, key: str) -> PlatformEntry | None:
        """Returns the entry, or None if the key is absent.

        Raises:
            PlatformUnreachable: the call failed.
        """
        response = await self._call('GET', f'/v1/kv/{quote(key, safe="")}')
        if response.status == HTTP_NOT_FOUND:
            return None
        return _to_entry(_decode(response, _WireEntry))

    async def create(self, key: str, content: bytes) -> int:
        """Writes the key if it is absent; returns the revision.

        Raises:
            WriteConflict: the key exists; nothing was written.
            PlatformUnreachable: the call failed; the key may have been written.
        """
        return await self.replace(key, content, revision=0)

    async def replace(self, key: str, content: bytes, *, revision: int) -> int:
        """Writes the key if it has the given revision; 0 means absent.

        Raises:
            WriteConflict: the key has another revision; nothing was written.
            PlatformUnreachable: the call failed; the key may have been written.
        """
        response = await self._call(
            'PUT',
            f'/v1/kv/{quote(key, safe="")}?revision={revision}',
            content,
        )
        if response.status == HTTP_CONFLICT:
            raise WriteConflict(f'key {key!r} is not at revision {revision}')
        return _decode(response, int)

    async def remove(self, key: str) -> None:
        """Removes the key if it exists.

        Raises:
            PlatformUnreachable: the call failed.
        """
        await self._call('DELETE', f'/v1/kv/{quote(key, safe="")}')

    async def scan(
        self,
        prefix: str,
        *,
        start: str = '',
    ) -> tuple[int, list[PlatformEntry]]:
        """Returns the store's revision and the entries under a prefix.

        Args:
            prefix: the prefix of the keys.
            start: the first key to return.

        Raises:
            PlatformUnreachable: the call failed.
        """
        query = urlencode({'prefix': prefix, 'start': start})
        response = await self._call('GET', f'/v1/range?{query}')
        found = _decode(response, _WireRange)
        return found.revision, [_to_entry(entry) for entry in found.entries]

    async def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait: timedelta,
    ) -> tuple[int, list[PlatformEntry]]:
        """Waits for writes under a prefix after a revision.

        Returns:
            The store's revision and the entries written since `after`; the
            list is empty if nothing was written within `wait`.

        Raises:
            PlatformUnreachable: the call failed.
        """
        query = urlencode(
            {
                'prefix': prefix,
                'after': after,
                'wait_ms': int(wait / timedelta(milliseconds=1)),
            },
        )
        response = await self._call(
            'GET',
            f'/v1/watch?{query}',
            timeout=self._timeout + wait,
        )
        found = _decode(response, _WireRange)
        return found.revision, [_to_entry(entry) for entry in found.entries]

    async def instances(self) -> dict[str, str]:
        """Returns the control addresses of the instances by name.

        The platform's list lags behind instances that join or leave.

        Raises:
            PlatformUnreachable: the call failed.
        """
        response = await self._call('GET', '/v1/instances')
        return _decode(response, dict[str, str])

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        timeout: timedelta | None = None,
    ) -> HttpResponse:
        await self._count_call(method, path)
        try:
            response = await self._http.send(
                method,
                f'http://{self._address}{path}',
                timeout=timeout or self._timeout,
                body=body,
            )
        except ConnectError as error:
            raise PlatformCallNotSent(f'platform: {error}') from error
        except TransportError as error:
            raise PlatformUnreachable(f'platform: {error}') from error
        if response.status not in {HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT}:
            raise PlatformUnreachable(
                f'platform: unexpected status {response.status}'
            )
        return response

    async def _count_call(self, method: str, path: str) -> None:
        self.calls += 1
        if self._count is not None:
            self._count(f'platform.{_call_kind(method, path)}')
        if self._budget is None:
            return
        if await self._budget.acquire() and self._count is not None:
            self._count('platform.delayed')


def _call_kind(method: str, path: str) -> str:
    if method != 'GET':
        return method.lower()
    call = path.removeprefix('/v1/').partition('?')[0]
    return 'get' if call.startswith('kv/') else call


def _to_entry(wire: _WireEntry) -> PlatformEntry:
    return PlatformEntry(
        wire.key,
        base64.b64decode(wire.value),
        wire.revision,
    )


def _decode(response: HttpResponse, kind: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'platform: {error}') from error
