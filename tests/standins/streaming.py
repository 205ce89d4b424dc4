"""Upstreams that write large responses in parts, and their callers."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from standins.gateway_testbed import ROUTES, GatewayTestbed
from standins.pipelining_caller import make_request
from standins.registry_store import config_value
from standins.relay import reset

PACK_BYTES = 540_000
PACK = bytes(range(256)) * (PACK_BYTES // 256 + 1)
PACK = PACK[:PACK_BYTES]
PACK_ROUTE = {
    'name': 'pack',
    'prefix': '/pack/',
    'type': 'download',
    'service': 'desk',
    'timeout': '5s',
}
CONFIGURATION = 0x12
POLLS = 1000
READ_BYTES = 65_536
# The system's buffers would hold a whole response between the two sockets.
SOCKET_BUFFER_BYTES = 16_384

Step = Callable[[asyncio.StreamWriter], Awaitable[bool]]


class PartialAnswer(NamedTuple):
    """What arrived of an answer until its end or that of the connection.

    Attributes:
        status: the status; 0 if no head arrived.
        length: the length that the head names.
        body: what arrived of the body.
    """

    status: int
    length: int
    body: bytes

    @property
    def is_complete(self) -> bool:
        """Whether the answer has the length that its head names."""
        return self.status > 0 and len(self.body) == self.length


async def serve_packs(platform: GatewayTestbed) -> None:
    """Adds the route of packs, which are passed on while they arrive."""
    routes = [*ROUTES, PACK_ROUTE]
    platform.store.put('op/config', config_value(CONFIGURATION, routes))
    for _ in range(POLLS):
        views = [each._registry_view for each in platform.instances]
        if all(view.number == CONFIGURATION for view in views):
            return
        await asyncio.sleep(0.01)
    raise TimeoutError('the route is not in force')


def make_head(
    request: str, length: int = PACK_BYTES, status: str = '200 OK'
) -> bytes:
    """Returns the head of a response to a request."""
    return (
        f'HTTP/1.1 {status}\r\nContent-Length: {length}\r\n'
        f'Lycheedyke-Request-Id: {request}\r\n'
        'Lycheedyke-Server-Load: 1,0,3\r\n\r\n'
    ).encode()


class Pack:
    """Writes one response in parts; an upstream's `respond`.

    Args:
        first: the bytes of the body that are written at once.
        then: what happens after them: `rest` writes the rest, `lose` resets
            the connection, `extra` writes the rest and bytes after the end,
            `hang` writes nothing more.
        length: the length that the head names.
        status: its status.

    Attributes:
        go_on: set to let it happen.
        written: how many responses were written completely.
    """

    def __init__(
        self,
        first: int,
        then: str = 'rest',
        length: int = PACK_BYTES,
        status: str = '200 OK',
    ) -> None:
        """Initializes a response that is not written."""
        self.go_on = asyncio.Event()
        self.written = 0
        self._first = first
        self._then = then
        self._length = length
        self._status = status

    async def __call__(
        self, writer: asyncio.StreamWriter, request: str
    ) -> bool:
        """Writes the response; returns whether the connection stays open."""
        writer.write(make_head(request, self._length, self._status))
        writer.write(PACK[: self._first])
        await writer.drain()
        await self.go_on.wait()
        match self._then:
            case 'lose':
                reset(writer)
                return False
            case 'hang':
                with contextlib.suppress(ConnectionError):
                    await writer.wait_closed()
                return False
        extra = b'HTTP' if self._then == 'extra' else b''
        writer.write(PACK[self._first :] + extra)
        await writer.drain()
        self.written += 1
        return self._length == PACK_BYTES


class PackCaller:
    """A caller that reads one answer in parts; an async context manager.

    Args:
        platform: the testbed.
    """

    def __init__(self, platform: GatewayTestbed) -> None:
        """Initializes a caller that is not connected."""
        self._platform = platform
        self._head = b''
        self._body = b''

    async def __aenter__(self) -> 'PackCaller':
        """Connects."""
        host, _, port = self._platform.settings[0].caller_address.rpartition(
            ':'
        )
        own = socket.socket()
        own.setblocking(False)
        own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(own, (host, int(port)))
        self._reader, self._writer = await asyncio.open_connection(sock=own)
        await self._shrink_far_buffer(own.getsockname())
        return self

    async def __aexit__(self, *error: object) -> None:
        """Closes the connection."""
        self.leave()

    async def _shrink_far_buffer(self, own: tuple[str, int]) -> None:
        for _ in range(POLLS):
            for connection in self._platform.instances[0]._list_callers():
                transport = connection.transport
                if transport and transport.get_extra_info('peername') == own:
                    transport.get_extra_info('socket').setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_SNDBUF,
                        SOCKET_BUFFER_BYTES,
                    )
                    return
            await asyncio.sleep(0.001)
        raise TimeoutError('not connected')

    def ask(
        self, request: str = 'r-1', path: str = '/pack/1', method: str = 'GET'
    ) -> None:
        """Sends a request."""
        self._writer.write(
            make_request(request, path=path, method=method, deadline_ms=4000)
        )

    def leave(self) -> None:
        """Resets the connection."""
        self._writer.transport.abort()

    def stall(self) -> None:
        """Reads nothing more."""
        self._writer.transport.pause_reading()  # type: ignore[attr-defined]

    def go_on(self) -> None:
        """Reads again."""
        self._writer.transport.resume_reading()  # type: ignore[attr-defined]

    async def read_head(self) -> None:
        """Reads the head of the next answer."""
        self._body = b''
        self._head = await self._reader.readuntil(b'\r\n\r\n')

    async def read_some(self, count: int) -> bytes:
        """Reads so many bytes of the body."""
        part = await self._reader.readexactly(count)
        self._body += part
        return part

    async def read_rest(self) -> PartialAnswer:
        """Reads to the end of the answer or of the connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if not self._head:
                await self.read_head()
            while len(self._body) < self.length:
                part = await self._reader.read(
                    min(READ_BYTES, self.length - len(self._body))
                )
                if not part:
                    break
                self._body += part
        status = int(self._head.split()[1]) if self._head else 0
        answer = PartialAnswer(status, self.length, self._body)
        self._head = b''
        return answer

    @property
    def length(self) -> int:
        for line in self._head.decode().split('\r\n'):
            name, _, text = line.partition(': ')
            if name.lower() == 'content-length':
                return int(text)
        return 0
