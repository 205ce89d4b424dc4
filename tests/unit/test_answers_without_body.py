"""Answers that end with their head, and the connections they come on."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest

from lycheedyke.exceptions import ExchangeBroken
from lycheedyke.transport import HttpClient
from standins.relay import reset
from standins.scripted_server import serving

LIMIT = timedelta(seconds=5)
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine'
NO_CONTENT = b'HTTP/1.1 204 No Content\r\n'
NOT_MODIFIED = b'HTTP/1.1 304 Not Modified\r\n'
SUCCESS = b'HTTP/1.1 200 OK\r\n'
FAILURE = b'HTTP/1.1 500 Failed\r\n'
BODILESS = [
    (method, status + fields)
    for method, status in (
        ('GET', NO_CONTENT),
        ('POST', NO_CONTENT),
        ('DELETE', NO_CONTENT),
        ('GET', NOT_MODIFIED),
        ('HEAD', SUCCESS),
        ('HEAD', NOT_MODIFIED),
        ('HEAD', FAILURE),
        ('GET', b'HTTP/1.1 103 Early Hints\r\n\r\n' + NO_CONTENT),
    )
    for fields in (
        b'',
        b'Content-Length: 0\r\n',
        b'Content-Length: 5000\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'Connection: close\r\n',
    )
]
LATE_SECONDS = 0.05


def run(job: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a test on a new event loop."""
    asyncio.run(job())


# Guards against a sound answer that is taken for a broken one, since a body was
# waited for that its method or its status rules out.
@pytest.mark.parametrize(('method', 'head'), BODILESS)
@pytest.mark.parametrize('allow_close_delimited', [False, True])
@pytest.mark.parametrize('close', [False, True])
@pytest.mark.parametrize('reuse', [False, True])
def test_an_answer_without_body_ends_with_its_head(
    method: str,
    head: bytes,
    *,
    allow_close_delimited: bool,
    close: bool,
    reuse: bool,
) -> None:
    """Whatever its headers say, and whether the connection is kept or not."""

    async def job() -> None:
        async with (
            serving(head + b'\r\n', close=close) as server,
            HttpClient(allow_close_delimited=allow_close_delimited) as client,
        ):
            answer = await client.send(
                method, server.url, timeout=LIMIT, reuse=reuse
            )
        last_head = head.rpartition(b'HTTP/1.1 ')[2]
        assert answer.status == int(last_head[:3])
        assert answer.body == b''

    run(job)


@pytest.mark.parametrize('length', range(1, len(NO_CONTENT + b'A: b\r\n\r\n')))
def test_a_head_that_is_cut_is_no_answer(length: int) -> None:
    """Only a whole head ends the answer."""

    async def job() -> None:
        head = NO_CONTENT + b'A: b\r\n\r\n'
        async with (
            serving(head[:length], close=True) as server,
            HttpClient(allow_close_delimited=True) as client,
        ):
            with pytest.raises(ExchangeBroken):
                await client.send('GET', server.url, timeout=LIMIT)

    run(job)


@pytest.mark.parametrize('status', [200, 201, 205, 206, 404, 500])
def test_other_answers_without_a_length_must_be_closed_not_reset(
    status: int,
) -> None:
    """Their body ends with the connection, so a reset leaves it incomplete."""

    async def _serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        writer.write(f'HTTP/1.1 {status} Is\r\n\r\nhalf'.encode())
        await writer.drain()
        await asyncio.sleep(LATE_SECONDS)
        if b'/reset' in head:
            reset(writer)
        writer.close()

    async def job() -> None:
        server = await asyncio.start_server(_serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        url = f'http://127.0.0.1:{port}'
        async with HttpClient(allow_close_delimited=True) as client:
            closed = await client.send('GET', f'{url}/closed', timeout=LIMIT)
            assert closed.body == b'half'
            with pytest.raises(ExchangeBroken):
                await client.send('GET', f'{url}/reset', timeout=LIMIT)
        async with HttpClient(allow_close_delimited=False) as client:
            with pytest.raises(ExchangeBroken):
                await client.send('GET', f'{url}/closed', timeout=LIMIT)
        server.close()

    run(job)


# Guards against bytes behind an answer without body that reach the next request.
@pytest.mark.parametrize(
    'surplus', [b'hello', WHOLE, b'5\r\nhello\r\n0\r\n\r\n']
)
@pytest.mark.parametrize('late_s', [0, LATE_SECONDS])
@pytest.mark.parametrize(
    'fields', [b'', b'Content-Length: 5\r\n', b'Transfer-Encoding: chunked\r\n']
)
def test_bytes_behind_an_answer_without_body_belong_to_nothing(
    surplus: bytes, late_s: float, fields: bytes
) -> None:
    """The next request gets its own answer on another connection."""
    connections = 0

    async def _serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        head = await reader.readuntil(b'\r\n\r\n')
        if b'/first' in head:
            writer.write(NO_CONTENT + fields + b'\r\n')
            await asyncio.sleep(late_s)
            writer.write(surplus)
            await reader.read()
        else:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext')
        writer.close()

    async def job() -> None:
        server = await asyncio.start_server(_serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        url = f'http://127.0.0.1:{port}'
        async with HttpClient(allow_close_delimited=True) as client:
            try:
                first = await client.send('GET', f'{url}/first', timeout=LIMIT)
            except ExchangeBroken:
                # The surplus was read together with the head.
                assert not late_s
            else:
                assert (first.status, first.body) == (204, b'')
            await asyncio.sleep(2 * LATE_SECONDS)
            answer = await client.send('GET', f'{url}/next', timeout=LIMIT)
        server.close()
        assert (answer.status, answer.body) == (200, b'next')
        assert connections == 2

    run(job)


def test_answers_without_body_keep_their_connection() -> None:
    """One connection serves many of them, and others in between."""

    async def job() -> None:
        answers = [NO_CONTENT + b'\r\n', WHOLE, NOT_MODIFIED + b'\r\n', WHOLE]
        async with (
            serving(*answers, close=False) as server,
            HttpClient(allow_close_delimited=True) as client,
        ):
            found = []
            for _ in answers:
                answer = await client.send(
                    'GET', server.url, timeout=timedelta(seconds=1)
                )
                found.append((answer.status, answer.body))
            assert len(server.connections) == 1
        assert found == [(204, b''), (200, b'mine'), (304, b''), (200, b'mine')]

    run(job)
