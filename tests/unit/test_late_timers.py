"""Tests timers that fire late because the event loop stood still.

The other side keeps running meanwhile, as other processes do.
"""

import asyncio
import contextlib
import functools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import cast

import aiohttp
import pytest
import uvloop

from bench.soak.stalls import StallMonitor
from lycheedyke.exceptions import (
    ConnectError,
    ExchangeTimeout,
    WriteTooLate,
)
from lycheedyke.timers import PauseMonitor, PauseTolerantTimer
from lycheedyke.transport import HttpClient
from lycheedyke.transport._write_gate import WriteGate
from standins.virtual_time import VirtualTimeLoop, run_in_virtual_time

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
ANSWER_AFTER_SECONDS = 0.2
STALL_SECONDS = 1.0
TIMEOUT = timedelta(milliseconds=500)
LOOPS = pytest.mark.parametrize(
    'loop_factory', [asyncio.new_event_loop, uvloop.new_event_loop]
)

LoopFactory = Callable[[], asyncio.AbstractEventLoop]


@contextlib.contextmanager
def _server(
    *, answers: bool = True, received: list[bytes] | None = None
) -> Iterator[str]:
    """Serves one request in a thread; yields the address."""
    with socket.create_server(('127.0.0.1', 0)) as listener:

        def _serve() -> None:
            connection, _ = listener.accept()
            with connection:
                content = connection.recv(65_536)
                if received is not None:
                    received.append(content)
                time.sleep(ANSWER_AFTER_SECONDS)
                if answers:
                    connection.sendall(ANSWER)
                connection.settimeout(5)
                with contextlib.suppress(OSError):
                    connection.recv(1)

        thread = threading.Thread(target=_serve, daemon=True)
        thread.start()
        host, port = listener.getsockname()
        yield f'{host}:{port}'
        thread.join(5)


async def _send(
    address: str, *, stall_after_s: float = 0.1, timeout: timedelta = TIMEOUT
) -> int:
    """Sends a request, and blocks the loop while it waits for the answer."""
    async with HttpClient(connect_timeout=TIMEOUT) as client:
        sending = asyncio.create_task(
            client.send('GET', f'http://{address}/', timeout=timeout)
        )
        await asyncio.sleep(stall_after_s)
        time.sleep(STALL_SECONDS)  # noqa: ASYNC251
        return (await sending).status


@LOOPS
def test_an_answer_that_waited_out_a_stall_is_read(
    loop_factory: LoopFactory,
) -> None:
    """A process that stood still concludes nothing from a late timer."""
    with _server() as address, asyncio.Runner(loop_factory=loop_factory) as run:
        assert run.run(_send(address)) == 200


@LOOPS
def test_a_connection_that_waited_out_a_stall_is_used(
    loop_factory: LoopFactory,
) -> None:
    """A stall while connecting does not make a host unreachable."""
    sending = functools.partial(
        _send, stall_after_s=0, timeout=timedelta(seconds=9)
    )
    with _server() as address, asyncio.Runner(loop_factory=loop_factory) as run:
        assert run.run(sending(address)) == 200


# Guards against requests that reach an upstream after their deadline, and may
# run there for a caller that has left.
@LOOPS
def test_a_request_is_not_written_once_its_time_is_over(
    loop_factory: LoopFactory,
) -> None:
    """The time was over in a stall; the connection was made meanwhile."""
    received: list[bytes] = []
    with (
        _server(received=received) as address,
        asyncio.Runner(loop_factory=loop_factory) as run,
        pytest.raises(WriteTooLate),
    ):
        run.run(_send(address, stall_after_s=0))
    assert received == [b'']


@LOOPS
def test_a_timeout_ends_soon_after_a_stall(loop_factory: LoopFactory) -> None:
    """Without an answer, an exchange does not outlast the stall by long."""

    async def _wait() -> float:
        with pytest.raises(ExchangeTimeout):
            await _send(address)
        return asyncio.get_running_loop().time()

    with (
        _server(answers=False) as address,
        asyncio.Runner(loop_factory=loop_factory) as run,
    ):
        started = time.monotonic()
        run.run(_wait())
        assert time.monotonic() - started < STALL_SECONDS + 2


def test_a_host_that_does_not_accept_is_unreachable() -> None:
    """Connecting ends at its own limit, before the exchange's."""

    async def _connect() -> float:
        async with HttpClient(
            connect_timeout=timedelta(milliseconds=200)
        ) as client:
            started = asyncio.get_running_loop().time()
            with pytest.raises(ConnectError):
                await client.send(
                    'GET', f'http://{address}/', timeout=timedelta(seconds=5)
                )
            return asyncio.get_running_loop().time() - started

    # A full queue of connections drops further ones without an answer.
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        host, port = listener.getsockname()
        address = f'{host}:{port}'
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex((host, port))
        assert asyncio.run(_connect()) < 2


# Guards against timers that are called before the loop has read what arrived
# in a pause, and against late ones where there was none.
@pytest.mark.parametrize(
    ('delay_s', 'pause_s', 'called_s'),
    [
        (0.5, 0, 0.5),
        (0.5, 0.44, 0.5),
        (0.5, 0.51, 0.61),
        (0.5, 0.7, 0.8),
        (0, 0, 0),
        (0.01, 0.04, 0.04),
        (0.01, 0.08, 0.18),
    ],
)
def test_a_timer_waits_for_reads_after_a_pause(
    delay_s: float, pause_s: float, called_s: float
) -> None:
    """Whether it was late by much or by little."""
    called: list[float] = []

    async def _wait() -> None:
        loop = cast(VirtualTimeLoop, asyncio.get_running_loop())
        begun = loop.time()
        PauseTolerantTimer(
            timedelta(seconds=delay_s),
            lambda: called.append(loop.time() - begun),
        )
        loop.skip(pause_s)
        await asyncio.sleep(5)

    run_in_virtual_time(_wait())
    assert called == [pytest.approx(called_s, abs=0.001)]


def test_a_pause_is_measured_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A pause counts at once, and for ten seconds."""

    async def _pause() -> tuple[timedelta, timedelta]:
        monitor = PauseMonitor()
        running = asyncio.create_task(monitor.run())
        await asyncio.sleep(0.01)
        assert monitor.longest() == timedelta()
        time.sleep(STALL_SECONDS)  # noqa: ASYNC251
        before_its_line = monitor.longest()
        await asyncio.sleep(0.01)
        running.cancel()
        return before_its_line, monitor.longest()

    for longest in asyncio.run(_pause()):
        assert longest >= timedelta(seconds=STALL_SECONDS / 2)
    assert [record.getMessage() for record in caplog.records] == [
        'process paused'
    ]


@pytest.mark.parametrize('stalled_s', [0, 0.3, 1.0])
def test_a_callers_limit_in_the_soak_excludes_stalls_of_the_test(
    stalled_s: float,
) -> None:
    """A soak that stood still for 2.6 s took its callers for unanswered."""

    async def _wait() -> float:
        stalls = StallMonitor()
        running = asyncio.create_task(stalls.run())
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        started = loop.time()
        with pytest.raises(TimeoutError):
            async with stalls.timeout(timedelta(seconds=0.5)):
                await asyncio.sleep(0.1)
                time.sleep(stalled_s)  # noqa: ASYNC251
                await asyncio.Event().wait()
        running.cancel()
        return loop.time() - started

    assert asyncio.run(_wait()) >= 0.48 + stalled_s


def test_a_request_is_not_written_after_its_limit_for_connecting() -> None:
    """REFUSED 5 on hunt-efb4-3: answered 503, and an upstream ran it.

    The limit passed, and the connection was there before the exchange ended.
    """

    gate = WriteGate(None)

    async def _connect_late() -> None:
        async with asyncio.timeout(None) as timeout:
            with gate.bounded(timedelta(), timeout):
                # Goes on between the call of the timer and its effect.
                while not gate.has_timed_out:  # noqa: ASYNC110
                    await asyncio.sleep(0)
                gate.open()

    with pytest.raises((aiohttp.ClientError, TimeoutError)):
        asyncio.run(_connect_late())
    assert gate.has_timed_out
    assert not gate.is_open


# Guards against run times that hold pauses of the own process.
def test_pauses_within_a_time_are_summed() -> None:
    """Those before it don't count, and those that overlap it count in part."""
    found: list[float] = []

    async def _pause() -> None:
        loop = cast(VirtualTimeLoop, asyncio.get_running_loop())
        monitor = PauseMonitor()
        running = asyncio.create_task(monitor.run())
        for seconds in (1.0, 2.0):
            await asyncio.sleep(1)
            loop.skip(seconds)
        spans = [timedelta(seconds=span) for span in (0, 0.5, 1.5, 2.5, 9)]
        before_its_line = [monitor.within(span) for span in spans]
        await asyncio.sleep(0.001)
        for now, later in zip(
            before_its_line, map(monitor.within, spans), strict=True
        ):
            assert abs(now - later) < timedelta(milliseconds=10)
        found.extend(each.total_seconds() for each in before_its_line)
        running.cancel()

    run_in_virtual_time(_pause())
    assert found == [
        pytest.approx(each, abs=0.3) for each in (0, 0.5, 1.5, 2, 3)
    ]
