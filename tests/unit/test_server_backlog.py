"""Connections that wait to be accepted as a server stops listening."""

import asyncio
import socket
from collections.abc import Callable

import pytest
import uvloop
from aiohttp import web

from lycheedyke.state import Counters
from lycheedyke_daemon.servers import HttpServers
from standins.deployment import free_ports

WAITING = 20
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
LIMIT_SECONDS = 20

_Loops = Callable[[], asyncio.AbstractEventLoop]


async def _show(request: web.Request) -> web.Response:
    return web.Response(text='whole')


def _connect_all(port: int) -> list[socket.socket]:
    """Connects without a turn of the event loop."""
    return [
        socket.create_connection(('127.0.0.1', port)) for _ in range(WAITING)
    ]


async def _call(caller: socket.socket) -> bytes:
    """Returns the first bytes of the answer."""
    loop = asyncio.get_running_loop()
    caller.setblocking(False)
    await loop.sock_sendall(caller, REQUEST)
    return await loop.sock_recv(caller, 100)


# Guards against a close of the listening socket that resets connections which
# callers have opened.
@pytest.mark.parametrize(
    'loops', [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_connections_that_wait_are_accepted_before_the_close(
    loops: _Loops,
) -> None:
    """They are served like the others; further ones are refused."""

    async def _run() -> None:
        app = web.Application()
        app.add_routes([web.get('/', _show)])
        servers = HttpServers(Counters())
        port = free_ports(1)[0]
        address = f'127.0.0.1:{port}'
        await servers.open(app, address)
        callers = _connect_all(port)
        await servers.stop_listening(address)
        with pytest.raises(ConnectionRefusedError):
            _connect_all(port)
        answers = await asyncio.gather(*map(_call, callers))
        for caller in callers:
            caller.close()
        await servers.close()
        assert all(each.startswith(b'HTTP/1.1 200 ') for each in answers)

    with asyncio.Runner(loop_factory=loops) as runner:
        runner.run(asyncio.wait_for(_run(), LIMIT_SECONDS))
