"""Killed, frozen and restarted owners, with the count at the upstream."""

import asyncio
import signal
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from standins.deployment import (
    Deployment,
    admin_headers,
    call,
    free_ports,
    poll_for,
)

pytestmark = pytest.mark.processes
ZONE = 'norr-a'
SLOTS = 9
RUN_LIMIT_MS = 400
CALLERS = 16
UPSTREAMS = ('kassa-1', 'kassa-2', 'kassa-3')


class Scene:
    """A zone of three entries before three upstreams, under load."""

    def __init__(self, running: Deployment, ports: list[int]) -> None:
        self.running = running
        self.addresses = [f'127.0.0.1:{port}' for port in ports]
        self.outcomes: Counter[str] = Counter()

    async def apply(self) -> None:
        """Hands the ticket in and waits until all entries are ready."""
        ticket = {
            'author': 'test', 'based_on': 0,
            'zones': {ZONE: {'region': 'norr'}},
            'services': {
                'kassa': {
                    'customer': 'pantsaker', 'run_limit_ms': RUN_LIMIT_MS,
                },
            },
            'upstreams': {
                name: {
                    'service': 'kassa', 'zone': ZONE, 'address': address,
                    'slots': SLOTS,
                }
                for name, address in zip(
                    UPSTREAMS, self.addresses, strict=True
                )
            },
        }  # fmt: skip
        seats = list(self.running.instances.values())
        status, reply = await call(
            'POST',
            f'http://{seats[0].admin}/v1/tickets',
            json=ticket,
            headers=admin_headers(),
        )
        assert status == 200, reply
        for seat in seats:
            for _ in poll_for(10):
                ready, _ = await call('GET', f'http://{seat.admin}/readyz')
                if ready == 200:
                    break
                await asyncio.sleep(0.05)
            assert ready == 200, seat.name
        for address in self.addresses:
            await call('POST', f'http://{address}/fault', json={'run_ms': 30})

    async def limits(self) -> dict[str, dict[str, int]]:
        """Returns, by entry that answers, the limits it has now."""
        found = {}
        for seat in self.running.instances.values():
            try:
                async with asyncio.timeout(1):
                    _, status = await call(
                        'GET',
                        f'http://{seat.admin}/v1/status',
                        headers=admin_headers(),
                    )
            except (OSError, TimeoutError, aiohttp.ClientError):
                continue
            found[seat.name] = {
                load['upstream']: load['limit']
                for load in status['upstreams']
                if load['limit']
            }
        return found

    async def owner(self) -> str:
        """Returns the entry that uses the first upstream."""
        for name, limits in (await self.limits()).items():
            if UPSTREAMS[0] in limits:
                return name
        raise AssertionError('no owner')

    async def wait_limits(
        self,
        accept: Callable[[dict[str, dict[str, int]]], bool],
    ) -> None:
        """Waits until the limits of all entries are as they should be."""
        for _ in poll_for(20):
            limits = await self.limits()
            if accept(limits):
                return
            await asyncio.sleep(0.05)
        raise AssertionError(limits, await self.counters())

    async def counters(self) -> list[Any]:
        """Returns the counters of all entries that answer."""
        return [
            await call(
                'GET',
                f'http://{self.running.instances[name].admin}/v1/counters',
                headers=admin_headers(),
            )
            for name in await self.limits()
        ]

    async def check_slots(self) -> None:
        """Checks what the upstreams have counted."""
        for address in self.addresses:
            _, record = await call('GET', f'http://{address}/record')
            assert record['most_in_flight'] <= SLOTS, record
            assert record['most_connections'] <= 2 * SLOTS, record

    @asynccontextmanager
    async def load(self) -> AsyncIterator[None]:
        """Keeps callers calling at all entries."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=10),
        ) as session:
            tasks = [
                asyncio.create_task(self._call(session, seat.caller))
                for seat in self.running.instances.values()
                for _ in range(CALLERS)
            ]
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(self, session: aiohttp.ClientSession, entry: str) -> None:
        while True:
            try:
                async with session.get(
                    f'http://{entry}/v1/services/kassa/cups/7'
                ) as response:
                    await response.read()
            except (TimeoutError, aiohttp.ClientError):
                self.outcomes['error'] += 1
                await asyncio.sleep(0.1)
                continue
            self.outcomes[str(response.status)] += 1
            if response.status != 200:
                await asyncio.sleep(0.02)


@pytest.fixture
def scene(tmp_path: Path) -> Iterator[Scene]:
    """Starts the processes."""
    ports = free_ports(len(UPSTREAMS))
    zones = {ZONE: 'norr'}
    with Deployment(tmp_path, zones=zones, entries=3) as running:
        for name, port in zip(UPSTREAMS, ports, strict=True):
            running.start_upstreams(name, [port])
        yield Scene(running, ports)


def _all_served(limits: dict[str, dict[str, int]]) -> bool:
    total: Counter[str] = Counter()
    for of_one in limits.values():
        total.update(of_one)
    return all(total[name] == SLOTS for name in UPSTREAMS)


async def _kill_and_restart(scene: Scene, fault: dict[str, Any]) -> None:
    await scene.apply()
    async with scene.load():
        await scene.wait_limits(_all_served)
        owner = await scene.owner()
        await call('POST', f'http://{scene.running.platform}/fault', json=fault)
        scene.running.signal(owner, signal.SIGKILL)
        scene.running.wait(owner)
        await scene.wait_limits(_all_served)
        assert owner not in await scene.limits()
        await call('POST', f'http://{scene.running.platform}/fault', json={})
        scene.running.start_entry(owner)
        await scene.wait_limits(
            lambda limits: (
                UPSTREAMS[0] in limits.get(owner, {}) and _all_served(limits)
            )
        )
    await scene.check_slots()
    assert scene.outcomes['200'] > 100, scene.outcomes


@pytest.mark.parametrize('fault', [{}, {'down': True}, {'lose_writes': 2}])
def test_killed_owner_is_replaced(scene: Scene, fault: dict[str, Any]) -> None:
    """The deputy takes all slots, also without the platform."""
    asyncio.run(_kill_and_restart(scene, fault))


async def _freeze(scene: Scene) -> None:
    await scene.apply()
    for address in scene.addresses:
        await call('POST', f'http://{address}/fault', json={'run_ms': 300})
    async with scene.load():
        await scene.wait_limits(_all_served)
        owner = await scene.owner()
        for _ in range(3):
            scene.running.signal(owner, signal.SIGSTOP)
            await scene.wait_limits(
                lambda limits: any(
                    of_one.get(UPSTREAMS[0]) == SLOTS // 2
                    for of_one in limits.values()
                )
            )
            scene.running.signal(owner, signal.SIGCONT)
            await scene.wait_limits(
                lambda limits: owner in limits and _all_served(limits)
            )
    await scene.check_slots()


def test_frozen_owner_lowers_itself_before_it_admits(scene: Scene) -> None:
    """Its deputy has half of the slots when it wakes."""
    asyncio.run(_freeze(scene))


async def _cut_callers(scene: Scene) -> None:
    await scene.apply()
    for address in scene.addresses:
        await call('POST', f'http://{address}/fault', json={'run_ms': 300})
    entries = [seat.caller for seat in scene.running.instances.values()]

    async def leave_early(session: aiohttp.ClientSession, entry: str) -> None:
        for _ in range(15):
            try:
                async with asyncio.timeout(0.1):
                    await session.get(f'http://{entry}/v1/services/kassa/x')
            except TimeoutError:
                continue

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        await asyncio.gather(
            *(leave_early(session, entry) for entry in entries * CALLERS * 2)
        )
    await scene.check_slots()


def test_cut_exchange_holds_its_slot(scene: Scene) -> None:
    """Callers go away, and the upstreams run on to their deadlines."""
    asyncio.run(_cut_callers(scene))
