"""Sessions of the soak test show each lost answer."""

import asyncio

import aiohttp
import pytest

from bench.soak.sessions import ConnectionUse, UnansweredError, open_session

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class _ClosingServer:
    """Answers the first request of each connection, and closes at the next."""

    def __init__(self) -> None:
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for answer in (ANSWER, b''):
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            writer.write(answer)
        writer.close()


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_a_request_without_an_answer_is_not_repeated(method: str) -> None:
    """A silent repeat of GET on a new connection would hide the loss."""
    asyncio.run(_lose_answer(method))


async def _lose_answer(method: str) -> None:
    closing = _ClosingServer()
    server = await asyncio.start_server(closing.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    url = f'http://{host}:{port}/'
    uses = [ConnectionUse(), ConnectionUse()]
    async with server, open_session() as http:
        async with http.request(method, url, trace_request_ctx=uses[0]):
            pass
        with pytest.raises(UnansweredError) as caught:
            await http.request(method, url, trace_request_ctx=uses[1])
    assert isinstance(caught.value.__cause__, aiohttp.ServerDisconnectedError)
    assert closing.requests == 2
    assert [use.is_new for use in uses] == [True, False]


def test_a_refused_connection_is_told_apart() -> None:
    """It is no request without an answer."""
    asyncio.run(_connect_refused())


async def _connect_refused() -> None:
    server = await asyncio.start_server(_ClosingServer().serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    server.close()
    await server.wait_closed()
    async with open_session() as http:
        with pytest.raises(aiohttp.ClientConnectorError):
            await http.get(f'http://{host}:{port}/')
