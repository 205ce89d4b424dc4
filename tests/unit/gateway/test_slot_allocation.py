"""Requests that compete for slots, at real instances and upstreams."""

import asyncio
from pathlib import Path
from typing import Any

from standins.gateway_testbed import (
    ARRIVAL_POLLS,
    GatewayTestbed,
    Reply,
    run_scenario,
)
from standins.registry_store import config_value

TILES = {
    'name': 'tiles',
    'prefix': '/tiles/',
    'service': 'desk',
    'priority': 0,
    'goal': '800ms',
}
PACKS = {
    'name': 'packs',
    'prefix': '/packs/',
    'service': 'desk',
    'priority': 1,
    'goal': '800ms',
}
TENANTS = ({'name': 'tills', 'apiKeys': ['k-1']},)
HEADERS = {'Authorization': 'Bearer k-1'}
SLOTS = 3


async def _prepare(
    testbed: GatewayTestbed, tenants: list[dict[str, Any]] | None
) -> None:
    value = config_value(0x20, [TILES, PACKS], tenants)
    testbed.store.put('op/config', value)
    for _ in range(ARRIVAL_POLLS):
        if testbed.instances[0]._registry_view.number >= 0x20:
            break
        await asyncio.sleep(0.01)
    upstream = testbed.upstreams[0]
    upstream.run_s = 0.2
    upstream.load = '0,0,3'
    for _ in range(4):
        assert (await _send(testbed, 'packs')).status == 200


async def _send(testbed: GatewayTestbed, kind: str) -> Reply:
    return await testbed.send(f'/{kind}/1', headers=HEADERS)


async def _send_together(
    testbed: GatewayTestbed, kind: str, count: int
) -> list[Reply]:
    return await asyncio.gather(
        *(_send(testbed, kind) for _ in range(count)),
    )


async def _compete(testbed: GatewayTestbed) -> Reply:
    """Returns the reply to a pack as tiles have had to wait for a slot."""
    await _send_together(testbed, 'tiles', SLOTS + 1)
    arrived = testbed.count_arrivals()
    running = asyncio.gather(_send(testbed, 'tiles'), _send(testbed, 'tiles'))
    await testbed.wait_arrival(arrived + 2)
    reply = await _send(testbed, 'packs')
    assert [each.status for each in await running] == [200, 200]
    return reply


def test_slots_are_reserved_for_more_urgent_requests(tmp_path: Path) -> None:
    """Guards against less urgent requests in slots that urgent ones need.

    Load: four tiles at an upstream of three slots, then two more and a pack.
    """

    async def _scene(testbed: GatewayTestbed) -> None:
        await _prepare(testbed, list(TENANTS))
        reply = await _compete(testbed)
        assert (reply.status, reply.body) == (503, b'slots-reserved')
        assert 0.05 < float(reply.headers['Retry-After']) <= 2
        own = testbed.instances[0]
        assert own._counters.counts['not-run.slots-reserved'] == 1
        # Once no more tiles arrive, packs get all slots again.
        await asyncio.sleep(5)
        replies = await _send_together(testbed, 'packs', SLOTS)
        assert [each.status for each in replies] == [200] * SLOTS

    run_scenario(tmp_path, _scene, upstreams=1)


def test_without_tenants_no_slot_is_reserved(tmp_path: Path) -> None:
    """Guards against other decisions where no tenants are configured."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await _prepare(testbed, None)
        assert (await _compete(testbed)).status == 200

    run_scenario(tmp_path, _scene, upstreams=1)
