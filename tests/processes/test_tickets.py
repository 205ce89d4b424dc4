"""Tickets stay in force, and spread, through outages, cuts and kills."""

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
TICKETS = 270
ZONES = {'norr-a': 'norr', 'syd-a': 'syd'}


async def _apply(
    seat: InstanceSpec, author: str, based_on: int
) -> tuple[int, Any]:
    document = {
        'author': author,
        'based_on': based_on,
        'zones': {f'z-{author}': {'region': 'norr'}},
    }
    return await call(
        'POST',
        f'http://{seat.admin}/v1/tickets',
        headers=headers(),
        json=document,
    )


async def _wait_number(seats: list[InstanceSpec], number: int) -> None:
    for seat in seats:
        for _ in poll_for(30):
            status, found = await call('GET', f'http://{seat.admin}/readyz')
            if status == 200 and found['ticket'] == number:
                break
        assert (status, found.get('ticket')) == (200, number), seat.name


async def _wait_peers(running: Deployment, count: int) -> None:
    for seat in running.instances.values():
        url = f'http://{seat.admin}/v1/status'
        for _ in poll_for(30):
            _, found = await call('GET', url, headers=headers())
            if found['live_peers'] == count:
                break
        assert found['live_peers'] == count, seat.name


async def _fault(running: Deployment, **faults: Any) -> None:
    await call('POST', f'http://{running.platform}/fault', json=faults)


async def _outage(running: Deployment) -> None:
    seats = list(running.instances.values())
    await _fault(running, lose_writes=1)
    assert await _apply(seats[0], 'a', 0) == (
        200,
        {'accepted': 1, 'author': 'a'},
    )
    await _wait_number(seats, 1)
    await _fault(running, down=True)
    status, refusal = await _apply(seats[1], 'b', 1)
    assert (status, refusal['error']) == (503, 'not-accepted')
    for name in ('norr-a-0', 'norr-a-1'):
        running.signal(name, signal.SIGKILL)
        running.wait(name)
        running.start_entry(name)
    await _wait_number(seats, 1)
    await _fault(running, delay_s=0.2)
    status, accepted = await _apply(seats[2], 'b', 1)
    assert (status, accepted['accepted']) == (200, 2)
    again = await _apply(seats[3], 'a', 2)
    assert again == (200, {'accepted': 1, 'author': 'a'})
    await _wait_number(seats, 2)


def test_zone_replaced_in_outage_and_return(tmp_path: Path) -> None:
    """A zone that is replaced in an outage learns from its peers."""
    with Deployment(tmp_path, zones=ZONES, entries=2) as running:
        asyncio.run(_outage(running))


async def _cut(running: Deployment) -> None:
    seats = list(running.instances.values())
    await _wait_peers(running, 1)
    await running.cut('syd-a', 'platform')
    status, _ = await _apply(seats[0], 'a', 0)
    assert status == 200
    await _wait_number(seats, 1)
    await running.cut('norr-a', 'platform')
    await running.cut('norr-a', 'syd-a')
    await running.cut('syd-a', 'norr-a')
    await running.heal('syd-a', 'platform')
    status, _ = await _apply(seats[1], 'b', 1)
    assert status == 200
    await running.heal('norr-a', 'syd-a')
    await running.heal('syd-a', 'norr-a')
    await _wait_number(seats, 2)


def test_zone_cut_from_the_platform_learns_from_peers(tmp_path: Path) -> None:
    """Each zone in turn has only its peers to learn a ticket from."""
    with Deployment(tmp_path, zones=ZONES, links=True) as running:
        asyncio.run(_cut(running))


async def _kill_watcher(running: Deployment) -> None:
    seats = list(running.instances.values())
    await _wait_peers(running, 3)
    status, _ = await _apply(seats[0], 'a', 0)
    assert status == 200
    alive = [InstanceInfo(seat.name, '', '', '', '', '', '') for seat in seats]
    for number in (1, 2):
        watcher = watchers_of(alive)[0]
        alive.remove(watcher)
        running.signal(watcher.name, signal.SIGKILL)
        seats.remove(running.instances[watcher.name])
        status, _ = await _apply(seats[0], f'b-{number}', number)
        assert status == 200
        await _wait_number(seats, number + 1)


def test_watchers_killed(tmp_path: Path) -> None:
    """Tickets go on spreading while one of two watchers is killed, twice."""
    zones = {'norr-a': 'norr'}
    with Deployment(tmp_path, zones=zones, entries=4) as running:
        asyncio.run(_kill_watcher(running))


async def _restart(running: Deployment, name: str, number: int) -> None:
    running.signal(name, signal.SIGKILL)
    running.wait(name)
    running.start_entry(name)
    await _wait_number([running.instances[name]], number)


async def _grow(running: Deployment) -> None:
    first, second = running.instances.values()
    # Written straight into the store: an entry's call budget is for people.
    for number in range(1, TICKETS + 1):
        zones: dict[str, Zone | None] = {f'z-{number}': Zone('norr')}
        ticket = Ticket(f'a-{number}', number - 1, zones=zones)
        status, _ = await call(
            'PUT',
            f'http://{running.platform}/v1/kv/ticket%2F{number:010d}?revision=0',
            data=encode_ticket(ticket),
        )
        assert status == 200
    await _wait_number([second], TICKETS)
    url = f'http://{running.platform}/v1/range?prefix=snapshot/head&start='
    for _ in poll_for(30):
        _, found = await call('GET', url)
        if found['entries']:
            break
    assert found['entries']
    await _restart(running, second.name, TICKETS)
    await _fault(running, down=True)
    await _restart(running, first.name, TICKETS)
    for author, accepted in (('a-1', 1), (f'a-{TICKETS}', TICKETS)):
        url = f'http://{first.admin}/v1/authors/{author}'
        _, found = await call('GET', url, headers=headers())
        assert found == {'accepted': accepted, 'author': author}


def test_start_from_a_snapshot(tmp_path: Path) -> None:
    """A start reads the platform's snapshot, or a peer's in an outage."""
    zones = {'norr-a': 'norr'}
    with Deployment(tmp_path, zones=zones, entries=2) as running:
        asyncio.run(_grow(running))


def _ctl(running: Deployment, *arguments: str) -> tuple[int, str, str]:
    token = running.folder / 'admin.token'
    token.write_text(ADMIN_SECRET)
    config = running.folder / 'lycheedykectl.ini'
    servers = ', '.join(seat.admin for seat in running.instances.values())
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
    """Each command tells its outcome by its exit status."""
    ticket = tmp_path / 'ticket.json'
    ticket.write_text('{"author": "anna", "zones": {"z": {"region": "norr"}}}')
    faulty = tmp_path / 'faulty.json'
    faulty.write_text('{"zones": {"Z": {}}, "x": 1}')
    with Deployment(tmp_path, zones={'norr-a': 'norr'}) as running:
        status, out, _ = _ctl(running, 'plan', str(ticket), '--json')
        assert (status, json.loads(out)['faults']) == (0, [])
        status, _, _ = _ctl(running, 'status', '--author', 'anna')
        assert status == 1
        status, out, err = _ctl(running, 'apply', str(ticket), '--json')
        assert (status, json.loads(out)['accepted']) == (0, 1)
        assert err.startswith('author: anna\n')
        status, out, _ = _ctl(running, 'status', '--author', 'anna', '--json')
        assert (status, json.loads(out)['accepted']) == (0, 1)
        status, out, _ = _ctl(running, 'list', '--json')
        assert (status, json.loads(out)[0]['author']) == (0, 'anna')
        status, out, _ = _ctl(running, 'show', '1', '--json')
        assert (status, json.loads(out)['author']) == (0, 'anna')
        status, _, err = _ctl(running, 'apply', str(faulty))
        assert (status, 'x: unknown field' in err) == (2, True)
        stale = tmp_path / 'stale.json'
        stale.write_text(
            '{"based_on": 0, "zones": {"z": {"region": "syd"}}}',
        )
        status, _, err = _ctl(running, 'apply', str(stale))
        assert (status, 'ticket 1 has already changed' in err) == (1, True)
        asyncio.run(_fault(running, down=True))
        status, _, _ = _ctl(running, 'status', '--author', 'berta')
        assert status == 3
