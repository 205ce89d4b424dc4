"""A caller that sends requests behind one another on one connection."""

import asyncio
import contextlib
from types import TracebackType
from typing import NamedTuple, Self

HOST = 'shop.example'
MAX_LINE = 65_536


class OrderedAnswer(NamedTuple):
    """One answer, as it was read from the connection.

    Attributes:
        status: the HTTP status.
        request: the id of the request that the upstream answered, or ''.
        closes: whether it says that the connection is closed behind it.
        at: when its head was read, in seconds since the connection was opened.
        body: the whole body.
    """

    status: int
    request: str
    closes: bool
    at: float
    body: bytes


def make_request(
    request: str,
    *,
    path: str = '/read/1',
    method: str = 'GET',
    deadline_ms: int = 3000,
    body: bytes = b'',
    is_chunked: bool = False,
    closes: bool = False,
) -> bytes:
    """Returns the bytes of one request."""
    head = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Lycheedyke-Request-Id: {request}',
        f'Lycheedyke-Deadline-Ms: {deadline_ms}',
    ]
    if closes:
        head.append('Connection: close')
    if is_chunked:
        head.append('Transfer-Encoding: chunked')
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    elif body:
        head.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*head, '', '']).encode() + body


class PipeliningCaller:
    """One connection to an entry instance; an async context manager.

    Args:
        address: `ip:port` of the instance.
    """

    def __init__(self, address: str) -> None:
        """Initializes a caller that is not connected."""
        self._address = address

    async def __aenter__(self) -> Self:
        """Connects."""
        host, _, port = self._address.rpartition(':')
        self._opened = asyncio.get_running_loop().time()
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port), limit=MAX_LINE
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes the connection."""
        self.leave()

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended and no answer is left to read."""
        return self._reader.at_eof() or self._reader.exception() is not None

    def send(self, *requests: bytes) -> None:
        """Sends requests in one write."""
        self._writer.write(b''.join(requests))

    def leave(self) -> None:
        """Closes the connection without waiting for answers."""
        self._writer.transport.abort()

    def stall(self) -> None:
        """Reads no further bytes from the connection."""
        self._writer.transport.pause_reading()  # type: ignore[attr-defined]

    def go_on(self) -> None:
        """Reads again."""
        self._writer.transport.resume_reading()  # type: ignore[attr-defined]

    async def read(self) -> OrderedAnswer | None:
        """Returns the next answer; None at the end of the connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            return await self._read()
        return None

    async def read_all(self, most: int) -> list[OrderedAnswer]:
        """Returns so many answers, or those until the connection ends."""
        found: list[OrderedAnswer] = []
        while len(found) < most:
            answer = await self.read()
            if answer is None:
                break
            found.append(answer)
        return found

    async def _read(self) -> OrderedAnswer:
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode()
        at = asyncio.get_running_loop().time() - self._opened
        first, *lines = head.strip().split('\r\n')
        fields = {
            name.lower(): text
            for name, _, text in (line.partition(': ') for line in lines)
        }
        length = int(fields.get('content-length', '0'))
        return OrderedAnswer(
            status=int(first.split()[1]),
            request=fields.get('lycheedyke-request-id', ''),
            closes=fields.get('connection', '') == 'close',
            at=at,
            body=await self._reader.readexactly(length),
        )


def run_of_path(target: str) -> float:
    """Returns the run time in seconds that a path ends with, in ms."""
    return int(target.rpartition('/')[2]) / 1000
