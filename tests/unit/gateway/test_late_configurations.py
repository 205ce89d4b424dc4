"""Configurations over links that carry little."""

import asyncio
from pathlib import Path
from typing import Any

import pytest

from standins.gateway_testbed import GatewayTestbed
from standins.large_configurations import many_routes, many_tenants
from standins.registry_store import upstream_value
from standins.scripted_upstream import ScriptedUpstream
from standins.thin_testbed import (
    BUSY_THIN_LINK,
    ThinTestbed,
    run_thin_scenario,
    write_configuration,
)

PER_ZONE = 5
ROUTES = 1_400
KEYS = 10_000
TENANTS = 86
# From the store's answer to the version in force at all instances.
DISTURBED_SECONDS = 2.5
CALM_SECONDS = 1.5
SETTLE_SECONDS = 4.0
# For each instance, beside the polls that it makes anyway.
MAX_BYTES_OF_SMALL_CHANGE = 2_000
MOVED = {'name': 'moved', 'prefix': '/moved/'}
ADDED = {'name': 'added', 'prefix': '/added/', 'service': 'desk'}


def _routes(count: int, service: str, *more: dict[str, Any]) -> list[Any]:
    return [*many_routes(count), {**MOVED, 'service': service}, *more]


async def _serve_guide(testbed: GatewayTestbed) -> ScriptedUpstream:
    """Starts an upstream of the service `guide`."""
    guide = ScriptedUpstream('g-0')
    await guide.open()
    testbed.upstreams.append(guide)
    value = upstream_value('guide', guide.address)
    testbed.store.put(f'servers/{guide.name}', value)
    return guide


# Guards against CONFIG: requests that run by the service of an older version,
# and requests that are refused as a route of the version isn't known yet.
def test_a_large_configuration_is_in_force_over_busy_thin_links(
    tmp_path: Path,
) -> None:
    """Each transfer of it as a whole would take longer than a poll may."""

    async def _scene(testbed: ThinTestbed) -> None:
        guide = await _serve_guide(testbed)
        write_configuration(testbed, 0x20, _routes(20, 'desk'))
        await testbed.start_zones(PER_ZONE, BUSY_THIN_LINK)
        await asyncio.sleep(SETTLE_SECONDS)
        write_configuration(testbed, 0x30, _routes(ROUTES, 'guide', ADDED))
        await asyncio.sleep(DISTURBED_SECONDS)
        everyone = range(len(testbed.instances))
        added = [
            (await testbed.send('/added/1', instance=at)).status
            for at in everyone
        ]
        run_before = len(guide.started)
        for at in everyone:
            await testbed.send('/moved/1', instance=at)
        moved = len(guide.started) - run_before
        # Refused by an older version with 404, and run by its service.
        assert (added, moved) == ([200] * len(added), len(added))

    run_thin_scenario(tmp_path, _scene)


# Guards against changes whose cost grows with the configuration.
@pytest.mark.parametrize('keys', [0, KEYS])
def test_a_change_of_one_route_costs_a_link_little(
    tmp_path: Path, keys: int
) -> None:
    """It is in force in time everywhere, and no whole document is sent."""
    tenants = many_tenants(TENANTS, keys // TENANTS) if keys else None

    async def _scene(testbed: ThinTestbed) -> None:
        write_configuration(
            testbed, 0x20, _routes(ROUTES, 'desk'), tenants=tenants
        )
        await testbed.start_zones(PER_ZONE, None)
        await asyncio.sleep(SETTLE_SECONDS)
        before = testbed.sent_to_peers()
        await asyncio.sleep(CALM_SECONDS)
        polls = testbed.sent_to_peers() - before
        write_configuration(
            testbed, 0x30, _routes(ROUTES, 'guide', ADDED), tenants=tenants
        )
        before = testbed.sent_to_peers()
        await asyncio.sleep(CALM_SECONDS)
        numbers = {each._registry_view.number for each in testbed.instances}
        cost = testbed.sent_to_peers() - before - polls
        assert numbers == {0x30}
        assert cost < MAX_BYTES_OF_SMALL_CHANGE * len(testbed.instances)

    run_thin_scenario(tmp_path, _scene)
