"""Instances that share quotas, on a simulated network in virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple, cast

import msgspec

from lycheedyke.protocol import EntryRecord, NotRun, Reason, Tenant
from lycheedyke.state import Counters
from lycheedyke.state.rates import QuotaBounds, QuotaPermit, QuotaQuestion
from lycheedyke_daemon.gateway._peer_updates import PeerFailure, PeerReply
from lycheedyke_daemon.gateway.rates import QuotaExchange
from lycheedyke_daemon.gateway.rates._issuer_service import QUOTAS_PATH
from standins.virtual_time import LoopClock

# As in the registry: an announcement ends so long after its last renewal.
ANNOUNCEMENT_S = 4.0
RENEWAL_S = 1.0
# Instances read changes of the registry within this time.
MAX_NEWS_AGE_S = 0.5
CONNECTION_S = 0.002
REGISTRY = 'registry'


class _Tenants(NamedTuple):
    tenants: tuple[Tenant, ...]

    def all(self) -> tuple[Tenant, ...]:
        return self.tenants


class _Table(NamedTuple):
    tenants: _Tenants


class _View:
    """What one instance knows of the configuration and the instances."""

    def __init__(self, tenant: Tenant) -> None:
        self.number = 1
        self.table = _Table(_Tenants((tenant,)))
        self.entries: dict[str, EntryRecord] = {}
        self.leaving: set[str] = set()
        self.max_instances = 1

    def active_entries(self) -> list[EntryRecord]:
        return [
            each
            for each in self.entries.values()
            if each.incarnation not in self.leaving
        ]

    def set_quota(self, tenant: Tenant) -> None:
        self.number += 1
        self.table = _Table(_Tenants((tenant,)))


class _Peers:
    """Sends messages of one instance."""

    def __init__(self, world: 'QuotaSimulation', name: str) -> None:
        self._world = world
        self._name = name

    def peers(self) -> list[EntryRecord]:
        view = self._world.nodes[self._name].view
        return [
            each for each in view.active_entries() if each.name != self._name
        ]

    async def exchange(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout: timedelta = timedelta(milliseconds=300),
    ) -> PeerReply:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._world.deliver(
                    self._name, address, path, body
                )
        except TimeoutError:
            return PeerReply(failure=PeerFailure.silent)


class Node:
    """One run of an instance."""

    def __init__(
        self,
        world: 'QuotaSimulation',
        entry: EntryRecord,
        tenant: Tenant,
        bounds: QuotaBounds,
    ) -> None:
        """Initializes the instance; `start` runs it."""
        self.entry = entry
        self.view = _View(tenant)
        self.is_running = True
        self.is_leaving = False
        self.renewed_at = 0.0
        self.exchange = QuotaExchange(
            entry,
            cast('Any', self.view),
            cast('Any', _Peers(world, entry.name)),
            bounds,
            Counters(),
            LoopClock(),
        )
        self.exchange.issuers.is_leaving = lambda: self.is_leaving
        self.tasks = [
            asyncio.create_task(self.exchange.run()),
            asyncio.create_task(self.exchange.issuers.run()),
        ]

    def __repr__(self) -> str:
        """Returns the name."""
        return f'<Node {self.entry.name}>'

    def kill(self) -> None:
        """Ends the process."""
        self.is_running = False
        for task in self.tasks:
            task.cancel()


class QuotaSimulation:
    """Instances, their registry and the links between them.

    Args:
        rng: the source of randomness.
        tenant: the tenant with a quota.
        instances: the number of instances.
        bounds: how much the tenant may exceed its quota.
    """

    def __init__(
        self,
        rng: random.Random,
        tenant: Tenant,
        instances: int,
        bounds: QuotaBounds | None = None,
    ) -> None:
        """Initializes the deployment; call `open` in a loop."""
        self.rng = rng
        self.tenant = tenant
        self.bounds = bounds or QuotaBounds()
        self.nodes: dict[str, Node] = {}
        self.powerless: set[str] = set()
        # Pairs of a source and a destination between which nothing passes.
        self.cuts: set[tuple[str, str]] = set()
        self.registry_down = False
        self.arrivals: list[float] = []
        # The messages by their path, of all instances.
        self.messages: Counter[str] = Counter()
        self.served: list[float] = []
        self.refused: list[tuple[float, Reason]] = []
        self._count = instances
        self._incarnations = 0
        self._tasks: list[asyncio.Task[Any]] = []

    def __repr__(self) -> str:
        """Returns the number of instances."""
        return f'<QuotaSimulation of {len(self.nodes)}>'

    async def open(self) -> None:
        """Starts all instances, listed from the beginning."""
        for at in range(self._count):
            self.start(f'edge-{at}')
        for node in self.nodes.values():
            node.view.entries = {
                name: each.entry for name, each in self.nodes.items()
            }
            node.view.max_instances = self._count
        self._tasks.append(asyncio.create_task(self._keep_registry()))

    async def close(self) -> None:
        """Ends all tasks."""
        for node in self.nodes.values():
            node.kill()
        for task in self._tasks:
            task.cancel()

    def now(self) -> float:
        """Returns the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def start(self, name: str) -> Node:
        """Starts an instance, again if it has run before."""
        self._incarnations += 1
        entry = EntryRecord(
            name, f'{name}@{self._incarnations}', 'a', 'r', '', name
        )
        before = self.nodes.get(name)
        if before is not None:
            before.kill()
        node = Node(self, entry, self.tenant, self.bounds)
        node.renewed_at = self.now()
        known = before.view.entries if before is not None else {}
        node.view.entries = {
            each: record for each, record in known.items() if each != name
        }
        node.view.max_instances = self._count
        self.nodes[name] = node
        self.powerless.discard(name)
        return node

    def cut_off(self, name: str, *, one_way: bool = False) -> None:
        """Cuts an instance off from all others and from the registry."""
        for other in (*self.nodes, REGISTRY):
            self.cuts.add((name, other))
            if not one_way:
                self.cuts.add((other, name))

    def part(self, minority: set[str]) -> None:
        """Cuts some instances off from all others and from the registry."""
        for name in minority:
            for other in {*self.nodes, REGISTRY} - minority:
                self.cuts |= {(name, other), (other, name)}

    async def deliver(
        self, source: str, address: str, path: str, body: bytes
    ) -> PeerReply:
        """Delivers a message; returns the answer."""
        self.messages[path] += 1
        delay = self.rng.uniform(0.0005, 0.04)
        await asyncio.sleep(delay)
        node = self.nodes[address]
        if self._is_cut(source, address) or address in self.powerless:
            await asyncio.sleep(60)
        if not node.is_running:
            if self._is_cut(address, source):
                await asyncio.sleep(60)
            return PeerReply(failure=PeerFailure.refused)
        if path == QUOTAS_PATH:
            question = msgspec.msgpack.decode(body, type=QuotaQuestion)
            answer = await node.exchange.issuers.answer(question)
            reply = msgspec.msgpack.encode(answer)
        else:
            entry = msgspec.msgpack.decode(body, type=EntryRecord)
            node.exchange.issuers.add_claim(entry)
            reply = b''
        await asyncio.sleep(delay)
        if self._is_cut(address, source) or not node.is_running:
            await asyncio.sleep(60)
        return PeerReply(reply)

    async def offer(
        self, per_s: float, seconds: float, choose: Callable[[], str]
    ) -> None:
        """Sends requests at random times; records which of them ran."""
        end = self.now() + seconds
        tasks = []
        while self.now() < end:
            await asyncio.sleep(self.rng.expovariate(per_s))
            node = self.nodes[choose()]
            if node.is_running and node.entry.name not in self.powerless:
                tasks.append(asyncio.create_task(self._request(node)))
        await asyncio.gather(*tasks)

    def _is_cut(self, source: str, destination: str) -> bool:
        return (source, destination) in self.cuts

    async def _request(self, node: Node) -> None:
        self.arrivals.append(self.now())
        permit = await node.exchange.take(self.tenant, timedelta(seconds=2))
        if isinstance(permit, QuotaPermit):
            self.served.append(self.now())
        if isinstance(permit, NotRun):
            self.refused.append((self.now(), permit.reason))

    async def _keep_registry(self) -> None:
        """Lists the instances that renew their announcements."""
        while True:
            await asyncio.sleep(0.1)
            if self.registry_down:
                continue
            now = self.now()
            for name, node in self.nodes.items():
                is_up = node.is_running and name not in self.powerless
                is_told = not self._is_cut(name, REGISTRY)
                if is_up and is_told and not node.is_leaving:
                    node.renewed_at = now
            listed = {
                name: node.entry
                for name, node in self.nodes.items()
                if now - node.renewed_at < ANNOUNCEMENT_S
                and not node.is_leaving
            }
            for name, node in self.nodes.items():
                if not self._is_cut(REGISTRY, name):
                    delay = self.rng.uniform(0, MAX_NEWS_AGE_S)
                    asyncio.get_running_loop().call_later(
                        delay, _set_entries, node, listed, now
                    )


def _set_entries(
    node: Node, listed: dict[str, EntryRecord], as_of: float
) -> None:
    """Applies what the registry listed, unless newer news have come."""
    if as_of >= getattr(node.view, 'as_of', 0):
        node.view.as_of = as_of  # type: ignore[attr-defined]
        node.view.entries = dict(listed)
