"""Bytes without end from an upstream break their exchange and nothing else."""

import asyncio
import contextlib
import threading
import time
from collections.abc import Iterator
from datetime import timedelta

import pytest

from lycheedyke.exceptions import ExchangeBroken, ExchangeTimeout
from lycheedyke.transport import HttpClient, HttpResponse
from standins.endless_upstream import FLOODS, serving_endless

AT_ONCE = 8
DEADLINE = timedelta(seconds=1)
# The processor time of the event loop, which the machine's load leaves alone.
MAX_LATE_SECONDS = 0.1
CLOSE_SECONDS = 10
MAX_BODY_BYTES = 1_048_576
# More than the socket buffers of both ends hold.
MAX_SURPLUS_BYTES = 16_777_216
LONG = timedelta(seconds=30)
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine'
# The upstream sends a whole answer first.
WHOLE_FIRST = frozenset(('surplus', 'surplus-answers'))
# It sends a whole answer without a body first.
EMPTY_FIRST = frozenset(
    (
        'no-content',
        'no-content-length',
        'no-content-chunks',
        'no-content-answers',
    )
)
# It takes longer until these bytes reach a limit.
UNTIL_DEADLINE = frozenset(('slow-head',))

_Outcome = HttpResponse | Exception


@pytest.fixture(name='upstream', scope='module')
def _upstream() -> Iterator[str]:
    with serving_endless() as address:
        yield address


class _Lateness:
    """The processor time that this thread uses after the deadline."""

    def __init__(self, deadline: timedelta) -> None:
        self._clock = time.pthread_getcpuclockid(threading.get_ident())
        self._at_deadline = float('inf')
        self._timer = threading.Timer(deadline.total_seconds(), self._note)
        self._timer.start()

    @property
    def seconds(self) -> float:
        """The processor time since the deadline; below 0 before it."""
        self._timer.cancel()
        return time.clock_gettime(self._clock) - self._at_deadline

    def _note(self) -> None:
        self._at_deadline = time.clock_gettime(self._clock)


async def _exchange(
    client: HttpClient,
    upstream: str,
    flood: str,
    deadline: timedelta = DEADLINE,
) -> _Outcome:
    try:
        return await client.send(
            'GET',
            f'http://{upstream}/{flood}',
            timeout=deadline,
            headers=(('Lycheedyke-Request-Id', 'r-1'),),
        )
    except ExchangeBroken as error:
        return error


async def _wait_closed(client: HttpClient, upstream: str) -> None:
    """Waits until the upstream writes to no connection any more."""
    for _ in range(CLOSE_SECONDS * 20):
        answer = await client.send(
            'GET', f'http://{upstream}/open', timeout=DEADLINE * 5, reuse=False
        )
        if answer.body == b'0':
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f'{answer.body!r} connections are still open')


async def _flood(upstream: str, flood: str) -> tuple[list[_Outcome], float]:
    client = HttpClient(
        max_body_bytes=MAX_BODY_BYTES, allow_close_delimited=True
    )
    async with client:
        lateness = _Lateness(DEADLINE)
        found = await asyncio.gather(
            *(_exchange(client, upstream, flood) for _ in range(AT_ONCE))
        )
        late = lateness.seconds
        await _wait_closed(client, upstream)
    return found, late


@pytest.mark.parametrize('flood', FLOODS)
def test_an_answer_without_end_breaks_its_exchange_in_time(
    upstream: str, flood: str
) -> None:
    """No such bytes become an answer, keep the loop busy or stay pooled.

    Guards against endless `103` heads, which ended 0.9 s after a deadline.
    """
    found, late = asyncio.run(_flood(upstream, flood))
    assert late < MAX_LATE_SECONDS
    for outcome in found:
        if flood in WHOLE_FIRST and isinstance(outcome, HttpResponse):
            assert outcome.body == b'mine'
        elif flood in EMPTY_FIRST and isinstance(outcome, HttpResponse):
            assert (outcome.status, outcome.body) == (204, b'')
        else:
            assert isinstance(outcome, ExchangeBroken)


@pytest.mark.parametrize('flood', sorted(FLOODS.keys() - UNTIL_DEADLINE))
def test_an_answer_without_end_breaks_before_a_long_deadline(
    upstream: str, flood: str
) -> None:
    """Guards against bytes that are read for nothing until the deadline."""

    async def _job() -> _Outcome:
        async with HttpClient(
            max_body_bytes=MAX_BODY_BYTES, allow_close_delimited=True
        ) as client:
            return await _exchange(client, upstream, flood, LONG)

    assert not isinstance(asyncio.run(_job()), ExchangeTimeout)


async def _flood_beside_body(upstream: str) -> tuple[_Outcome, float]:
    async with HttpClient(allow_close_delimited=True) as client:
        lateness = _Lateness(DEADLINE)
        try:
            await client.send(
                'PUT',
                f'http://{upstream}/hints',
                timeout=DEADLINE,
                body=b'x' * 30_000_000,
            )
        except ExchangeBroken as error:
            late = lateness.seconds
            await _wait_closed(client, upstream)
            return error, late
    raise AssertionError('bytes without end became an answer')


def test_a_request_that_is_not_read_ends_in_time_too(upstream: str) -> None:
    """A body that the upstream does not read does not hold the exchange."""
    _, late = asyncio.run(_flood_beside_body(upstream))
    assert late < MAX_LATE_SECONDS


async def _speak_when_idle() -> tuple[int, bytes]:
    """Returns what the client's connection held of bytes for no request."""
    closed = asyncio.Event()
    sent = 0

    async def _serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        await reader.readuntil(b'\r\n\r\n')
        writer.write(WHOLE)
        await asyncio.sleep(0.05)
        with contextlib.suppress(OSError):
            while sent < MAX_SURPLUS_BYTES:
                writer.write(WHOLE * 1000)
                sent += len(WHOLE) * 1000
                await writer.drain()
        closed.set()

    server = await asyncio.start_server(_serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with HttpClient() as client:
        answer = await client.send(
            'GET', f'http://127.0.0.1:{port}/', timeout=LONG
        )
        await closed.wait()
    server.close()
    return sent, answer.body


def test_answers_without_end_do_not_pile_up_on_an_idle_connection() -> None:
    """Guards against answers to no request, of which 16 MB were parsed."""
    sent, body = asyncio.run(asyncio.wait_for(_speak_when_idle(), 60))
    assert body == b'mine'
    assert sent < MAX_SURPLUS_BYTES
