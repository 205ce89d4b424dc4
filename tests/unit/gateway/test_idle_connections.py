"""Connections of callers that the instance closes."""

import asyncio
import logging
from datetime import timedelta
from pathlib import Path

import pytest

from lycheedyke_daemon.idle_connections import CLOSED_COUNTER
from lycheedyke_daemon.request_protocol import PipelinedRequestHandler
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.pipelining_caller import PipeliningCaller, make_request

# Below the interval of the sweeps.
IDLE_LIMIT = timedelta(milliseconds=100)


def _find_connection(platform: GatewayTestbed) -> PipelinedRequestHandler:
    (connection,) = platform.instances[0]._list_callers()
    return connection


def test_a_connection_that_is_closed_in_use_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The lines name the reason, the request and whether it was passed on."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.script.append('wait')
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('r-1'))
            await platform.wait_arrival()
            await _find_connection(platform).shutdown(0)
            assert await caller.read() is None
        await asyncio.sleep(0.1)

    with caplog.at_level(logging.INFO):
        run_scenario(tmp_path, _scene)
    lines = {record.getMessage(): record for record in caplog.records}
    closed = vars(lines['connection closed in use'])
    assert closed['closed_by'] == 'stopping'
    assert closed['requests'] == ['r-1']
    assert closed['passed_on'] == 1
    unanswered = vars(lines['request unanswered'])
    assert unanswered['reason'] == 'connection-closed'
    assert unanswered['closed_by'] == 'stopping'


def test_an_answered_request_does_not_keep_its_connection_in_use(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A refused body that never comes is no request without an answer."""

    async def _scene(platform: GatewayTestbed) -> None:
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(
                b'POST /unknown/1 HTTP/1.1\r\nHost: shop.example\r\n'
                b'Content-Length: 9\r\n\r\n'
            )
            answer = await caller.read()
            await _find_connection(platform).shutdown(0)
        assert answer is not None
        assert answer.status == 404

    run_scenario(tmp_path, _scene)
    events = {record.getMessage() for record in caplog.records}
    assert 'connection closed in use' not in events


# Guards against a sweep of idle connections that closes the connection of a
# request that has been read and is passed on.
@pytest.mark.parametrize('turns', range(6))
def test_no_connection_is_closed_as_idle_once_its_request_is_read(
    tmp_path: Path, turns: int
) -> None:
    """The request is answered, however many turns of the loop lie between."""

    async def _scene(platform: GatewayTestbed) -> None:
        (instance,) = platform.instances
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('r-1'))
            assert await caller.read() is not None
            instance._idle._limit = lambda: IDLE_LIMIT
            await asyncio.sleep(2 * IDLE_LIMIT.total_seconds())
            connection = _find_connection(platform)
            connection.data_received(make_request('r-2'))
            for _ in range(turns):
                await asyncio.sleep(0)
            instance._idle.close_idle([connection])
            answer = await caller.read()
        assert answer is not None
        assert answer.request == 'r-2'

    run_scenario(tmp_path, _scene)


def test_a_connection_in_use_is_not_idle(tmp_path: Path) -> None:
    """It counts as idle since its last answer, not since its last request."""

    async def _scene(platform: GatewayTestbed) -> None:
        (instance,) = platform.instances
        for upstream in platform.upstreams:
            upstream.run_s = 3 * IDLE_LIMIT.total_seconds()
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('r-1'))
            await platform.wait_arrival()
            connection = _find_connection(platform)
            await asyncio.sleep(2 * IDLE_LIMIT.total_seconds())
            assert not connection.close_if_idle(IDLE_LIMIT)
            assert await caller.read() is not None
            assert not connection.close_if_idle(IDLE_LIMIT)
            await asyncio.sleep(2 * IDLE_LIMIT.total_seconds())
            instance._idle._limit = lambda: IDLE_LIMIT
            instance._idle.close_idle([connection])
            assert await caller.read() is None
        assert instance._counters.counts[CLOSED_COUNTER] == 1

    run_scenario(tmp_path, _scene)


def test_a_head_that_does_not_end_does_not_keep_a_connection_open(
    tmp_path: Path,
) -> None:
    """Bytes of an incomplete head do not make a connection used."""

    async def _scene(platform: GatewayTestbed) -> None:
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('r-1'))
            assert await caller.read() is not None
            connection = _find_connection(platform)
            for line in (b'GET /read/1 HTTP/1.1\r\n', b'Host: a\r\n'):
                caller.send(line)
                await asyncio.sleep(IDLE_LIMIT.total_seconds())
            assert connection.close_if_idle(IDLE_LIMIT)
            assert await caller.read() is None

    run_scenario(tmp_path, _scene)
