"""Connections of callers that the instance closes."""

import asyncio
import logging
from datetime import timedelta
from pathlib import Path

import pytest

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
