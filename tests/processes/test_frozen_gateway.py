"""A gateway that was frozen concludes nothing about others from its pause."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from standins.gateway_process import GatewayProcess
from standins.gateway_testbed import ROUTES, GatewayTestbed, Reply
from standins.pipelining_caller import PipeliningCaller, make_request
from standins.registry_store import config_value

pytestmark = pytest.mark.processes
SETTLE_SECONDS = 1.0
# A frozen gateway is one of several, whose news it follows.
PEERS = 2
# Together longer than the idle limit and the interval of the sweeps.
REST_SECONDS = 0.4
FREEZE_SECONDS = 2.0
SWEEPS = 3
# The last lines of the log, shown when a request fails.
LINES = 8


def _run(
    folder: Path, freezes: list[float], run_s: float, deadline_ms: int
) -> tuple[list[Reply], list[dict[str, Any]]]:
    """Returns the answers and the log.

    Each freeze begins while an upstream runs a request.
    """

    async def _scene() -> tuple[list[Reply], list[dict[str, Any]]]:
        async with GatewayTestbed(folder, instances=PEERS) as testbed:
            with GatewayProcess(testbed, folder) as gateway:
                await gateway.wait_ready()
                await gateway.send(deadline_ms)
                replies = []
                for upstream in testbed.upstreams:
                    upstream.run_s = run_s
                for at, seconds in enumerate(freezes):
                    arrived = testbed.count_arrivals()
                    sending = asyncio.create_task(
                        gateway.send(deadline_ms, f'r-{at}')
                    )
                    await testbed.wait_arrival(arrived + 1)
                    await gateway.freeze(0, seconds)
                    replies.append(await sending)
                    await asyncio.sleep(SETTLE_SECONDS)
                return replies, gateway.events()

    return asyncio.run(asyncio.wait_for(_scene(), 90))


def test_an_upstream_that_answered_during_a_freeze_is_not_silent(
    tmp_path: Path,
) -> None:
    """The answer that waited is read before the upstream is given up."""
    replies, events = _run(tmp_path, [1.0, 1.5, 2.0], 0.15, 6000)
    assert [reply.status for reply in replies] == [200] * 3, events[-LINES:]
    reasons = [event.get('reason') for event in events]
    assert 'upstream-silent' not in reasons


def test_an_answer_that_was_ready_is_delivered_after_a_freeze(
    tmp_path: Path,
) -> None:
    """A deadline that passes during a freeze does not drop a ready answer."""
    replies, events = _run(tmp_path, [1.5, 2.5], 0.15, 1200)
    assert [reply.status for reply in replies] == [200] * 2, events[-LINES:]


def test_a_frozen_gateway_loses_neither_registry_nor_peers(
    tmp_path: Path,
) -> None:
    """What the registry and the peers sent meanwhile is read first."""
    _, events = _run(tmp_path, [0.8, 1.0, 1.3, 2.0, 3.0], 0.01, 6000)
    names = [event['event'] for event in events]
    assert 'registry lost' not in names
    assert 'news source lost' not in names


# Guards against a sweep of idle connections that a pause made late and that
# closes connections whose requests lie unread.
def test_a_request_that_arrived_during_a_freeze_is_answered(
    tmp_path: Path,
) -> None:
    """Its connection was idle for less than the limit when it was sent."""

    async def _scene() -> None:
        async with GatewayTestbed(tmp_path, instances=1) as testbed:
            value = config_value(0x12, list(ROUTES), idleTimeout='1500ms')
            testbed.store.put('op/config', value)
            with GatewayProcess(testbed, tmp_path) as gateway:
                await gateway.wait_ready()
                async with PipeliningCaller(gateway.caller_address) as caller:
                    for at in range(SWEEPS):
                        caller.send(make_request(f'r-{at}'))
                        assert await caller.read() is not None
                        freezing = asyncio.create_task(
                            gateway.freeze(REST_SECONDS, FREEZE_SECONDS)
                        )
                        await asyncio.sleep(2 * REST_SECONDS)
                        caller.send(make_request(f'f-{at}', deadline_ms=9000))
                        answer = await caller.read()
                        assert answer is not None
                        assert answer.status == 200
                        await freezing

    asyncio.run(asyncio.wait_for(_scene(), 90))
