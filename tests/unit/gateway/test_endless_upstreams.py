"""Requests through a gateway beside an upstream whose answers never end."""

import asyncio
from collections import Counter
from pathlib import Path

import pytest

from lycheedyke.state import UpstreamTable
from standins.endless_upstream import serving_endless
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.registry_store import upstream_value

REQUESTS = 12
WHOLE = b'{"ran": "whole"}'


async def _wait_known(table: UpstreamTable) -> None:
    for _ in range(500):
        if len(table) == 2:
            return
        await asyncio.sleep(0.02)
    raise TimeoutError('the endless upstream is not known')


async def _send_all(
    platform: GatewayTestbed, path: str, method: str
) -> Counter[tuple[int, bytes]]:
    found: Counter[tuple[int, bytes]] = Counter()
    for key in range(REQUESTS):
        body = b'x' if method == 'POST' else None
        reply = await platform.send(
            path, method=method, body=body, object_key=str(key)
        )
        found[reply.status, reply.body] += 1
    return found


@pytest.mark.parametrize('flood', ['hints', 'open-body', 'chunk-extension'])
def test_bytes_without_end_are_a_failure_and_no_answer(
    tmp_path: Path, flood: str
) -> None:
    """Reads go on to a sound upstream, orders end, the upstream is left out.

    Guards against such bytes as an answer, and against requests that go on to
    an upstream that breaks each of them.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        table = platform.instances[0]._upstream_table
        await _wait_known(table)
        reads = await _send_all(platform, f'/read/{flood}', 'GET')
        assert reads == {(200, WHOLE): REQUESTS}
        orders = await _send_all(platform, f'/order/{flood}', 'POST')
        assert {status for status, _ in orders} <= {200, 502, 503}
        assert orders[200, WHOLE]
        assert all(body == WHOLE for status, body in orders if status == 200)
        (state,) = (
            each for each in table.all() if each.record.name == 'endless'
        )
        assert state._failures or state._ejections
        counts = platform.instances[0]._counters.counts
        assert counts['answer.too-large']

    with serving_endless() as endless:

        async def _scene_beside(platform: GatewayTestbed) -> None:
            record = upstream_value('desk', endless)
            platform.store.put('servers/endless', record)
            await _scene(platform)

        run_scenario(tmp_path, _scene_beside, upstreams=1, limit_s=60)
