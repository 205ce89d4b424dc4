"""Instances that are killed, frozen, restarted, stopped and cut off."""

import asyncio
import signal
from collections.abc import Collection
from pathlib import Path

import pytest

from standins.deployment import Deployment, InstanceSpec, call, poll_for
from standins.deployment import admin_headers as headers

pytestmark = pytest.mark.processes
ZONES = {'norr-a': 'norr', 'norr-b': 'norr', 'syd-a': 'syd'}
LIMIT_SECONDS = 30


async def _view(seat: InstanceSpec) -> dict[str, str]:
    _, found = await call(
        'GET',
        f'http://{seat.admin}/v1/instances',
        headers=headers(),
    )
    return {
        peer['name']: peer['incarnation']
        for peer in found
        if not peer['stopping']
    }


async def _wait_view(running: Deployment, names: Collection[str]) -> None:
    """Waits until the named instances see each other and nobody else."""
    seats = [running.instances[name] for name in names]
    views: dict[str, set[str]] = {}
    for _ in poll_for(LIMIT_SECONDS):
        views = {seat.name: {*await _view(seat), seat.name} for seat in seats}
        if all(view == set(names) for view in views.values()):
            return
    raise AssertionError(f'expected {sorted(names)}, views are {views}')


def _wait(running: Deployment, names: Collection[str]) -> None:
    asyncio.run(_wait_view(running, names))


async def _wait_replaced(watcher: InstanceSpec, name: str, dead: str) -> None:
    """Waits until a view holds another incarnation; it has to stay."""
    found = dead
    for _ in poll_for(LIMIT_SECONDS):
        found = (await _view(watcher)).get(name, dead)
        if found != dead:
            break
    for _ in poll_for(2):
        assert (await _view(watcher))[name] == found != dead


def test_views_follow_kills_freezes_restarts_and_stops(tmp_path: Path) -> None:
    """Every view drops who is gone and takes up who is back."""
    with Deployment(tmp_path, zones=ZONES, entries=2) as running:
        everyone = set(running.instances)
        _wait(running, everyone)
        victim = 'norr-a-1'
        watcher = running.instances['syd-a-0']
        before = asyncio.run(_view(watcher))

        running.signal(victim, signal.SIGSTOP)
        _wait(running, everyone - {victim})
        running.signal(victim, signal.SIGCONT)
        _wait(running, everyone)
        assert asyncio.run(_view(watcher)) == before

        running.signal(victim, signal.SIGKILL)
        running.wait(victim)
        running.start_entry(victim)
        asyncio.run(_wait_replaced(watcher, victim, before[victim]))
        _wait(running, everyone)

        running.signal('norr-b-0', signal.SIGKILL)
        running.signal('syd-a-1', signal.SIGTERM)
        _wait(running, everyone - {'norr-b-0', 'syd-a-1'})
        assert running.wait('syd-a-1') == 0


def test_cut_zone_goes_on_alone_and_comes_back(tmp_path: Path) -> None:
    """A zone that is cut off sees itself only, until it heals."""
    with Deployment(tmp_path, zones=ZONES, entries=2, links=True) as running:
        everyone = set(running.instances)
        _wait(running, everyone)
        alone = {'norr-a-0', 'norr-a-1'}
        ways = [('norr-a', 'norr-b'), ('norr-a', 'syd-a')]
        ways += [way[::-1] for way in ways]
        for way in ways:
            asyncio.run(running.cut(*way))
        _wait(running, alone)
        _wait(running, everyone - alone)
        for way in ways:
            asyncio.run(running.heal(*way))
        _wait(running, everyone)


def test_what_another_test_left_behind_is_no_peer(tmp_path: Path) -> None:
    """Processes of one run that outlive it stay out of the views of others."""
    zones = {'norr-a': 'norr'}
    folders = [tmp_path / 'left', tmp_path / 'own']
    for folder in folders:
        folder.mkdir()
    with Deployment(folders[0], zones=zones) as left:
        running = Deployment(folders[1], zones=zones, entries=2)
        running.seeds += left.seeds
        with running:
            _wait(running, running.instances)
            for _ in poll_for(3):
                assert asyncio.run(_view(left.instances['norr-a-0'])) == {}
            _wait(running, running.instances)
