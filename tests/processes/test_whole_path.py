"""End-to-end tests in which every part runs as its own process."""

import asyncio
import json
from pathlib import Path

import pytest

from lycheedyke import Client
from standins.deployment import Deployment, call, free_ports, poll_for
from standins.operators import (
    apply_ticket,
    make_ticket,
    run_ctl,
    wait_in_force,
)

pytestmark = pytest.mark.processes
ZONES = {'norr-a': 'norr', 'norr-b': 'norr'}


async def _look_up_and_credit(running: Deployment) -> None:
    await wait_in_force(running, 1)
    entries = [instance.caller for instance in running.instances.values()]
    for _ in poll_for(10):
        async with Client(entries) as client:
            found = await client.lookup('kassa')
        if len(found) == len(running.instances):
            break
    assert {entry.instance for entry in found} == set(running.instances)
    async with Client(entries) as client:
        stock = await client.get('kassa', '/cups/7')
        assert json.loads(stock.body)['ran'] == 'GET /cups/7 '
        credit = await client.post('kassa', '/credits', b'cup 7')
        assert json.loads(credit.body) == {
            'ran': 'POST /credits cup 7',
            'run': 1,
        }


def test_lookup_and_credit_end_to_end(tmp_path: Path) -> None:
    """After a ticket is accepted, a look-up, a read and a credit succeed."""
    ports = free_ports(4)
    with Deployment(tmp_path, zones=ZONES) as running:
        running.start_upstreams('upstreams', ports)
        assert apply_ticket(running, make_ticket(ZONES, 'kassa', ports)) == 1
        asyncio.run(_look_up_and_credit(running))


def test_instance_without_a_ticket_refuses_requests(tmp_path: Path) -> None:
    """Without a ticket an instance is not ready and refuses requests."""
    with Deployment(tmp_path, zones=ZONES) as running:
        instance = next(iter(running.instances.values()))
        status, body = asyncio.run(
            call('GET', f'http://{instance.caller}/v1/services/kassa/cups/7'),
        )
        assert (status, body) == (
            503,
            {'outcome': 'not-run', 'reason': 'not-ready'},
        )


def test_impossible_ticket_is_refused_with_all_faults(tmp_path: Path) -> None:
    """The command prints every fault and exits with status 2."""
    ticket = make_ticket(ZONES, 'kassa', [9, 9], slots=0)
    ticket['zones'].pop('norr-b')
    document = tmp_path / 'bad.json'
    document.write_text(json.dumps(ticket))
    with Deployment(tmp_path, zones=ZONES) as running:
        done = run_ctl(running, 'ticket', 'apply', str(document))
    assert done.returncode == 2
    assert "zone 'norr-b' does not exist" in done.stderr
    assert "'kassa-0' is serving with 0 slots" in done.stderr


async def _read_through_each(running: Deployment) -> None:
    await wait_in_force(running, 1)
    for instance in running.instances.values():
        target = f'/cups/{instance.name}'
        status, body = await call(
            'GET',
            f'http://{instance.caller}/v1/services/kassa{target}',
        )
        assert (status, body['ran']) == (200, f'GET {target} ')


def test_an_entry_that_owns_nothing_forwards_to_the_owner(
    tmp_path: Path,
) -> None:
    """A read through each of three entries is answered by one upstream."""
    ports = free_ports(1)
    zones = {'norr-a': 'norr'}
    with Deployment(tmp_path, zones=zones, entries=3) as running:
        running.start_upstreams('upstreams', ports)
        apply_ticket(running, make_ticket(zones, 'kassa', ports))
        asyncio.run(_read_through_each(running))
