"""Shifts, drains and planned stops, counted at the upstreams."""

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
    for seat in running.instances.values():
        status, found = await call(
            'POST',
            f'http://{seat.admin}/v1/tickets',
            headers=admin_headers(),
            data=json.dumps(ticket),
        )
        assert status == 200, found
        number: int = found['accepted']
        break
    for seat in running.instances.values():
        for _ in poll_for(10):
            _, found = await _get(seat.admin, 'status')
            if (found['ticket'], found['live_peers']) == (
                number,
                len(running.instances) - 1,
            ):
                break
        assert found['ticket'] == number
    return number


async def _get(admin: str, what: str) -> tuple[int, Any]:
    return await call(
        'GET',
        f'http://{admin}/v1/{what}',
        headers=admin_headers(),
    )


async def _ask(
    address: str,
    path: str,
    client: str = '127.0.0.1',
) -> tuple[int, Any]:
    return await call(
        'GET',
        f'http://{address}/v1/services/kassa/{path}',
        headers={'Lycheedyke-Client': client},
    )


async def _ran(address: str) -> set[str]:
    _, record = await call('GET', f'http://{address}/record')
    return {name.split()[1].lstrip('/') for name in record['runs']}


def _run(
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


def _within(clients: list[str], cap: float) -> set[str]:
    return {
        client
        for client in clients
        if hash_point('kassa', client.removesuffix('.1') + '.0/24') < cap
    }


async def _shifted(running: Deployment, upstreams: dict[str, str]) -> None:
    norr, vast = running.instances.values()
    homes = {
        client.removesuffix('.1') + '.0/24': {'home': 'norr'}
        for client in CLIENTS
    }
    await _apply(running, _ticket(upstreams, **_shift(), blocks=homes))
    moved = _within(CLIENTS, CAP)
    for _ in poll_for(10):
        for client in CLIENTS:
            assert (await _ask(norr.caller, client, client))[0] == 200
        if await _ran(upstreams['vast-a-0']) == moved:
            break
    assert await _ran(upstreams['vast-a-0']) == moved
    for ends in (('norr-a', 'vast-a'), ('vast-a', 'norr-a')):
        await running.cut(*ends)
    for zone in ZONES:
        await running.cut(zone, 'platform')
    for _ in poll_for(10):
        _, found = await _get(vast.admin, 'status')
        if not found['live_peers']:
            break
    await asyncio.sleep(0.5)
    for client in CLIENTS:
        status, found = await _ask(vast.caller, f'cut-{client}', client)
        assert (status == 200) == (client in moved), found
        if client not in moved:
            assert found['reason'] == 'shift-cap'
    served = await _ran(upstreams['vast-a-0'])
    assert served == moved | {f'cut-{client}' for client in moved}


def test_shift_moves_its_cap_and_no_more(tmp_path: Path) -> None:
    """Exactly the blocks under the cap move, also where zones are cut off."""
    _run(tmp_path, _shifted, ('norr-a-0', 'vast-a-0'), links=True)


async def _failed_over(
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
    moved = _within(CLIENTS, CAP)
    await asyncio.sleep(1)
    for client in CLIENTS:
        assert (await _ask(vast.caller, client, client))[0] == 200
    assert await _ran(upstreams['norr-a-0']) == set(CLIENTS)
    running.signal(norr.name, signal.SIGKILL)
    for _ in poll_for(10):
        answers = {
            client: (await _ask(vast.caller, client, client))[0]
            for client in CLIENTS
        }
        if set(answers.values()) == {200, 503} and (
            sum(status == 200 for status in answers.values()) == len(moved)
        ):
            break
    assert await _ran(upstreams['vast-a-0']) == moved


def test_failover_moves_only_from_a_dead_region(tmp_path: Path) -> None:
    """A failover shift moves nothing before its source is gone."""
    _run(tmp_path, _failed_over, ('norr-a-0', 'vast-a-0'))


async def _drained(running: Deployment, upstreams: dict[str, str]) -> None:
    norr = next(iter(running.instances.values()))
    await _apply(running, _ticket(upstreams))
    for address in upstreams.values():
        await call('POST', f'http://{address}/fault', json={'run_ms': 800})
    started = [
        asyncio.create_task(_ask(norr.caller, f'early-{number}'))
        for number in range(12)
    ]
    leaving = upstreams['norr-a-0']
    for _ in poll_for(5):
        if len(await _ran(leaving)) > 3:
            break
        await asyncio.sleep(0.02)
    change = _ticket(upstreams)
    change['author'], change['based_on'] = 'drain', 1
    change['zones'], change['services'] = {}, {}
    one = change['upstreams']['norr-a-0']  # type: ignore[index]
    change['upstreams'] = {'norr-a-0': {**one, 'phase': 'leaving'}}
    await _apply(running, change)
    await asyncio.sleep(1)
    before = await _ran(leaving)
    later = await asyncio.gather(
        *(_ask(norr.caller, f'late-{number}') for number in range(8)),
    )
    assert [status for status, _ in later] == [200] * len(later)
    assert [status for status, _ in await asyncio.gather(*started)] == (
        [200] * len(started)
    )
    assert await _ran(leaving) == before
    _, (drain,) = await _get(norr.admin, 'drains')
    assert (drain['upstream'], drain['cause']) == ('norr-a-0', 'ticket')
    assert 0 < drain['drain_ms'] < 3000
    _, headroom = await _get(norr.admin, 'headroom')
    assert headroom['regions']['norr']['mean'] == 1


def test_leaving_upstream_gets_no_new_work(tmp_path: Path) -> None:
    """A drain cuts nothing in flight, sends nothing new, and is timed."""
    _run(tmp_path, _drained, ('norr-a-0', 'norr-a-1'))


async def _own_word(running: Deployment, upstreams: dict[str, str]) -> None:
    norr = next(iter(running.instances.values()))
    await _apply(running, _ticket(upstreams))
    leaving = upstreams['norr-a-0']
    await call('POST', f'http://{leaving}/fault', json={'leaving': 1})
    for number in range(30):
        assert (await _ask(norr.caller, f'{number}'))[0] == 200
    assert len(await _ran(leaving)) == 1
    _, (drain,) = await _get(norr.admin, 'drains')
    assert drain['cause'] == 'upstream'


def test_upstream_leaves_by_its_own_word(tmp_path: Path) -> None:
    """After an answer that says so, an upstream gets no more work."""
    _run(tmp_path, _own_word, ('norr-a-0', 'norr-a-1'))


async def _keep_asking(
    session: aiohttp.ClientSession,
    addresses: list[str],
    failures: list[object],
    until: asyncio.Event,
) -> None:
    """A caller that keeps look-up answers for as long as they say."""
    loop = asyncio.get_running_loop()
    fresh_until = 0.0
    entry = ''
    while not until.is_set():
        if loop.time() >= fresh_until:
            url = f'http://{addresses[-1]}/v1/lookup?service=kassa'
            async with session.get(url) as response:
                found = await response.json()
            entry = found['entries'][0]['address']
            fresh_until = loop.time() + found['ttl_ms'] / 1000
        try:
            async with session.get(
                f'http://{entry}/v1/services/kassa/cup',
            ) as response:
                if response.status != 200:
                    failures.append(await response.text())
        except aiohttp.ClientError as error:
            failures.append(error)


async def _stopped(running: Deployment, upstreams: dict[str, str]) -> None:
    await _apply(running, _ticket(upstreams))
    first, *others = [
        seat for seat in running.instances.values() if seat.zone == 'norr-a'
    ]
    addresses = [seat.caller for seat in others]
    failures: list[object] = []
    until = asyncio.Event()
    async with aiohttp.ClientSession() as session:
        callers = [
            asyncio.create_task(
                _keep_asking(session, addresses, failures, until),
            )
            for _ in range(8)
        ]
        await asyncio.sleep(1)
        running.signal(first.name, signal.SIGTERM)
        status = await asyncio.to_thread(running.wait, first.name)
        await asyncio.sleep(1)
        until.set()
        await asyncio.gather(*callers)
    assert (status, failures) == (0, [])


def test_planned_stop_under_load_fails_no_request(tmp_path: Path) -> None:
    """SIGTERM of an entry instance cuts and refuses nothing."""
    _run(tmp_path, _stopped, ('norr-a-0', 'norr-a-1'), entries=2)
