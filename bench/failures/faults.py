"""Random faults of the failure run; several may be active at once."""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from standins.deployment import Deployment, call

PAUSE_SECONDS = (0.5, 2.0)
FAULT_SECONDS = (1.0, 5.0)

_FaultAction = Callable[[], Coroutine[None, None, None]]


class FaultInjector:
    """Injects faults one after another, and ends each of them.

    Args:
        deployment: the started deployment.
        upstream_addresses: addresses of all upstreams.
        seed: seed of all random choices.
    """

    def __init__(
        self,
        deployment: Deployment,
        upstream_addresses: list[str],
        seed: int,
    ) -> None:
        """Initializes the injector; `run` starts it."""
        self.injected: list[str] = []
        self.exit_statuses: list[int] = []
        self._deployment = deployment
        self._upstreams = upstream_addresses
        self._random = random.Random(seed)
        self._pending: set[asyncio.Task[None]] = set()
        self._claimed: set[str] = set()
        self._platform_faults: dict[str, Any] = {}

    async def run(self, seconds: float) -> None:
        """Injects faults for a time, then waits until all have ended."""
        end = asyncio.get_running_loop().time() + seconds
        kinds: list[_FaultAction] = [
            self._kill,
            self._kill,
            self._freeze,
            self._freeze,
            self._stop,
            self._cut_zone,
            self._cut_one_way,
            self._fail_platform,
            self._slow_platform,
            self._lose_writes,
            self._lose_answers,
        ]
        while asyncio.get_running_loop().time() < end:
            kind = self._random.choice(kinds)
            task = asyncio.create_task(kind())
            self._pending.add(task)
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
        await asyncio.gather(*self._pending)

    def _choose_duration(self) -> float:
        return self._random.uniform(*FAULT_SECONDS)

    def _claim_instance(self) -> str | None:
        """Claims an instance for a fault, unless half of them have one."""
        free = sorted(set(self._deployment.instances) - self._claimed)
        if len(free) <= len(self._deployment.instances) // 2:
            return None
        name = self._random.choice(free)
        self._claimed.add(name)
        return name

    def _claim_zone(self) -> str | None:
        """Claims a zone for a fault, unless a zone has one."""
        zones = list(self._deployment.zones)
        if self._claimed & set(zones):
            return None
        zone = self._random.choice(zones)
        self._claimed.add(zone)
        return zone

    async def _kill(self) -> None:
        name = self._claim_instance()
        if name is None:
            return
        self.injected.append(f'kill {name}')
        self._deployment.signal(name, signal.SIGKILL)
        self._deployment.wait(name)
        await asyncio.sleep(self._choose_duration())
        await self._restart(name)

    async def _stop(self) -> None:
        name = self._claim_instance()
        if name is None:
            return
        self.injected.append(f'stop {name}')
        self._deployment.signal(name, signal.SIGTERM)
        status = await asyncio.to_thread(self._deployment.wait, name, 60)
        self.exit_statuses.append(status)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        await asyncio.to_thread(self._deployment.start_entry, name)
        self._claimed.discard(name)

    async def _freeze(self) -> None:
        name = self._claim_instance()
        if name is None:
            return
        self.injected.append(f'freeze {name}')
        self._deployment.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self._choose_duration())
        self._deployment.signal(name, signal.SIGCONT)
        self._claimed.discard(name)

    async def _cut_zone(self) -> None:
        zone = self._claim_zone()
        if zone is None:
            return
        self.injected.append(f'cut {zone}')
        others = [other for other in self._deployment.zones if other != zone]
        for other in others:
            await self._deployment.cut(zone, other)
            await self._deployment.cut(other, zone)
        await self._deployment.cut(zone, 'platform')
        await asyncio.sleep(self._choose_duration())
        for other in others:
            await self._deployment.heal(zone, other)
            await self._deployment.heal(other, zone)
        await self._deployment.heal(zone, 'platform')
        self._claimed.discard(zone)

    async def _cut_one_way(self) -> None:
        zone = self._claim_zone()
        if zone is None:
            return
        other = self._random.choice(
            [name for name in self._deployment.zones if name != zone],
        )
        self.injected.append(f'cut {zone} to {other}, one way')
        await self._deployment.cut(zone, other)
        await asyncio.sleep(self._choose_duration())
        await self._deployment.heal(zone, other)
        self._claimed.discard(zone)

    async def _fail_platform(self) -> None:
        await self._inject_platform_fault({'down': True})

    async def _slow_platform(self) -> None:
        await self._inject_platform_fault({'delay_s': 0.5})

    async def _lose_writes(self) -> None:
        await self._inject_platform_fault({'lose_writes': 3})

    async def _inject_platform_fault(self, fault: dict[str, Any]) -> None:
        if 'platform' in self._claimed:
            return
        self._claimed.add('platform')
        self.injected.append(f'platform {fault}')
        url = f'http://{self._deployment.platform}/fault'
        await call('POST', url, json=fault)
        await asyncio.sleep(self._choose_duration())
        await call('POST', url, json={})
        self._claimed.discard('platform')

    async def _lose_answers(self) -> None:
        address = self._random.choice(self._upstreams)
        self.injected.append(f'upstream {address} loses 3 responses')
        url = f'http://{address}/fault'
        await call('POST', url, json={'lose_answers': 3})
