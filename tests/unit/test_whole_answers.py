"""Answers are forwarded complete and to their own request, or not at all."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheedyke.exceptions import (
    ConnectError,
    ExchangeBroken,
    ResponseTooLarge,
    TransportError,
)
from lycheedyke.protocol import Answered
from lycheedyke.transport import HttpClient, HttpResponse
from lycheedyke_daemon.answers import outcome_of_answer
from lycheedyke_daemon.work import Work
from standins.deployment import free_ports
from standins.scripted_server import FakeServer, serving

LIMIT = timedelta(seconds=5)
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine'
OPEN_HEAD = b'HTTP/1.1 200 OK\r\nSeal: 1\r\n\r\n'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Seal\r\n\r\n'
    b'4;a=b\r\nmine\r\n0\r\nSeal: 1\r\n\r\n'
)


def run(job: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a test on a new event loop."""
    asyncio.run(job())


async def ask(
    fake_server: FakeServer,
    method: str = 'GET',
    *,
    times: int = 1,
    reuse: bool = True,
) -> HttpResponse:
    """Sends the same request `times` times; returns the last answer."""
    async with HttpClient(max_body_bytes=100) as client:
        for _ in range(times):
            answer = await client.send(
                method,
                fake_server.url,
                timeout=LIMIT,
                reuse=reuse,
            )
            await asyncio.sleep(0.05)
    return answer


@pytest.mark.parametrize('length', range(1, len(OPEN_HEAD)))
@pytest.mark.parametrize('reuse', [False, True])
def test_cut_heads_are_never_whole_answers_without_a_length(
    length: int, reuse: bool
) -> None:
    """The end of a connection ends the body only after a whole head."""

    async def job() -> None:
        async with (
            serving(OPEN_HEAD[:length], close=True) as fake_server,
            HttpClient(allow_close_delimited=True) as client,
        ):
            with pytest.raises(ExchangeBroken):
                await client.send(
                    'GET', fake_server.url, timeout=LIMIT, reuse=reuse
                )

    run(job)


@pytest.mark.parametrize(
    'cut',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\nhalf\r\n',
        b'HTTP/1.1 200 OK\r\n\r\nno length',
        b'HTTP/1.1 200',
        b'',
        *(WHOLE[:length] for length in range(1, len(WHOLE))),
        *(CHUNKED[:length] for length in range(1, len(CHUNKED))),
    ],
)
# Guards against an answer that is cut within its head, the size of a chunk or its
# trailers, and reaches its caller as a whole one with an empty or a short body.
def test_cut_answers_are_never_whole(cut: bytes) -> None:
    """A cut answer breaks the exchange, and its connection is not reused."""

    async def job() -> None:
        async with serving(cut, close=True) as fake_server:
            with pytest.raises(ExchangeBroken):
                await ask(fake_server, 'POST')
            assert len(fake_server.connections) == 1

    run(job)


@pytest.mark.parametrize(
    'large',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n' + b'x' * 999,
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        + b'50\r\n'
        + b'x' * 80
        + b'\r\n50\r\n'
        + b'x' * 80
        + b'\r\n0\r\n\r\n',
    ],
)
def test_large_answers_are_refused(large: bytes) -> None:
    """An answer above the size limit is refused, whatever its framing."""

    async def job() -> None:
        async with serving(large, close=False) as fake_server:
            with pytest.raises(ResponseTooLarge):
                await ask(fake_server)

    run(job)


def test_surplus_bytes_reach_no_other_request() -> None:
    """Bytes that follow an answer do not answer the next request."""
    late = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'

    async def job() -> None:
        async with HttpClient() as client:
            writers: list[asyncio.StreamWriter] = []

            async def serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
            ) -> None:
                writers.append(writer)
                with contextlib.suppress(asyncio.IncompleteReadError):
                    while await reader.readuntil(b'\r\n\r\n'):
                        writer.write(WHOLE)

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            url = f'http://127.0.0.1:{port}/'
            await client.send('GET', url, timeout=LIMIT)
            writers[0].write(late)
            await asyncio.sleep(0.1)
            answer = await client.send('GET', url, timeout=LIMIT)
            assert (answer.body, len(writers)) == (b'mine', 2)
            server.close()

    run(job)


@pytest.mark.parametrize('method', ['POST', 'PUT', 'DELETE'])
def test_no_write_is_resent_on_a_stale_connection(method: str) -> None:
    """Write requests use no stale connection and are not sent twice."""

    async def job() -> None:
        async with serving(WHOLE, WHOLE, close=False) as fake_server:
            await ask(fake_server, method, times=2, reuse=False)
            assert len(fake_server.connections) == 2
        async with serving(WHOLE, b'', close=True) as fake_server:
            async with HttpClient() as client:
                await client.send('GET', fake_server.url, timeout=LIMIT)
                # The end of the connection arrives after the answer.
                await asyncio.sleep(0.05)
                with pytest.raises(ExchangeBroken):
                    await client.send(method, fake_server.url, timeout=LIMIT)
            sent = b''.join(fake_server.connections)
            assert sent.count(method.encode() + b' ') == 1

    run(job)


def test_target_is_sent_as_it_stands() -> None:
    """Escapes in the target are not rewritten."""

    async def job() -> None:
        async with serving(WHOLE, close=False) as fake_server:
            await ask(fake_server)
            assert fake_server.connections[0].startswith(b'GET /a%2Fb%41 HTTP')

    run(job)


@pytest.mark.parametrize(
    ('method', 'head'),
    [
        ('HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n'),
        ('GET', b'HTTP/1.1 304 Not Modified\r\nContent-Length: 5000\r\n\r\n'),
        ('GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
        (
            'GET',
            b'HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n'
            b'Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: x-hop\r\n'
            b'X-Hop: 1\r\nLycheedyke-Reason: forged\r\n\r\n',
        ),
    ],
)
def test_special_answers_pass_unharmed(method: str, head: bytes) -> None:
    """Answers without body and repeated headers pass; hop headers do not."""

    async def job() -> None:
        async with serving(head, close=False) as fake_server:
            answer = await ask(fake_server, method, times=2)
            assert len(fake_server.connections) == 1
        work = Work('kassa', method, '/', (), b'', LIMIT, '')
        outcome = outcome_of_answer('kassa-1', work, answer)
        assert isinstance(outcome, Answered)
        lines = {f'{name}: {text}' for name, text in outcome.headers}
        sent = set(head.decode().split('\r\n')[1:-2])
        hops = {'Connection: x-hop', 'X-Hop: 1', 'Lycheedyke-Reason: forged'}
        assert lines == sent - hops - {'Content-Length: 0'}

    run(job)


@settings(max_examples=60)
@given(st.binary(max_size=300), st.sampled_from([b'', WHOLE[:17], WHOLE[:40]]))
def test_any_bytes_end_in_an_answer_or_an_error(
    tail: bytes, start: bytes
) -> None:
    """The client returns an answer or raises its own error for any bytes."""

    async def job() -> None:
        async with serving(start + tail, close=True) as fake_server:
            with contextlib.suppress(TransportError):
                await ask(fake_server)

    run(job)


def test_connect_refused_means_nothing_sent() -> None:
    """A refused connection is distinguished from a broken one."""

    async def job() -> None:
        async with serving(WHOLE, close=False) as fake_server:
            pass
        with pytest.raises(ConnectError):
            await ask(fake_server, 'POST')

    run(job)


async def _serve_once_then_hang(port: int) -> asyncio.Server:
    """Answers one request, and closes at the second one.

    New connections are refused from then on.
    """
    server: asyncio.Server

    async def _serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        server.close()
        writer.close()

    server = await asyncio.start_server(_serve, '127.0.0.1', port)
    return server


def test_what_was_written_once_is_never_said_not_to_be_sent() -> None:
    """A request that was sent on a reused connection counts as sent.

    The connection breaks after the write, and a new one is refused.
    """

    async def _run() -> None:
        (port,) = free_ports(1)
        await _serve_once_then_hang(port)
        url = f'http://127.0.0.1:{port}/x'
        async with HttpClient() as client:
            await client.send('GET', url, timeout=timedelta(seconds=2))
            with pytest.raises(ExchangeBroken):
                await client.send('GET', url, timeout=timedelta(seconds=2))

    asyncio.run(_run())
