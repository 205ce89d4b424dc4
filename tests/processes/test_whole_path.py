"""The whole path: every part its own process, one request end to end."""

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from lycheedyke import Client
from standins.deployment import (
    ADMIN_SECRET,
    Deployment,
    call,
    free_ports,
    polls,
)

pytestmark = pytest.mark.processes
ZONES = {'norr-a': 'norr', 'norr-b': 'norr'}


def _ticket(ports: list[int]) -> dict[str, object]:
    return {
        'zones': {zone: {'region': region} for zone, region in ZONES.items()},
        'services': {'kassa': {'customer': 'pantsaker'}},
        'upstreams': {
            f'kassa-{index}': {
                'service': 'kassa',
                'zone': zone,
                'address': f'127.0.0.1:{port}',
                'slots': 9,
            }
            for index, (port, zone) in enumerate(
                zip(ports, (*ZONES, *ZONES), strict=True),
            )
        },
    }


def _ctl(running: Deployment, *arguments: str) -> str:
    token = running.folder / 'admin.token'
    token.write_text(ADMIN_SECRET)
    config = running.folder / 'lycheedykectl.ini'
    servers = ', '.join(seat.admin for seat in running.seats.values())
    config.write_text(
        f'[server]\naddresses = {servers}\ntoken_file = {token}\n',
    )
    return subprocess.run(
        [sys.executable, '-m', 'lycheedyke_ctl', *arguments],
        env={**os.environ, 'LYCHEEDYKECTL_CONFIG': str(config)},
        check=True,
        capture_output=True,
        text=True,
    ).stdout


async def _wait_ready(running: Deployment) -> None:
    for seat in running.seats.values():
        for _ in polls(10):
            status, _ = await call('GET', f'http://{seat.admin}/readyz')
            if status == 200:
                break
        assert status == 200, seat.name


async def _drive(running: Deployment) -> None:
    await _wait_ready(running)
    entries = [seat.caller for seat in running.seats.values()]
    async with Client(entries) as client:
        found = await client.lookup('kassa')
        assert {entry.instance for entry in found} == set(running.seats)
        stock = await client.get('kassa', '/cups/7')
        assert json.loads(stock.body)['ran'] == 'GET /cups/7 '
        credit = await client.post('kassa', '/credits', b'cup 7')
        assert json.loads(credit.body) == {
            'ran': 'POST /credits cup 7',
            'run': 1,
        }


def test_lookup_and_credit_end_to_end(tmp_path: Path) -> None:
    """An accepted ticket lets a caller's look-up and credit run."""
    ports = free_ports(4)
    document = tmp_path / 'ticket.json'
    document.write_text(json.dumps(_ticket(ports)))
    with Deployment(tmp_path, zones=ZONES) as running:
        running.start_upstreams('upstreams', ports)
        accepted = _ctl(running, 'ticket', 'apply', str(document), '--json')
        assert json.loads(accepted)['accepted'] == 1
        asyncio.run(_drive(running))


def test_nothing_known_is_refused_not_run(tmp_path: Path) -> None:
    """Without any ticket an instance is not ready and refuses."""
    with Deployment(tmp_path, zones=ZONES) as running:
        seat = next(iter(running.seats.values()))
        status, body = asyncio.run(
            call('GET', f'http://{seat.caller}/v1/services/kassa/cups/7'),
        )
        assert (status, body) == (
            503,
            {'outcome': 'not-run', 'reason': 'not-ready'},
        )
