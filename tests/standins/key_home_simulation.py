"""Homes of keys: real dispatchers over a fake wire and fake upstreams."""

import asyncio
from collections import defaultdict
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

from lycheedyke.exceptions import ConnectError, ExchangeBroken
from lycheedyke.protocol import (
    IdempotencyKey,
    InstanceInfo,
    MessageCodec,
    Outcome,
)
from lycheedyke.state import Counters, KeyStore, RegionBudgets
from lycheedyke_daemon.dispatch import Dispatcher
from lycheedyke_daemon.forward import PeerApi, PeerClient
from lycheedyke_daemon.handover import (
    RECORDS_PATH,
    SUCCESSOR_PATH,
    KeyHomes,
    RecordsChunk,
    SuccessorNotice,
)
from lycheedyke_daemon.work import Work
from standins.clock import ManualClock

SECOND = timedelta(seconds=1)
MAX_KEY_LIFE = 10 * SECOND
CODEC = MessageCodec(b'secret-of-the-machine')
MEMORY_BYTES = 8000


class UpstreamRun:
    """One run at an upstream, until the machine ends it."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.outcome: asyncio.Future[Outcome] = asyncio.Future()


class SimulatedInstance:
    """An incarnation: real parts over a fake wire and fake upstreams."""

    def __init__(
        self, simulation: 'KeyHomeSimulation', index: int, number: int
    ) -> None:
        self.info = InstanceInfo(
            f'node-{index}',
            f'incarnation{number}',
            'a',
            'r',
            '',
            str(index),
            '',
        )
        self.ended = asyncio.Event()
        self.stopping = False
        self.tasks: list[asyncio.Task[Any]] = []
        self.key_store = KeyStore(
            self.info.incarnation,
            simulation.clock,
            max_bytes=MEMORY_BYTES,
            max_life=MAX_KEY_LIFE,
        )
        members: Any = SimpleNamespace(
            own=self.info,
            find=simulation.find,
            live=lambda: [
                node for node in simulation.instances if node is not self
            ],
            in_zone=lambda zone: [
                node.info for node in simulation.instances if not node.stopping
            ],
        )
        router: Any = SimpleNamespace(run=simulation.run_upstream)
        budgets = RegionBudgets('r', 4000, simulation.clock)
        peers = PeerClient(
            CODEC,
            simulation.clock,
            Counters(),
            budgets=budgets,
            routes={},
        )
        peers._http = SimpleNamespace(send=simulation.send)  # type: ignore[assignment]
        self.homes = KeyHomes(
            self.key_store,
            members,
            peers,
            simulation.clock,
            max_bytes=MEMORY_BYTES,
            max_life=MAX_KEY_LIFE,
        )
        self.dispatcher = Dispatcher(
            router, self.homes, members, peers, simulation.clock
        )
        bodies: Any = None
        self.api = PeerApi(
            lambda name, work: simulation.run_upstream(work),
            self.dispatcher.run_as_home,
            bodies,
            CODEC,
            simulation.clock,
            Counters(),
            budgets=budgets,
        )

    async def serve(self, url: str, body: bytes) -> Any:
        """Answers what a peer sends."""
        if url.endswith(RECORDS_PATH):
            chunk = CODEC.decode(body, RecordsChunk)
            status = 200 if self.homes.receive_records(chunk) else 507
            return SimpleNamespace(status=status)
        if url.endswith(SUCCESSOR_PATH):
            self.homes.record_successor(CODEC.decode(body, SuccessorNotice))
            return SimpleNamespace(status=200)
        return SimpleNamespace(body=await self.api.serve(body))


class KeyHomeSimulation:
    """Three seats, the wire between them, and the oracle."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.start_count = 0
        self.instances = [self.start(index) for index in range(3)]
        self.all_instances = list(self.instances)
        self.fault = 'none'
        self.delayed: list[tuple[SimulatedInstance, bytes]] = []
        self.runs: dict[IdempotencyKey, list[UpstreamRun]] = defaultdict(list)

    def start(self, index: int) -> SimulatedInstance:
        self.start_count += 1
        return SimulatedInstance(self, index, self.start_count)

    def find(self, incarnation: str) -> SimulatedInstance | None:
        return next(
            (
                node
                for node in self.all_instances
                if node.info.incarnation == incarnation
            ),
            None,
        )

    async def run_upstream(self, work: Work) -> Outcome:
        assert work.key is not None
        run = UpstreamRun(work)
        self.runs[work.key].append(run)
        return await run.outcome

    async def send(self, method: str, url: str, **options: Any) -> Any:
        node = self.instances[int(url.split('/')[2])]
        fault, self.fault = self.fault, 'none'
        if fault == 'refused':
            raise ConnectError(url)
        if fault == 'late':
            self.delayed.append((node, options['body']))
            raise ExchangeBroken(url)
        served = asyncio.ensure_future(node.serve(url, options['body']))
        died = asyncio.ensure_future(node.ended.wait())
        await asyncio.wait({served, died}, return_when='FIRST_COMPLETED')
        if fault == 'answer lost' or died.done():
            raise ExchangeBroken(url)
        died.cancel()
        return served.result()
