"""Simulation of key homes: real dispatchers, simulated peers and upstreams."""

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
    """One run at an upstream; the test sets its outcome."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.outcome: asyncio.Future[Outcome] = asyncio.Future()


class SimulatedInstance:
    """One incarnation, with a real key store, dispatcher and peer API."""

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
                instance
                for instance in simulation.instances
                if instance is not self
            ],
            in_zone=lambda zone: [
                instance.info
                for instance in simulation.instances
                if not instance.stopping
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
        """Handles a request from a peer and returns the response."""
        if url.endswith(RECORDS_PATH):
            chunk = CODEC.decode(body, RecordsChunk)
            status = 200 if self.homes.receive_records(chunk) else 507
            return SimpleNamespace(status=status)
        if url.endswith(SUCCESSOR_PATH):
            self.homes.record_successor(CODEC.decode(body, SuccessorNotice))
            return SimpleNamespace(status=200)
        return SimpleNamespace(body=await self.api.serve(body))


class KeyHomeSimulation:
    """Three instances, the connections between them and all upstream runs.

    `fault` applies to the next request between instances. `runs` holds the
    runs of each key, against which the test checks the outcomes.
    """

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
                instance
                for instance in self.all_instances
                if instance.info.incarnation == incarnation
            ),
            None,
        )

    async def run_upstream(self, work: Work) -> Outcome:
        assert work.key is not None
        run = UpstreamRun(work)
        self.runs[work.key].append(run)
        return await run.outcome

    async def send(self, method: str, url: str, **options: Any) -> Any:
        instance = self.instances[int(url.split('/')[2])]
        fault, self.fault = self.fault, 'none'
        if fault == 'refused':
            raise ConnectError(url)
        if fault == 'late':
            self.delayed.append((instance, options['body']))
            raise ExchangeBroken(url)
        served = asyncio.ensure_future(instance.serve(url, options['body']))
        ended = asyncio.ensure_future(instance.ended.wait())
        await asyncio.wait({served, ended}, return_when='FIRST_COMPLETED')
        if fault == 'answer lost' or ended.done():
            raise ExchangeBroken(url)
        ended.cancel()
        return served.result()
