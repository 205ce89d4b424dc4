"""What closes a caller's connection, and the requests that are read then.

A connection is closed by a planned stop, after a failure within, or as its
caller leaves. None of these may cut a request that was passed on, unless its
caller has left.
"""

import asyncio
import logging
import socket
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web

from lycheedyke_daemon.servers import PipelinedRunner
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.pipelining_caller import PipeliningCaller, make_request
from standins.virtual_time import run_in_virtual_time

LIMIT_SECONDS = 40
# Longer than a stop waits for the requests that run as it closes connections.
RUN_SECONDS = 0.6
# More than the buffers of the kernel hold.
LARGE_BYTES = 8_000_000
UNKNOWN = '/nowhere/1'
SHORT_SECONDS = 0.1
LAST_CHUNK = b'0\r\n\r\n'


# Guards against requests that are taken after a stop has waited for all, and
# cut as it closes the connections.
@pytest.mark.parametrize('step', ['tasks', 'servers'])
def test_a_stop_passes_on_nothing_after_its_last_wait(
    tmp_path: Path, step: str
) -> None:
    """A request that arrives as the connections are closed is refused."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_s = RUN_SECONDS
        instance = platform.instances.pop()
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('p-0'))
            assert await caller.read()
            part: Any = {
                'tasks': instance._tasks,
                'servers': instance._servers,
            }[step]
            name = {'tasks': 'end', 'servers': 'close'}[step]
            end = getattr(part, name)

            async def _send_and_end() -> None:
                caller.send(make_request('p-1'))
                await end()

            setattr(part, name, _send_and_end)
            await instance.stop()
            answer = await caller.read()
        assert 'p-1' not in platform.started()
        assert answer is not None
        assert (answer.status, answer.closes) == (503, True)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against a stop that fails before it waits for the requests that run.
@pytest.mark.parametrize('error', [RuntimeError, asyncio.CancelledError])
def test_a_stop_that_fails_in_part_waits_for_its_requests(
    tmp_path: Path, error: type[BaseException]
) -> None:
    """The announcement lapses by itself, and the request is answered."""

    async def _fail() -> None:
        raise error

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_s = RUN_SECONDS
        instance = platform.instances.pop()
        instance._presence.withdraw = _fail  # type: ignore[method-assign]
        running = asyncio.create_task(platform.send('/read/1'))
        await asyncio.sleep(RUN_SECONDS / 2)
        await instance.stop()
        assert (await running).status == 200

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against bytes that the parser fails on, after which the event loop
# aborted the connection and all its requests.
@pytest.mark.parametrize('host', ['[::1]@', '[v1.x]@', 'a[::1]@'])
def test_a_host_that_fails_the_parser_cuts_nothing(
    tmp_path: Path, host: str
) -> None:
    """The request before it is answered, then comes 400 and the end."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_s = RUN_SECONDS
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('p-0'))
            await asyncio.sleep(RUN_SECONDS / 2)
            assert platform.started() == ['p-0']
            caller.send(make_request('p-1', path=f'http://{host}/read/1'))
            answers = await caller.read_all(3)
        assert [each.status for each in answers] == [200, 400]
        assert answers[1].closes

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against a request that no task ends, behind which no answer is written.
@pytest.mark.parametrize('host', ['xn--', 'xn--a', 'a.xn--_'])
def test_a_host_that_cannot_be_decoded_holds_up_no_answer(
    tmp_path: Path, host: str
) -> None:
    """It is refused in its turn; the requests around it are answered."""

    async def _scene(platform: GatewayTestbed) -> None:
        address = platform.settings[0].caller_address
        path = f'http://{host}/read/1'
        async with PipeliningCaller(address) as caller:
            caller.send(
                make_request('p-0'),
                make_request('p-1', path=path, body=b'x'),
                make_request('p-2'),
            )
            async with asyncio.timeout(LIMIT_SECONDS / 2):
                answers = await caller.read_all(3)
        assert [each.status for each in answers] == [200, 400, 200]
        assert not any(each.closes for each in answers)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against a broken body that is waited for until the deadline, and is then
# answered twice: 408 for its request and 400 for its bytes.
@pytest.mark.parametrize(
    ('path', 'status'), [('/order/1', 400), (UNKNOWN, 404)]
)
def test_malformed_bytes_in_a_body_end_its_request(
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
    path: str,
    status: int,
) -> None:
    """One answer each, at once and in order, then the connection closes."""

    async def _scene(platform: GatewayTestbed) -> None:
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            request = make_request(
                'p-1', path=path, method='POST', body=b'abc', is_chunked=True
            )
            caller.send(make_request('p-0'), request.removesuffix(LAST_CHUNK))
            await asyncio.sleep(SHORT_SECONDS)
            caller.send(b'no length\r\n')
            await asyncio.sleep(SHORT_SECONDS)
            caller.send(make_request('p-2'))
            loop = asyncio.get_running_loop()
            begun = loop.time()
            answers = await caller.read_all(4)
            assert loop.time() - begun <= SHORT_SECONDS
        assert [each.status for each in answers] == [200, status]
        assert platform.started() == ['p-0']

    with caplog.at_level(logging.INFO):
        run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)
    assert 'connection closed in use' not in caplog.messages


# Guards against connections that close as a part of a handler is cancelled.
def test_a_cancellation_within_a_handler_is_answered(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The request itself is not cancelled; the one behind it is answered."""

    async def _handle(request: web.Request) -> web.Response:
        if request.path == UNKNOWN:
            raise asyncio.CancelledError
        return web.Response(text='whole')

    async def _run() -> None:
        app = web.Application()
        app.add_routes([web.get('/{path:.*}', _handle)])
        runner = PipelinedRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        host, port = runner.addresses[0][:2]
        async with PipeliningCaller(f'{host}:{port}') as caller:
            caller.send(make_request('p-0', path=UNKNOWN), make_request('p-1'))
            answers = await caller.read_all(2)
        await runner.cleanup()
        assert [each.status for each in answers] == [500, 200]

    run_in_virtual_time(_run())
    assert 'Error handling request' in caplog.messages


async def _send_whole(address: str, request: bytes) -> bytes:
    """Sends all of a request before it reads; returns all that is received."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setblocking(False)
        await loop.sock_connect(caller, (host, int(port)))
        await loop.sock_sendall(caller, request)
        received = b''
        while chunk := await loop.sock_recv(caller, LARGE_BYTES):
            received += chunk
    return received


# Guards against a reset that reaches a caller before its answer does.
@pytest.mark.parametrize('is_stop', [False, True])
def test_a_body_that_is_not_wanted_is_read_before_the_close(
    tmp_path: Path, is_stop: bool
) -> None:
    """A caller may send its whole body before it reads."""

    async def _scene(platform: GatewayTestbed) -> None:
        address = platform.settings[0].caller_address
        stopping: asyncio.Task[None] | None = None
        if is_stop:
            stopping = asyncio.create_task(platform.instances.pop().stop())
            await asyncio.sleep(0)
        request = make_request(
            'p-0',
            path=UNKNOWN,
            method='POST',
            body=b'x' * LARGE_BYTES,
            closes=not is_stop,
        )
        answer = await _send_whole(address, request)
        assert answer.startswith(b'HTTP/1.1 404 ')
        assert b'Connection: close\r\n' in answer
        if stopping is not None:
            await stopping

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_caller_that_closes_its_sending_side_has_left(
    tmp_path: Path,
) -> None:
    """Its runs end: a caller that is gone is not seen in another way."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.script.append('wait')
        host, _, port = platform.settings[0].caller_address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(make_request('p-0'))
        await asyncio.sleep(0.1)
        assert platform.started() == ['p-0']
        writer.write_eof()
        assert await reader.read() == b''
        await asyncio.sleep(0.1)
        ended = [each for up in platform.upstreams for each in up.disconnected]
        assert ended == ['p-0']
        writer.close()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


@pytest.mark.parametrize('error', [ConnectionResetError, BrokenPipeError])
def test_an_error_of_another_connection_is_answered(
    tmp_path: Path, error: type[Exception]
) -> None:
    """Only an error of the caller's own connection ends it."""

    async def _fail(*args: object) -> None:
        raise error

    async def _scene(platform: GatewayTestbed) -> None:
        client: Any = platform.instances[0]._client
        client.run = _fail
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('p-0'), make_request('p-1', path=UNKNOWN))
            answers = await caller.read_all(2)
        assert [each.status for each in answers] == [500, 404]

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)
