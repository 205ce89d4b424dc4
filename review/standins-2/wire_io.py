"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import itertools
import os
import socket
import struct
from typing import Any, NamedTuple

MAX_HEAD_BYTES = 65_536
# Below the ports that the system gives to callers.
PORTS_FROM = 15_000
RANGES = 160
RANGE = 100
_taken = itertools.count()


class Message(NamedTuple):
    """A request or a response: its first line, headers and body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split(' ')[1])


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Returns the first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Returns a body that has a length or comes in chunks."""
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        content = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            content += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return content
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, await read_body(reader, head[1]))


def encode(first: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Returns a message with a length."""
    lines = [first]
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """A listening address whose connections can be reset all at once."""

    def __init__(self, port: int) -> None:
        """Remembers the port; `open` listens."""
        self.port = port
        self.address = f'127.0.0.1:{port}'
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def open(self) -> None:
        """Listens at the address."""
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self.port, limit=MAX_HEAD_BYTES
        )

    def close(self) -> None:
        """Listens no more, and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            reset(writer)
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        raise NotImplementedError

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


def free_ports(count: int) -> list[int]:
    """Returns ports at which nothing listens, and no caller's port is.

    Cases that run at the same time take them from different ranges.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = PORTS_FROM + os.getpid() % RANGES * RANGE + next(_taken) % RANGE
        with socket.socket() as tried:
            try:
                tried.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.append(port)
    return ports
