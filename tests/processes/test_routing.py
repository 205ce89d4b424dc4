"""Tests of shifts, drains and planned stops, by counts at the upstreams."""

import asyncio
import json
import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from lycheedyke.state import hash_point
from standins.deployment import (
    Deployment,
    admin_headers,
    call,
    free_ports,
    poll_for,
)

pytestmark = pytest.mark.processes
ZONES = {'norr-a': 'norr', 'vast-a': 'vast'}
CAP = 0.3
CLIENTS = [f'10.0.{number}.1' for number in range(100)]
_Scenario = Callable[[Deployment, dict[str, str]], Coroutine[Any, Any, None]]


def _ticket(upstreams: dict[str, str], **more: object) -> dict[str, object]:
    return {
        'author': json.dumps([*upstreams, *more]),
        'based_on': 0,
        'zones': {zone: {'region': region} for zone, region in ZONES.items()},
        'services': {'kassa': {'customer': 'p', 'answer_ttl_ms': 500}},
        'upstreams': {
            name: {
                'service': 'kassa',
                'zone': name.removesuffix('-0').removesuffix('-1'),
                'address': address,
                'slots': 9,
            }
            for name, address in upstreams.items()
        },
        **more,
    }


def _shift(**changes: object) -> dict[str, object]:
    shift = {
        'service': 'kassa',
        'source': 'norr',
        'destination': 'vast',
        'cap': CAP,
        'ramp_per_s': 1,
    }
    return {'shifts': {'away': {**shift, **changes}}}


async def _apply(running: Deployment, ticket: dict[str, Any]) -> int:
    for instance in running.instances.values():
        status, found = await call(
            'POST',
            f'http://{instance.admin}/v1/tickets',
            headers=admin_headers(),
            data=json.dumps(ticket),
        )
        assert status == 200, found
        number: int = found['accepted']
        break
    for instance in running.instances.values():
        for _ in poll_for(10):
            _, found = await _get_admin(instance.admin, 'status')
            if (found['ticket'], found['live_peers']) == (
                number,
                len(running.instances) - 1,
            ):
                break
        assert found['ticket'] == number
    return number


async def _get_admin(admin: str, what: str) -> tuple[int, Any]:
    return await call(
        'GET',
        f'http://{admin}/v1/{what}',
        headers=admin_headers(),
    )


async def _send_read(
    address: str,
    path: str,
    client: str = '127.0.0.1',
) -> tuple[int, Any]:
    return await call(
        'GET',
        f'http://{address}/v1/services/kassa/{path}',
        headers={'Lycheedyke-Client': client},
    )


async def _get_targets(address: str) -> set[str]:
    _, record = await call('GET', f'http://{address}/record')
    return {name.split()[1].lstrip('/') for name in record['runs']}


def _run_scenario(
    folder: Path,
    scenario: _Scenario,
    names: tuple[str, ...],
    **options: Any,
) -> None:
    ports = free_ports(len(names))
    upstreams = {
        name: f'127.0.0.1:{port}'
        for name, port in zip(names, ports, strict=True)
    }
    with Deployment(folder, zones=ZONES, **options) as running:
        running.start_upstreams('upstreams', ports)
        asyncio.run(scenario(running, upstreams))


def _clients_below(clients: list[str], cap: float) -> set[str]:
    return {
        client
        for client in clients
        if hash_point('kassa', client.removesuffix('.1') + '.0/24') < cap
    }


async def _check_shift(running: Deployment, upstreams: dict[str, str]) -> None:
    norr, vast = running.instances.values()
    blocks = {
        client.removesuffix('.1') + '.0/24': {'home': 'norr'}
        for client in CLIENTS
    }
    await _apply(running, _ticket(upstreams, **_shift(), blocks=blocks))
    moved = _clients_below(CLIENTS, CAP)
    for _ in poll_for(10):
        for client in CLIENTS:
            assert (await _send_read(norr.caller, client, client))[0] == 200
        if await _get_targets(upstreams['vast-a-0']) == moved:
            break
    assert await _get_targets(upstreams['vast-a-0']) == moved
    for direction in (('norr-a', 'vast-a'), ('vast-a', 'norr-a')):
        await running.cut(*direction)
    for zone in ZONES:
        await running.cut(zone, 'platform')
    for _ in poll_for(10):
        _, found = await _get_admin(vast.admin, 'status')
        if not found['live_peers']:
            break
    await asyncio.sleep(0.5)
    for client in CLIENTS:
        status, found = await _send_read(vast.caller, f'cut-{client}', client)
        assert (status == 200) == (client in moved), found
        if client not in moved:
            assert found['reason'] == 'shift-cap'
    served = await _get_targets(upstreams['vast-a-0'])
    assert served == moved | {f'cut-{client}' for client in moved}


def test_shift_moves_its_cap_and_no_more(tmp_path: Path) -> None:
    """Exactly the client blocks below the cap move, also in a cut zone."""
    _run_scenario(tmp_path, _check_shift, ('norr-a-0', 'vast-a-0'), links=True)


async def _check_failover(
    running: Deployment,
    upstreams: dict[str, str],
) -> None:
    norr, vast = running.instances.values()
    blocks = {
        client.removesuffix('.1') + '.0/24': {'home': 'norr'}
        for client in CLIENTS
    }
    shift = _shift(failover=True)
    await _apply(running, _ticket(upstreams, **shift, blocks=blocks))
    moved = _clients_below(CLIENTS, CAP)
    await asyncio.sleep(1)
    for client in CLIENTS:
        assert (await _send_read(vast.caller, client, client))[0] == 200
    assert await _get_targets(upstreams['norr-a-0']) == set(CLIENTS)
    running.signal(norr.name, signal.SIGKILL)
    for _ in poll_for(10):
        answers = {
            client: (await _send_read(vast.caller, client, client))[0]
            for client in CLIENTS
        }
        if set(answers.values()) == {200, 503} and (
            sum(status == 200 for status in answers.values()) == len(moved)
        ):
            break
    assert await _get_targets(upstreams['vast-a-0']) == moved


def test_failover_moves_only_from_a_dead_region(tmp_path: Path) -> None:
    """A failover shift moves nothing before its source region is down."""
    _run_scenario(tmp_path, _check_failover, ('norr-a-0', 'vast-a-0'))


async def _check_drain(running: Deployment, upstreams: dict[str, str]) -> None:
    norr = next(iter(running.instances.values()))
    await _apply(running, _ticket(upstreams))
    for address in upstreams.values():
        await call('POST', f'http://{address}/fault', json={'run_ms': 800})
    started = [
        asyncio.create_task(_send_read(norr.caller, f'early-{number}'))
        for number in range(12)
    ]
    leaving = upstreams['norr-a-0']
    for _ in poll_for(5):
        if len(await _get_targets(leaving)) > 3:
            break
        await asyncio.sleep(0.02)
    change = _ticket(upstreams)
    change['author'], change['based_on'] = 'drain', 1
    change['zones'], change['services'] = {}, {}
    one = change['upstreams']['norr-a-0']  # type: ignore[index]
    change['upstreams'] = {'norr-a-0': {**one, 'phase': 'leaving'}}
    await _apply(running, change)
    await asyncio.sleep(1)
    before = await _get_targets(leaving)
    later = await asyncio.gather(
        *(_send_read(norr.caller, f'late-{number}') for number in range(8)),
    )
    assert [status for status, _ in later] == [200] * len(later)
    assert [status for status, _ in await asyncio.gather(*started)] == (
        [200] * len(started)
    )
    assert await _get_targets(leaving) == before
    _, (drain,) = await _get_admin(norr.admin, 'drains')
    assert (drain['upstream'], drain['cause']) == ('norr-a-0', 'ticket')
    assert 0 < drain['drain_ms'] < 3000
    _, headroom = await _get_admin(norr.admin, 'headroom')
    assert headroom['regions']['norr']['mean'] == 1


def test_leaving_upstream_gets_no_new_work(tmp_path: Path) -> None:
    """A drain ends no request in flight, sends no new one, and is timed."""
    _run_scenario(tmp_path, _check_drain, ('norr-a-0', 'norr-a-1'))


async def _check_leaving_header(
    running: Deployment, upstreams: dict[str, str]
) -> None:
    norr = next(iter(running.instances.values()))
    await _apply(running, _ticket(upstreams))
    leaving = upstreams['norr-a-0']
    await call('POST', f'http://{leaving}/fault', json={'leaving': 1})
    for number in range(30):
        assert (await _send_read(norr.caller, f'{number}'))[0] == 200
    assert len(await _get_targets(leaving)) == 1
    _, (drain,) = await _get_admin(norr.admin, 'drains')
    assert drain['cause'] == 'upstream'


def test_upstream_leaves_by_its_response_header(tmp_path: Path) -> None:
    """An upstream whose response says it is leaving gets no more requests."""
    _run_scenario(tmp_path, _check_leaving_header, ('norr-a-0', 'norr-a-1'))


async def _send_until_stopped(
    session: aiohttp.ClientSession,
    addresses: list[str],
    failures: list[object],
    stop: asyncio.Event,
) -> None:
    """Sends requests until `stop` is set; caches look-ups for their TTL."""
    loop = asyncio.get_running_loop()
    expires_at = 0.0
    entry = ''
    while not stop.is_set():
        if loop.time() >= expires_at:
            url = f'http://{addresses[-1]}/v1/lookup?service=kassa'
            async with session.get(url) as response:
                found = await response.json()
            entry = found['entries'][0]['address']
            expires_at = loop.time() + found['ttl_ms'] / 1000
        try:
            async with session.get(
                f'http://{entry}/v1/services/kassa/cup',
            ) as response:
                if response.status != 200:
                    failures.append(await response.text())
        except aiohttp.ClientError as error:
            failures.append(error)


async def _check_planned_stop(
    running: Deployment, upstreams: dict[str, str]
) -> None:
    await _apply(running, _ticket(upstreams))
    first, *others = [
        instance
        for instance in running.instances.values()
        if instance.zone == 'norr-a'
    ]
    addresses = [instance.caller for instance in others]
    failures: list[object] = []
    stop = asyncio.Event()
    async with aiohttp.ClientSession() as session:
        callers = [
            asyncio.create_task(
                _send_until_stopped(session, addresses, failures, stop),
            )
            for _ in range(8)
        ]
        await asyncio.sleep(1)
        running.signal(first.name, signal.SIGTERM)
        status = await asyncio.to_thread(running.wait, first.name)
        await asyncio.sleep(1)
        stop.set()
        await asyncio.gather(*callers)
    assert (status, failures) == (0, [])


def test_planned_stop_under_load_fails_no_request(tmp_path: Path) -> None:
    """SIGTERM of an entry instance interrupts and refuses no request."""
    _run_scenario(
        tmp_path, _check_planned_stop, ('norr-a-0', 'norr-a-1'), entries=2
    )
