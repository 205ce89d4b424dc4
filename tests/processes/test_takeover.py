"""Tests of killed, frozen and restarted owners.

The upstreams count the requests in flight and the connections.
"""

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
CALLERS_PER_ENTRY = 16
UPSTREAMS = ('kassa-1', 'kassa-2', 'kassa-3')


class OwnershipTestbed:
    """Three entries and three upstreams in one zone, under load."""

    def __init__(self, running: Deployment, ports: list[int]) -> None:
        self.running = running
        self.addresses = [f'127.0.0.1:{port}' for port in ports]
        self.outcomes: Counter[str] = Counter()

    async def apply_ticket(self) -> None:
        """Submits the ticket and waits until all entries are ready."""
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
        instances = list(self.running.instances.values())
        status, reply = await call(
            'POST',
            f'http://{instances[0].admin}/v1/tickets',
            json=ticket,
            headers=admin_headers(),
        )
        assert status == 200, reply
        for instance in instances:
            for _ in poll_for(10):
                ready, _ = await call('GET', f'http://{instance.admin}/readyz')
                if ready == 200:
                    break
                await asyncio.sleep(0.05)
            assert ready == 200, instance.name
        for address in self.addresses:
            await call('POST', f'http://{address}/fault', json={'run_ms': 30})

    async def get_limits(self) -> dict[str, dict[str, int]]:
        """Returns the current limits of each entry that answers."""
        found = {}
        for instance in self.running.instances.values():
            try:
                async with asyncio.timeout(1):
                    _, status = await call(
                        'GET',
                        f'http://{instance.admin}/v1/status',
                        headers=admin_headers(),
                    )
            except (OSError, TimeoutError, aiohttp.ClientError):
                continue
            found[instance.name] = {
                load['upstream']: load['limit']
                for load in status['upstreams']
                if load['limit']
            }
        return found

    async def find_owner(self) -> str:
        """Returns the name of the entry that uses the first upstream."""
        for name, limits in (await self.get_limits()).items():
            if UPSTREAMS[0] in limits:
                return name
        raise AssertionError(f'no entry uses {UPSTREAMS[0]}')

    async def wait_limits(
        self,
        accept: Callable[[dict[str, dict[str, int]]], bool],
    ) -> None:
        """Waits until the limits of all entries are acceptable."""
        for _ in poll_for(20):
            limits = await self.get_limits()
            if accept(limits):
                return
            await asyncio.sleep(0.05)
        raise AssertionError(limits, await self.get_counters())

    async def get_counters(self) -> list[Any]:
        """Returns the counters of all entries that answer."""
        return [
            await call(
                'GET',
                f'http://{self.running.instances[name].admin}/v1/counters',
                headers=admin_headers(),
            )
            for name in await self.get_limits()
        ]

    async def check_slots(self) -> None:
        """Checks the peaks that the upstreams counted."""
        for address in self.addresses:
            _, record = await call('GET', f'http://{address}/record')
            assert record['most_in_flight'] <= SLOTS, record
            assert record['most_connections'] <= 2 * SLOTS, record

    @asynccontextmanager
    async def run_load(self) -> AsyncIterator[None]:
        """Sends requests to all entries while the block runs."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=10),
        ) as session:
            tasks = [
                asyncio.create_task(
                    self._send_requests(session, instance.caller)
                )
                for instance in self.running.instances.values()
                for _ in range(CALLERS_PER_ENTRY)
            ]
            try:
                yield
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_requests(
        self, session: aiohttp.ClientSession, entry: str
    ) -> None:
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
def testbed(tmp_path: Path) -> Iterator[OwnershipTestbed]:
    """Starts the processes."""
    ports = free_ports(len(UPSTREAMS))
    zones = {ZONE: 'norr'}
    with Deployment(tmp_path, zones=zones, entries=3) as running:
        for name, port in zip(UPSTREAMS, ports, strict=True):
            running.start_upstreams(name, [port])
        yield OwnershipTestbed(running, ports)


def _all_slots_allotted(limits: dict[str, dict[str, int]]) -> bool:
    total: Counter[str] = Counter()
    for entry_limits in limits.values():
        total.update(entry_limits)
    return all(total[name] == SLOTS for name in UPSTREAMS)


async def _kill_and_restart(
    testbed: OwnershipTestbed, fault: dict[str, Any]
) -> None:
    await testbed.apply_ticket()
    async with testbed.run_load():
        await testbed.wait_limits(_all_slots_allotted)
        owner = await testbed.find_owner()
        await call(
            'POST', f'http://{testbed.running.platform}/fault', json=fault
        )
        testbed.running.signal(owner, signal.SIGKILL)
        testbed.running.wait(owner)
        await testbed.wait_limits(_all_slots_allotted)
        assert owner not in await testbed.get_limits()
        await call('POST', f'http://{testbed.running.platform}/fault', json={})
        testbed.running.start_entry(owner)
        await testbed.wait_limits(
            lambda limits: (
                UPSTREAMS[0] in limits.get(owner, {})
                and _all_slots_allotted(limits)
            )
        )
    await testbed.check_slots()
    assert testbed.outcomes['200'] > 100, testbed.outcomes


@pytest.mark.parametrize('fault', [{}, {'down': True}, {'lose_writes': 2}])
def test_killed_owner_is_replaced(
    testbed: OwnershipTestbed, fault: dict[str, Any]
) -> None:
    """The deputy takes over all slots, also without the platform."""
    asyncio.run(_kill_and_restart(testbed, fault))


async def _freeze_and_resume(testbed: OwnershipTestbed) -> None:
    await testbed.apply_ticket()
    for address in testbed.addresses:
        await call('POST', f'http://{address}/fault', json={'run_ms': 300})
    async with testbed.run_load():
        await testbed.wait_limits(_all_slots_allotted)
        owner = await testbed.find_owner()
        for _ in range(3):
            testbed.running.signal(owner, signal.SIGSTOP)
            await testbed.wait_limits(
                lambda limits: any(
                    entry_limits.get(UPSTREAMS[0]) == SLOTS // 2
                    for entry_limits in limits.values()
                )
            )
            testbed.running.signal(owner, signal.SIGCONT)
            await testbed.wait_limits(
                lambda limits: owner in limits and _all_slots_allotted(limits)
            )
    await testbed.check_slots()


def test_frozen_owner_lowers_itself_before_it_admits(
    testbed: OwnershipTestbed,
) -> None:
    """The deputy uses half of the slots before a frozen owner resumes."""
    asyncio.run(_freeze_and_resume(testbed))


async def _disconnect_callers(testbed: OwnershipTestbed) -> None:
    await testbed.apply_ticket()
    for address in testbed.addresses:
        await call('POST', f'http://{address}/fault', json={'run_ms': 300})
    entries = [
        instance.caller for instance in testbed.running.instances.values()
    ]

    async def disconnect_early(
        session: aiohttp.ClientSession, entry: str
    ) -> None:
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
            *(
                disconnect_early(session, entry)
                for entry in entries * CALLERS_PER_ENTRY * 2
            )
        )
    await testbed.check_slots()


def test_cut_exchange_holds_its_slot(testbed: OwnershipTestbed) -> None:
    """Requests of disconnected callers keep their slots while they run.

    The upstreams run these requests on to their deadlines.
    """
    asyncio.run(_disconnect_callers(testbed))
