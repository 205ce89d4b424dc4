"""Tests that tickets stay in force and replicate in outages and kills."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from lycheedyke.coordination import watchers_of
from lycheedyke.protocol import InstanceInfo, Ticket, Zone, encode_ticket
from standins.deployment import (
    ADMIN_SECRET,
    Deployment,
    InstanceSpec,
    call,
    poll_for,
)
from standins.deployment import admin_headers as headers

pytestmark = pytest.mark.processes
TICKET_COUNT = 270
ZONES = {'norr-a': 'norr', 'syd-a': 'syd'}


async def _post_ticket(
    instance: InstanceSpec, author: str, based_on: int
) -> tuple[int, Any]:
    document = {
        'author': author,
        'based_on': based_on,
        'zones': {f'z-{author}': {'region': 'norr'}},
    }
    return await call(
        'POST',
        f'http://{instance.admin}/v1/tickets',
        headers=headers(),
        json=document,
    )


async def _wait_number(instances: list[InstanceSpec], number: int) -> None:
    for instance in instances:
        for _ in poll_for(30):
            status, found = await call('GET', f'http://{instance.admin}/readyz')
            if status == 200 and found['ticket'] == number:
                break
        assert (status, found.get('ticket')) == (200, number), instance.name


async def _wait_peers(running: Deployment, count: int) -> None:
    for instance in running.instances.values():
        url = f'http://{instance.admin}/v1/status'
        for _ in poll_for(30):
            _, found = await call('GET', url, headers=headers())
            if found['live_peers'] == count:
                break
        assert found['live_peers'] == count, instance.name


async def _set_faults(running: Deployment, **faults: Any) -> None:
    await call('POST', f'http://{running.platform}/fault', json=faults)


async def _replace_zone_in_outage(running: Deployment) -> None:
    instances = list(running.instances.values())
    await _set_faults(running, lose_writes=1)
    assert await _post_ticket(instances[0], 'a', 0) == (
        200,
        {'accepted': 1, 'author': 'a'},
    )
    await _wait_number(instances, 1)
    await _set_faults(running, down=True)
    status, refusal = await _post_ticket(instances[1], 'b', 1)
    assert (status, refusal['error']) == (503, 'not-accepted')
    for name in ('norr-a-0', 'norr-a-1'):
        running.signal(name, signal.SIGKILL)
        running.wait(name)
        running.start_entry(name)
    await _wait_number(instances, 1)
    await _set_faults(running, delay_s=0.2)
    status, accepted = await _post_ticket(instances[2], 'b', 1)
    assert (status, accepted['accepted']) == (200, 2)
    again = await _post_ticket(instances[3], 'a', 2)
    assert again == (200, {'accepted': 1, 'author': 'a'})
    await _wait_number(instances, 2)


def test_zone_replaced_in_outage_and_return(tmp_path: Path) -> None:
    """Instances that restart in an outage get the ticket from their peers.

    After the outage the next ticket is accepted, and a ticket that is
    submitted again gets its first number.
    """
    with Deployment(tmp_path, zones=ZONES, entries=2) as running:
        asyncio.run(_replace_zone_in_outage(running))


async def _cut_each_zone(running: Deployment) -> None:
    instances = list(running.instances.values())
    await _wait_peers(running, 1)
    await running.cut('syd-a', 'platform')
    status, _ = await _post_ticket(instances[0], 'a', 0)
    assert status == 200
    await _wait_number(instances, 1)
    await running.cut('norr-a', 'platform')
    await running.cut('norr-a', 'syd-a')
    await running.cut('syd-a', 'norr-a')
    await running.heal('syd-a', 'platform')
    status, _ = await _post_ticket(instances[1], 'b', 1)
    assert status == 200
    await running.heal('norr-a', 'syd-a')
    await running.heal('syd-a', 'norr-a')
    await _wait_number(instances, 2)


def test_zone_cut_from_the_platform_learns_from_peers(tmp_path: Path) -> None:
    """Each zone in turn can get a ticket only from its peers."""
    with Deployment(tmp_path, zones=ZONES, links=True) as running:
        asyncio.run(_cut_each_zone(running))


async def _kill_watchers(running: Deployment) -> None:
    instances = list(running.instances.values())
    await _wait_peers(running, 3)
    status, _ = await _post_ticket(instances[0], 'a', 0)
    assert status == 200
    running_infos = [
        InstanceInfo(instance.name, '', '', '', '', '', '')
        for instance in instances
    ]
    for number in (1, 2):
        watcher = watchers_of(running_infos)[0]
        running_infos.remove(watcher)
        running.signal(watcher.name, signal.SIGKILL)
        instances.remove(running.instances[watcher.name])
        status, _ = await _post_ticket(instances[0], f'b-{number}', number)
        assert status == 200
        await _wait_number(instances, number + 1)


def test_watchers_killed(tmp_path: Path) -> None:
    """Tickets replicate while one of the two watchers is killed, twice."""
    zones = {'norr-a': 'norr'}
    with Deployment(tmp_path, zones=zones, entries=4) as running:
        asyncio.run(_kill_watchers(running))


async def _kill_and_restart(
    running: Deployment, name: str, number: int
) -> None:
    running.signal(name, signal.SIGKILL)
    running.wait(name)
    running.start_entry(name)
    await _wait_number([running.instances[name]], number)


async def _start_from_snapshots(running: Deployment) -> None:
    first, second = running.instances.values()
    # Written directly to the platform, because the call budget of an entry is
    # sized for operators and is too small for this many tickets.
    for number in range(1, TICKET_COUNT + 1):
        zones: dict[str, Zone | None] = {f'z-{number}': Zone('norr')}
        ticket = Ticket(f'a-{number}', number - 1, zones=zones)
        status, _ = await call(
            'PUT',
            f'http://{running.platform}/v1/kv/ticket%2F{number:010d}?revision=0',
            data=encode_ticket(ticket),
        )
        assert status == 200
    await _wait_number([second], TICKET_COUNT)
    url = f'http://{running.platform}/v1/range?prefix=snapshot/head&start='
    for _ in poll_for(30):
        _, found = await call('GET', url)
        if found['entries']:
            break
    assert found['entries']
    await _kill_and_restart(running, second.name, TICKET_COUNT)
    await _set_faults(running, down=True)
    await _kill_and_restart(running, first.name, TICKET_COUNT)
    for author, accepted in (('a-1', 1), (f'a-{TICKET_COUNT}', TICKET_COUNT)):
        url = f'http://{first.admin}/v1/authors/{author}'
        _, found = await call('GET', url, headers=headers())
        assert found == {'accepted': accepted, 'author': author}


def test_start_from_a_snapshot(tmp_path: Path) -> None:
    """A start reads the snapshot of the platform, or a peer's in an outage."""
    zones = {'norr-a': 'norr'}
    with Deployment(tmp_path, zones=zones, entries=2) as running:
        asyncio.run(_start_from_snapshots(running))


def _run_ctl(running: Deployment, *arguments: str) -> tuple[int, str, str]:
    token = running.folder / 'admin.token'
    token.write_text(ADMIN_SECRET)
    config = running.folder / 'lycheedykectl.ini'
    servers = ', '.join(
        instance.admin for instance in running.instances.values()
    )
    config.write_text(
        f'[server]\naddresses = {servers}\ntoken_file = {token}\n',
    )
    done = subprocess.run(
        [sys.executable, '-m', 'lycheedyke_ctl', 'ticket', *arguments],
        env={**os.environ, 'LYCHEEDYKECTL_CONFIG': str(config)},
        capture_output=True,
        text=True,
    )
    return done.returncode, done.stdout, done.stderr


def test_operators_commands_and_their_status(tmp_path: Path) -> None:
    """Each command reports its outcome by its exit status."""
    ticket = tmp_path / 'ticket.json'
    ticket.write_text('{"author": "anna", "zones": {"z": {"region": "norr"}}}')
    faulty = tmp_path / 'faulty.json'
    faulty.write_text('{"zones": {"Z": {}}, "x": 1}')
    with Deployment(tmp_path, zones={'norr-a': 'norr'}) as running:
        status, out, _ = _run_ctl(running, 'plan', str(ticket), '--json')
        assert (status, json.loads(out)['faults']) == (0, [])
        status, _, _ = _run_ctl(running, 'status', '--author', 'anna')
        assert status == 1
        status, out, err = _run_ctl(running, 'apply', str(ticket), '--json')
        assert (status, json.loads(out)['accepted']) == (0, 1)
        assert err.startswith('author: anna\n')
        status, out, _ = _run_ctl(
            running, 'status', '--author', 'anna', '--json'
        )
        assert (status, json.loads(out)['accepted']) == (0, 1)
        status, out, _ = _run_ctl(running, 'list', '--json')
        assert (status, json.loads(out)[0]['author']) == (0, 'anna')
        status, out, _ = _run_ctl(running, 'show', '1', '--json')
        assert (status, json.loads(out)['author']) == (0, 'anna')
        status, _, err = _run_ctl(running, 'apply', str(faulty))
        assert (status, 'x: unknown field' in err) == (2, True)
        stale = tmp_path / 'stale.json'
        stale.write_text(
            '{"based_on": 0, "zones": {"z": {"region": "syd"}}}',
        )
        status, _, err = _run_ctl(running, 'apply', str(stale))
        assert (status, 'ticket 1 has already changed' in err) == (1, True)
        asyncio.run(_set_faults(running, down=True))
        status, _, _ = _run_ctl(running, 'status', '--author', 'berta')
        assert status == 3
