"""Failures chosen by a seed."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from standins.deployment import Deployment, call

PAUSE_SECONDS = (0.5, 2.0)
LENGTH_SECONDS = (1.0, 5.0)

_Fault = Callable[[], Coroutine[None, None, None]]


class Faults:
    """Causes failures one after another, and ends each of them.

    Args:
        running: the deployment.
        upstream_addresses: addresses of all upstreams.
        seed: makes the choices repeatable.
    """

    def __init__(
        self,
        running: Deployment,
        upstream_addresses: list[str],
        seed: int,
    ) -> None:
        """Makes a schedule that has not begun."""
        self.caused: list[str] = []
        self.exit_statuses: list[int] = []
        self._running = running
        self._upstreams = upstream_addresses
        self._random = random.Random(seed)
        self._pending: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self._platform_faults: dict[str, Any] = {}

    async def run(self, seconds: float) -> None:
        """Causes failures for a time, then waits until all have ended."""
        end = asyncio.get_running_loop().time() + seconds
        kinds: list[_Fault] = [
            self._kill,
            self._kill,
            self._freeze,
            self._freeze,
            self._stop,
            self._cut_zone,
            self._cut_pair,
            self._platform_outage,
            self._platform_slow,
            self._lose_writes,
            self._lose_answers,
        ]
        while asyncio.get_running_loop().time() < end:
            kind = self._random.choice(kinds)
            task = asyncio.create_task(kind())
            self._pending.add(task)
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
        await asyncio.gather(*self._pending)

    def _length(self) -> float:
        return self._random.uniform(*LENGTH_SECONDS)

    def _take_entry(self) -> str | None:
        free = sorted(set(self._running.instances) - self._busy)
        if len(free) <= len(self._running.instances) // 2:
            return None
        name = self._random.choice(free)
        self._busy.add(name)
        return name

    def _take_zone(self) -> str | None:
        zones = list(self._running.zones)
        if self._busy & set(zones):
            return None
        zone = self._random.choice(zones)
        self._busy.add(zone)
        return zone

    async def _kill(self) -> None:
        name = self._take_entry()
        if name is None:
            return
        self.caused.append(f'kill {name}')
        self._running.signal(name, signal.SIGKILL)
        self._running.wait(name)
        await asyncio.sleep(self._length())
        await self._restart(name)

    async def _stop(self) -> None:
        name = self._take_entry()
        if name is None:
            return
        self.caused.append(f'stop {name}')
        self._running.signal(name, signal.SIGTERM)
        status = await asyncio.to_thread(self._running.wait, name, 60)
        self.exit_statuses.append(status)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        await asyncio.to_thread(self._running.start_entry, name)
        self._busy.discard(name)

    async def _freeze(self) -> None:
        name = self._take_entry()
        if name is None:
            return
        self.caused.append(f'freeze {name}')
        self._running.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self._length())
        self._running.signal(name, signal.SIGCONT)
        self._busy.discard(name)

    async def _cut_zone(self) -> None:
        zone = self._take_zone()
        if zone is None:
            return
        self.caused.append(f'cut {zone}')
        others = [other for other in self._running.zones if other != zone]
        for other in others:
            await self._running.cut(zone, other)
            await self._running.cut(other, zone)
        await self._running.cut(zone, 'platform')
        await asyncio.sleep(self._length())
        for other in others:
            await self._running.heal(zone, other)
            await self._running.heal(other, zone)
        await self._running.heal(zone, 'platform')
        self._busy.discard(zone)

    async def _cut_pair(self) -> None:
        zone = self._take_zone()
        if zone is None:
            return
        other = self._random.choice(
            [name for name in self._running.zones if name != zone],
        )
        self.caused.append(f'cut {zone} to {other}, one way')
        await self._running.cut(zone, other)
        await asyncio.sleep(self._length())
        await self._running.heal(zone, other)
        self._busy.discard(zone)

    async def _platform_outage(self) -> None:
        await self._platform_fault({'down': True})

    async def _platform_slow(self) -> None:
        await self._platform_fault({'delay_s': 0.5})

    async def _lose_writes(self) -> None:
        await self._platform_fault({'lose_writes': 3})

    async def _platform_fault(self, fault: dict[str, Any]) -> None:
        if 'platform' in self._busy:
            return
        self._busy.add('platform')
        self.caused.append(f'platform {fault}')
        url = f'http://{self._running.platform}/fault'
        await call('POST', url, json=fault)
        await asyncio.sleep(self._length())
        await call('POST', url, json={})
        self._busy.discard('platform')

    async def _lose_answers(self) -> None:
        address = self._random.choice(self._upstreams)
        self.caused.append(f'upstream {address} loses 3 answers')
        url = f'http://{address}/fault'
        await call('POST', url, json={'lose_answers': 3})
