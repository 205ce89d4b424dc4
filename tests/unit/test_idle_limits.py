"""How long pooled connections to upstreams may be idle."""

import asyncio
from datetime import timedelta

import pytest

from lycheedyke.transport import HttpClient
from lycheedyke.transport._connector import KEEP_ALIVE_MARGIN, IdleLimits
from standins.virtual_time import run_in_virtual_time

LIMITS = IdleLimits(timedelta(seconds=5), timedelta(seconds=30))


@pytest.mark.parametrize(
    ('field', 'seconds'),
    [
        ('timeout=10', 8.5),
        ('timeout=10, max=100', 8.5),
        ('max=100, timeout=3', 1.5),
        ('timeout=1', 0),
        ('timeout=3600', 30),
        (None, 5),
        ('', 5),
        ('timeout=', 5),
        ('timeout=-3', 5),
        ('timeout=many', 5),
        ('notimeout=90', 5),
        ('timeout=9999999', 5),
    ],
)
def test_a_stated_limit_is_kept(field: str | None, seconds: float) -> None:
    """Guards against requests on connections that the other side closes."""
    assert LIMITS.of(field) == timedelta(seconds=seconds)


# Guards against a new connection for each request to an upstream that is used
# now and then, and against reuse beyond the limit that it states.
@pytest.mark.parametrize(
    ('stated', 'pause_s', 'opened'), [(10, 8, 1), (10, 9, 2), (2, 1, 2)]
)
def test_connections_are_reused_within_the_stated_limit(
    stated: int, pause_s: float, opened: int
) -> None:
    """The limit counts from the last response."""
    connections = 0

    async def _serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        while await reader.read(4096):
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
                b'Keep-Alive: timeout=%d\r\n\r\nok' % stated
            )
        writer.close()

    async def _run() -> None:
        server = await asyncio.start_server(_serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(
            idle_timeout=LIMITS.default, longest_idle_timeout=LIMITS.longest
        )
        async with client:
            for _ in range(2):
                response = await client.send(
                    'GET',
                    f'http://127.0.0.1:{port}/',
                    timeout=timedelta(seconds=1),
                )
                assert response.body == b'ok'
                await asyncio.sleep(pause_s)
        server.close()
        # Lets the handler see the end of its connection.
        await asyncio.sleep(1)

    run_in_virtual_time(_run())
    assert connections == opened
    assert timedelta(seconds=stated) > KEEP_ALIVE_MARGIN
