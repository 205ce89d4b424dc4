"""Tests the event loop of the scenarios."""

import asyncio
import time

from standins.virtual_time import run_in_virtual_time


def test_waiting_takes_no_time() -> None:
    """An hour passes at once, and timers are called in their order."""
    called: list[int] = []

    async def _wait() -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        loop.call_later(20, called.append, 20)
        loop.call_later(10, called.append, 10)
        await asyncio.sleep(3600)
        assert loop.time() - started >= 3600

    started = time.monotonic()
    run_in_virtual_time(_wait())
    assert called == [10, 20]
    assert time.monotonic() - started < 60


def test_bytes_arrive_before_time_passes() -> None:
    """Replies over loopback are read before the shortest timeout expires."""

    async def _echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    async def _exchange() -> None:
        server = await asyncio.start_server(_echo, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        for _ in range(200):
            writer.write(b'word\n')
            async with asyncio.timeout(0.01):
                assert await reader.readline() == b'word\n'
        writer.close()
        server.close()

    run_in_virtual_time(_exchange())
