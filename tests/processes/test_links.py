"""Tests of a zone that is cut off from another and connected again."""

import asyncio
from pathlib import Path

import pytest

from standins.deployment import Deployment, InstanceSpec, poll_for
from standins.operators import get_admin

pytestmark = pytest.mark.processes
ZONES = {'norr-a': 'norr', 'norr-b': 'norr'}


async def _wait_peers(instance: InstanceSpec, count: int) -> None:
    for _ in poll_for(10):
        found = await get_admin(instance, '/v1/status')
        if found['live_peers'] == count:
            return
    raise AssertionError(f'{instance.name} sees {found["live_peers"]} peers')


async def _cut_and_heal(running: Deployment) -> None:
    one, other = running.instances.values()
    await _wait_peers(one, 1)
    for direction in ((one.zone, other.zone), (other.zone, one.zone)):
        await running.cut(*direction)
    await _wait_peers(one, 0)
    await _wait_peers(other, 0)
    for direction in ((one.zone, other.zone), (other.zone, one.zone)):
        await running.heal(*direction)
    await _wait_peers(one, 1)
    await _wait_peers(other, 1)


def test_cut_zones_lose_and_find_each_other(tmp_path: Path) -> None:
    """Instances of two cut zones drop each other from their views.

    They see each other again after the links are healed.
    """
    with Deployment(tmp_path, zones=ZONES, links=True) as running:
        asyncio.run(_cut_and_heal(running))
