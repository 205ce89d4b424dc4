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
LIFE = 10 * SECOND
CODEC = MessageCodec(b'secret-of-the-machine')
MEMORY_BYTES = 8000


class Run:
    """One run at an upstream, until the machine ends it."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.end: asyncio.Future[Outcome] = asyncio.Future()


class Node:
    """An incarnation: real parts over a fake wire and fake upstreams."""

    def __init__(self, world: 'World', seat: int, number: int) -> None:
        self.info = InstanceInfo(
            f'node-{seat}', f'incarnation{number}', 'a', 'r', '', str(seat), ''
        )
        self.died = asyncio.Event()
        self.stopping = False
        self.tasks: list[asyncio.Task[Any]] = []
        self.ledger = KeyStore(
            self.info.incarnation,
            world.clock,
            max_bytes=MEMORY_BYTES,
            max_life=LIFE,
        )
        members: Any = SimpleNamespace(
            own=self.info,
            find=world.find,
            live=lambda: [node for node in world.nodes if node is not self],
            in_zone=lambda zone: [
                node.info for node in world.nodes if not node.stopping
            ],
        )
        router: Any = SimpleNamespace(run=world.run_upstream)
        budgets = RegionBudgets('r', 4000, world.clock)
        peers = PeerClient(
            CODEC,
            world.clock,
            Counters(),
            budgets=budgets,
            routes={},
        )
        peers._http = SimpleNamespace(send=world.send)  # type: ignore[assignment]
        self.homes = KeyHomes(
            self.ledger,
            members,
            peers,
            world.clock,
            max_bytes=MEMORY_BYTES,
            max_life=LIFE,
        )
        self.dispatcher = Dispatcher(
            router, self.homes, members, peers, world.clock
        )
        bodies: Any = None
        self.api = PeerApi(
            lambda name, work: world.run_upstream(work),
            self.dispatcher.run_as_home,
            bodies,
            CODEC,
            world.clock,
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


class World:
    """Three seats, the wire between them, and the oracle."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.started = 0
        self.nodes = [self.start(seat) for seat in range(3)]
        self.past = list(self.nodes)
        self.fault = 'none'
        self.late: list[tuple[Node, bytes]] = []
        self.runs: dict[IdempotencyKey, list[Run]] = defaultdict(list)

    def start(self, seat: int) -> Node:
        self.started += 1
        return Node(self, seat, self.started)

    def find(self, incarnation: str) -> Node | None:
        return next(
            (
                node
                for node in self.past
                if node.info.incarnation == incarnation
            ),
            None,
        )

    async def run_upstream(self, work: Work) -> Outcome:
        assert work.key is not None
        run = Run(work)
        self.runs[work.key].append(run)
        return await run.end

    async def send(self, method: str, url: str, **options: Any) -> Any:
        node = self.nodes[int(url.split('/')[2])]
        fault, self.fault = self.fault, 'none'
        if fault == 'refused':
            raise ConnectError(url)
        if fault == 'late':
            self.late.append((node, options['body']))
            raise ExchangeBroken(url)
        served = asyncio.ensure_future(node.serve(url, options['body']))
        died = asyncio.ensure_future(node.died.wait())
        await asyncio.wait({served, died}, return_when='FIRST_COMPLETED')
        if fault == 'answer lost' or died.done():
            raise ExchangeBroken(url)
        died.cancel()
        return served.result()
