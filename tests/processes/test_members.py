"""Tests of views while instances are killed, frozen, stopped or cut off."""

import asyncio
import signal
from collections.abc import Collection
from pathlib import Path

import pytest

from standins.deployment import Deployment, InstanceSpec, call, poll_for
from standins.deployment import admin_headers as headers

pytestmark = pytest.mark.processes
ZONES = {'norr-a': 'norr', 'norr-b': 'norr', 'syd-a': 'syd'}
TIMEOUT_SECONDS = 30


async def _get_view(instance: InstanceSpec) -> dict[str, str]:
    _, found = await call(
        'GET',
        f'http://{instance.admin}/v1/instances',
        headers=headers(),
    )
    return {
        peer['name']: peer['incarnation']
        for peer in found
        if not peer['stopping']
    }


async def _poll_views(running: Deployment, names: Collection[str]) -> None:
    """Waits until the named instances see exactly each other as peers."""
    instances = [running.instances[name] for name in names]
    views: dict[str, set[str]] = {}
    for _ in poll_for(TIMEOUT_SECONDS):
        views = {
            instance.name: {*await _get_view(instance), instance.name}
            for instance in instances
        }
        if all(view == set(names) for view in views.values()):
            return
    raise AssertionError(f'expected {sorted(names)}, views are {views}')


def _wait_for_views(running: Deployment, names: Collection[str]) -> None:
    asyncio.run(_poll_views(running, names))


async def _wait_replaced(
    observer: InstanceSpec, name: str, old_incarnation: str
) -> None:
    """Waits until a view holds a new incarnation, which has to stay there."""
    found = old_incarnation
    for _ in poll_for(TIMEOUT_SECONDS):
        found = (await _get_view(observer)).get(name, old_incarnation)
        if found != old_incarnation:
            break
    for _ in poll_for(2):
        assert (await _get_view(observer))[name] == found != old_incarnation


def test_views_follow_kills_freezes_restarts_and_stops(tmp_path: Path) -> None:
    """Every view drops instances that end and adds those that return."""
    with Deployment(tmp_path, zones=ZONES, entries=2) as running:
        all_names = set(running.instances)
        _wait_for_views(running, all_names)
        victim = 'norr-a-1'
        observer = running.instances['syd-a-0']
        before = asyncio.run(_get_view(observer))

        running.signal(victim, signal.SIGSTOP)
        _wait_for_views(running, all_names - {victim})
        running.signal(victim, signal.SIGCONT)
        _wait_for_views(running, all_names)
        assert asyncio.run(_get_view(observer)) == before

        running.signal(victim, signal.SIGKILL)
        running.wait(victim)
        running.start_entry(victim)
        asyncio.run(_wait_replaced(observer, victim, before[victim]))
        _wait_for_views(running, all_names)

        running.signal('norr-b-0', signal.SIGKILL)
        running.signal('syd-a-1', signal.SIGTERM)
        _wait_for_views(running, all_names - {'norr-b-0', 'syd-a-1'})
        assert running.wait('syd-a-1') == 0


def test_cut_zone_goes_on_alone_and_comes_back(tmp_path: Path) -> None:
    """A zone that is cut off sees only its own instances until it heals."""
    with Deployment(tmp_path, zones=ZONES, entries=2, links=True) as running:
        all_names = set(running.instances)
        _wait_for_views(running, all_names)
        cut_off = {'norr-a-0', 'norr-a-1'}
        directions = [('norr-a', 'norr-b'), ('norr-a', 'syd-a')]
        directions += [direction[::-1] for direction in directions]
        for direction in directions:
            asyncio.run(running.cut(*direction))
        _wait_for_views(running, cut_off)
        _wait_for_views(running, all_names - cut_off)
        for direction in directions:
            asyncio.run(running.heal(*direction))
        _wait_for_views(running, all_names)


def test_processes_of_another_deployment_are_no_peers(tmp_path: Path) -> None:
    """Leftover processes of one test run join no view of another run."""
    zones = {'norr-a': 'norr'}
    folders = [tmp_path / 'left', tmp_path / 'own']
    for folder in folders:
        folder.mkdir()
    with Deployment(folders[0], zones=zones) as leftover:
        running = Deployment(folders[1], zones=zones, entries=2)
        running.seeds += leftover.seeds
        with running:
            _wait_for_views(running, running.instances)
            for _ in poll_for(3):
                assert (
                    asyncio.run(_get_view(leftover.instances['norr-a-0'])) == {}
                )
            _wait_for_views(running, running.instances)
