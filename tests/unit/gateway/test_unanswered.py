"""Requests that end without an answer, at a planned stop and otherwise.

A caller whose connection is closed without an answer does not learn whether
its request has run.
"""

import asyncio
import logging
import socket
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from lycheedyke.protocol import Answered, Outcome
from lycheedyke.state import UpstreamState
from lycheedyke_daemon.gateway._router import GatewayRouter
from lycheedyke_daemon.stopping import RequestTracker
from lycheedyke_daemon.work import Work
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.registry_store import config_value

LIMIT_SECONDS = 40
# Below the allowed 2.5 s from a write in the store to its effect.
APPLY_SECONDS = 1.5
GRACE_SECONDS = 4
# Its last tenth is longer than a busy machine delays an answer.
LONG_GRACE_SECONDS = 6
WAIT_SECONDS = 10
# More than the buffers of the kernel hold.
LARGE_BYTES = 8_000_000
# Longer than the grace period of every test here.
ROUTES = (
    {
        'name': 'slow',
        'prefix': '/slow/',
        'service': 'desk',
        'timeout': '9000ms',
    },
)
REQUEST = (
    b'GET /slow/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'Lycheedyke-Request-Id: r-9\r\n\r\n'
)


async def _prepare(
    platform: GatewayTestbed, action: str, grace_s: int = GRACE_SECONDS
) -> None:
    """Sets the route, the grace period and what the upstreams do."""
    platform.store.put('op/config', config_value(0x2F, list(ROUTES)))
    await asyncio.sleep(APPLY_SECONDS)
    (instance,) = platform.instances
    instance._settings = instance._settings._replace(
        stop_grace=timedelta(seconds=grace_s)
    )
    for upstream in platform.upstreams:
        upstream.script.append(action)


async def _connect(
    platform: GatewayTestbed,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = platform.settings[0].caller_address.rpartition(':')
    caller = socket.socket()
    caller.setblocking(False)
    # A small buffer, so that a large answer waits at the instance.
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (host, int(port)))
    return await asyncio.open_connection(sock=caller)


# Guards against a stop that outlasts its grace period, at whose end the
# platform kills the process, while the store does not answer.
def test_a_store_that_is_silent_delays_no_stop(tmp_path: Path) -> None:
    """The requests have ended within the grace period from the signal."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'wait', LONG_GRACE_SECONDS)
        reader, writer = await _connect(platform)
        writer.write(REQUEST)
        await platform.wait_arrival()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        platform.store.silent = True
        stopping = asyncio.create_task(platform.instances.pop().stop())
        await reader.read()
        assert loop.time() - begun < LONG_GRACE_SECONDS
        await stopping

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against a stop that closes connections whose requests still run.
def test_a_request_that_outlasts_a_stop_is_answered(tmp_path: Path) -> None:
    """Its outcome is unknown, which 503 would deny; its run is ended."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'wait')
        reader, writer = await _connect(platform)
        writer.write(REQUEST)
        await platform.wait_arrival()
        await platform.instances.pop().stop()
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 502 ')
        assert b'Connection: close\r\n' in answer
        assert answer.endswith(b'\r\n\r\nstopping')
        for upstream in platform.upstreams:
            assert upstream.disconnected == upstream.started

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against runs that are begun in a stop and can't end in it.
def test_a_request_in_a_stop_ends_within_its_grace(tmp_path: Path) -> None:
    """The upstream learns how long the instance will wait."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'wait')
        reader, writer = await _connect(platform)
        stopping = asyncio.create_task(platform.instances.pop().stop())
        await asyncio.sleep(0)
        writer.write(REQUEST)
        # On a busy machine the interruption may come before the deadline.
        status = (await reader.read()).split()[1]
        assert status in {b'502', b'504'}
        await stopping
        for upstream in platform.upstreams:
            for arrival in upstream.arrivals:
                remaining_ms = int(arrival.headers['Lycheedyke-Deadline-Ms'])
                assert remaining_ms < GRACE_SECONDS * 1000
        assert platform.count_arrivals()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against a stop that closes connections while bodies are being read.
def test_a_body_that_outlasts_a_stop_is_refused(tmp_path: Path) -> None:
    """The request was not passed on, so it has not run and will not run."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'wait')
        reader, writer = await _connect(platform)
        head = REQUEST.replace(b'GET', b'POST').removesuffix(b'\r\n')
        writer.write(head + b'Content-Length: 9\r\n\r\nhalf')
        await asyncio.sleep(APPLY_SECONDS / 3)
        await platform.instances.pop().stop()
        assert (await reader.read()).startswith(b'HTTP/1.1 503 ')
        assert not platform.count_arrivals()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


async def _answer_and_interrupt() -> str:
    tracker = RequestTracker()
    answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    async def _serve() -> str:
        async with tracker.interruptible():
            return await asyncio.wait_for(answer, LIMIT_SECONDS)

    serving = asyncio.create_task(_serve())
    await asyncio.sleep(0)
    answer.set_result('whole')
    tracker.interrupt()
    return await serving


# Guards against an interrupted request whose answer is thrown away.
def test_an_answer_that_is_there_survives_the_interruption() -> None:
    """An answer that arrives in the moment of the interruption is used."""
    assert asyncio.run(_answer_and_interrupt()) == 'whole'


async def _cancel_within(*args: object) -> Outcome:
    raise asyncio.CancelledError


# Guards against connections that close as a part of an exchange is cancelled.
def test_a_cancellation_within_an_exchange_is_answered(tmp_path: Path) -> None:
    """Neither the caller nor a stop has cancelled the request."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'answer')
        client: Any = platform.instances[0]._client
        client.run = _cancel_within
        reader, writer = await _connect(platform)
        writer.write(REQUEST)
        answer = await reader.readuntil(b'internal-error')
        assert answer.startswith(b'HTTP/1.1 502 ')
        writer.close()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


async def _lose_connection(*args: object) -> Outcome:
    raise ConnectionResetError('lost within the exchange')


# Guards against requests that count as unanswered although they are answered.
def test_an_answered_connection_error_is_not_unanswered(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The connection that failed is not the caller's, who gets a 500."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'answer')
        instance = platform.instances[0]
        client: Any = instance._client
        client.run = _lose_connection
        reader, writer = await _connect(platform)
        writer.write(REQUEST)
        answer = await reader.readuntil(b'internal error')
        assert answer.startswith(b'HTTP/1.1 500 ')
        writer.close()
        counts = instance._counters.counts
        assert not [name for name in counts if name.startswith('unanswered')]
        assert not _find_lines(caplog)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against connections that a fault closes without a trace in the log.
def test_a_request_that_is_cancelled_for_no_reason_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Neither the caller nor a known part of the instance has ended it."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'wait')
        reader, writer = await _connect(platform)
        writer.write(REQUEST)
        await platform.wait_arrival()
        (connection,) = platform.instances[0]._list_callers()
        (turn,) = connection._pipeline
        assert turn.task is not None
        turn.task.cancel()
        assert await reader.read() == b''
        await _wait_counted(platform, 'unanswered.internal-error')
        (line,) = _find_lines(caplog)
        assert vars(line)['reason'] == 'internal-error'
        writer.close()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against a second send that nothing interrupts, so that the stop closes
# the connection without an answer.
def test_an_interruption_that_meets_a_failure_ends_the_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`asyncio.wait_for` drops a cancellation as its exchange ends."""
    monkeypatch.setattr(GatewayRouter, '_silence_limit', lambda *_: None)

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'wait')
        instance = platform.instances[0]
        failed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        sends: list[str] = []
        begun = asyncio.Event()

        async def _fail() -> Outcome:
            await failed
            return Answered(500, (), b'', 'i-0')

        async def _run(
            state: UpstreamState, work: Work, sending: object
        ) -> Outcome:
            sends.append(state.record.name)
            begun.set()
            first = _fail() if len(sends) == 1 else asyncio.Event().wait()
            return await asyncio.wait_for(first, LIMIT_SECONDS)  # type: ignore[arg-type]

        instance._client.run = _run  # type: ignore[method-assign]
        interrupt = instance._tracker.interrupt

        def _interrupt() -> None:
            failed.set_result(None)
            interrupt()

        instance._tracker.interrupt = _interrupt  # type: ignore[method-assign]
        reader, writer = await _connect(platform)
        writer.write(REQUEST)
        await begun.wait()
        await platform.instances.pop().stop()
        assert (await reader.read()).startswith(b'HTTP/1.1 50')
        assert len(sends) == 1

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def _find_lines(caplog: pytest.LogCaptureFixture) -> list[logging.LogRecord]:
    return [
        record
        for record in caplog.get_records('call')
        if record.getMessage() == 'request unanswered'
    ]


async def _wait_counted(platform: GatewayTestbed, counter: str) -> None:
    counts = platform.instances[0]._counters.counts
    for _ in range(WAIT_SECONDS * 100):
        if counts[counter]:
            return
        await asyncio.sleep(0.01)
    raise TimeoutError(f'{counter} was not counted')


# Guards against connections that close without a trace in log and counters.
def test_a_caller_that_leaves_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """One line names the request, the upstream, the age and the reason."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'wait')
        _, writer = await _connect(platform)
        writer.write(REQUEST)
        await platform.wait_arrival()
        writer.close()
        await _wait_counted(platform, 'unanswered.caller-left')
        (line,) = _find_lines(caplog)
        (tried,) = [each for each in platform.upstreams if each.started]
        fields = vars(line)
        assert fields['request'] == 'r-9'
        assert fields['sent_to'] == tried.name
        assert fields['reason'] == 'caller-left'
        assert 0 <= fields['took_ms'] < LIMIT_SECONDS * 1000

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against answers that a stop cuts without a trace in the log.
def test_an_answer_that_a_stop_cuts_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A caller that never reads its answer does not hold the stop."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _prepare(platform, 'answer')
        for upstream in platform.upstreams:
            upstream.body = bytes(LARGE_BYTES)
        _, writer = await _connect(platform)
        writer.write(REQUEST)
        await platform.wait_arrival()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await platform.instances.pop().stop()
        assert loop.time() - begun < 2 * GRACE_SECONDS
        (line,) = _find_lines(caplog)
        assert vars(line)['reason'] == 'stopping'
        writer.close()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)
