"""A server that sends given bytes, whatever it is asked."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple


class FakeServer(NamedTuple):
    """The URL of a server, and the requests received by connection."""

    url: str
    connections: list[bytes]


@contextlib.asynccontextmanager
async def serving(*answers: bytes, close: bool) -> AsyncIterator[FakeServer]:
    """Serves the answers in turn; the last one is repeated."""
    pending = list(answers)
    connections: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        connections.append(b'')
        own = len(connections) - 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                connections[own] += head
                writer.write(pending.pop(0) if len(pending) > 1 else pending[0])
                await writer.drain()
                if close:
                    break
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    yield FakeServer(f'http://127.0.0.1:{port}/a%2Fb%41', connections)
    server.close()
    # The connections end before the loop does.
    await asyncio.sleep(0.01)
