"""Connections that close, or stay open, while requests are unanswered."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from pathlib import Path

import pytest
from aiohttp import web

from lycheedyke_daemon.pipeline import TURN
from lycheedyke_daemon.servers import PipelinedRunner
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.pipelining_caller import PipeliningCaller, make_request
from standins.virtual_time import run_in_virtual_time

IN_USE = 'connection closed in use'
TIMEOUT_SECONDS = 5


@asynccontextmanager
async def _serve(handler: object) -> AsyncIterator[str]:
    app = web.Application()
    app.add_routes([web.route('*', '/{path:.*}', handler)])  # type: ignore
    runner = PipelinedRunner(
        app, handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        yield f'{host}:{port}'
    finally:
        await runner.cleanup()


# Guards against a line for each request of a connection, with a wrong reason,
# where one line says what a stop closed.
def test_a_connection_closed_in_use_is_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The line names the first reason and all requests."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.script.extend(['wait'] * 4)
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(*(make_request(f'r-{at}') for at in range(4)))
            await asyncio.sleep(0.2)
            (connection,) = platform.instances[0]._list_callers()
            await connection.shutdown(0)
            assert await caller.read() is None

    with caplog.at_level(logging.INFO):
        run_scenario(tmp_path, _scene)
    lines = [
        (vars(record)['closed_by'], vars(record)['requests'])
        for record in caplog.records
        if record.getMessage() == IN_USE
    ]
    assert lines == [('stopping', ['r-0', 'r-1', 'r-2', 'r-3'])]


# Guards against a caller that left being reported as a fault of the daemon.
def test_a_reset_by_the_caller_is_no_close_by_the_instance(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """An answer that meets a reset blames nothing for the requests behind."""
    seen = {}
    first = asyncio.Event()

    async def _answer(request: web.Request) -> web.Response:
        if request.path == '/read/2':
            try:
                await asyncio.sleep(TIMEOUT_SECONDS)
            finally:
                seen['closed_by'] = request[TURN].closed_by
        await first.wait()
        # As the event loop does where reading from the caller fails.
        request.transport._fatal_error(  # type: ignore[union-attr]
            ConnectionResetError('reset by the caller')
        )
        return web.Response()

    async def _scene() -> None:
        async with _serve(_answer) as address:
            async with PipeliningCaller(address) as caller:
                caller.send(
                    make_request('r-1'), make_request('r-2', path='/read/2')
                )
                await asyncio.sleep(0.1)
                first.set()
                assert await caller.read() is None
                await asyncio.sleep(0.1)

    with caplog.at_level(logging.INFO):
        run_in_virtual_time(_scene())
    assert seen == {'closed_by': None}
    assert IN_USE not in [record.getMessage() for record in caplog.records]


async def _swallow_one_cancellation() -> None:
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        await asyncio.Event().wait()


# Guards against a stop that takes a request after it has found that none is in
# flight, passes it on, and closes its connection without an answer.
@pytest.mark.parametrize(
    ('is_delayed', 'is_sent', 'grace_s'),
    [
        (False, False, 2),
        (False, True, 2),
        (True, True, 2),
        (True, True, 4),
        (True, True, 6),
    ],
)
def test_a_stop_passes_no_request_on_that_it_then_breaks(
    tmp_path: Path, is_delayed: bool, is_sent: bool, grace_s: int
) -> None:
    """A request read once the stop is over is refused, or answered."""
    lost = []

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_s = 0.5
        address = platform.settings[0].caller_address
        instance = platform.instances.pop()
        instance._settings = instance._settings._replace(
            stop_grace=timedelta(seconds=grace_s)
        )
        if is_delayed:
            instance._tasks.start('swallows', _swallow_one_cancellation)
            await asyncio.sleep(0)
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('r-1'))
            assert await caller.read() is not None
            (connection,) = instance._list_callers()
            is_over = asyncio.Event()
            flush = instance._schedule.flush

            async def _flush(is_busy: Callable[[], bool]) -> None:
                await flush(is_busy)
                is_over.set()

            instance._schedule.flush = _flush  # type: ignore[method-assign]
            stopping = asyncio.create_task(instance.stop())
            await is_over.wait()
            if is_delayed:
                # Later than the last moment at which requests are taken.
                await asyncio.sleep(0.01)
            if is_sent:
                caller.send(make_request('r-2'))
            else:
                connection.data_received(make_request('r-2'))
            answer = await caller.read()
            await stopping
        if answer is None and 'r-2' in platform.started():
            lost.append('r-2')

    run_scenario(tmp_path, _scene)
    assert not lost


# Guards against the server's own limit closing the connection of a request
# that has been read.
@pytest.mark.parametrize('limit_s', [0.1, 0.2])
def test_the_limit_of_the_server_spares_a_connection_in_use(
    tmp_path: Path, limit_s: float
) -> None:
    """It is closed once it is idle for that long, and not sooner."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_s = 0.5
        address = platform.settings[0].caller_address
        loop = asyncio.get_running_loop()
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('r-1'))
            await platform.wait_arrival()
            (connection,) = platform.instances[0]._list_callers()
            connection._keepalive_timeout = limit_s
            connection._idle_check.cancel()  # type: ignore[union-attr]
            connection._check_idle()
            answer = await caller.read()
            assert answer is not None
            assert answer.request == 'r-1'
            begun = loop.time()
            assert await caller.read() is None
            assert loop.time() - begun >= limit_s - 0.01
            assert loop.time() - begun <= 2 * limit_s + 0.05

    run_scenario(tmp_path, _scene)
