"""Memberships of several instances on virtual time and fake links."""

import asyncio
import selectors
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from lycheedyke.coordination import Members
from lycheedyke.exceptions import (
    ConnectionRefusedByHost,
    ExchangeTimeout,
    MessageRejected,
)
from lycheedyke.protocol import (
    Heartbeat,
    InstanceInfo,
    MessageCodec,
    SummariesRequest,
)
from lycheedyke.state import Counters

CODEC = MessageCodec(b'a secret of this test')
LATENCY_SECONDS = 0.001


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps instead of passing."""

    def __init__(self) -> None:
        """Starts at some time other than 0."""
        self.now = 1000.0
        super().__init__(_VirtualSelector(self))

    def time(self) -> float:
        """Returns the virtual time."""
        return self.now


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Moves the time on instead of waiting."""
        self._loop.now += timeout or 0
        return super().select(0)


class SimulatedInstance:
    """One instance: its clock, its links and its membership."""

    def __init__(self, network: 'SimulatedNetwork', info: InstanceInfo) -> None:
        """Makes an instance that has not joined."""
        self.network = network
        self.info = info
        self.awake = asyncio.Event()
        self.awake.set()
        self.members = Members(
            info,
            CODEC,
            self,
            Counters(),
            routes={},
            connect=lambda address: _SimulatedLink(self, address),
        )

    @property
    def live(self) -> set[str]:
        """The incarnations that are live in its view."""
        return {peer.info.incarnation for peer in self.members.live()}

    def now(self) -> datetime:
        """Returns the wall-clock time."""
        return datetime.fromtimestamp(self.network.loop.now, UTC)

    def elapsed(self) -> timedelta:
        """Returns the virtual time."""
        return timedelta(seconds=self.network.loop.now)

    async def sleep(self, duration: timedelta) -> None:
        """Waits, and on while the process is frozen."""
        await asyncio.sleep(duration.total_seconds())
        await self.awake.wait()

    def handle_message(self, message: bytes) -> bytes | None:
        """Handles a control message as the daemon does."""
        try:
            asked = CODEC.decode_control_message(message)
        except MessageRejected:
            return None
        match asked:
            case Heartbeat():
                reply = self.members.answer_heartbeat(asked)
                return CODEC.encode_control_message(reply) if reply else None
            case SummariesRequest():
                return CODEC.encode_control_message(
                    self.members.answer_summaries(asked)
                )
        return None


class SimulatedNetwork:
    """All processes by control address, and the cuts between them."""

    def __init__(self) -> None:
        """Makes an empty world on a loop of its own."""
        self.loop = VirtualLoop()
        self.running: dict[str, SimulatedInstance] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.recorded: list[tuple[str, bytes]] = []
        self._starts = 0

    def start(
        self, name: str, zone: str, seeds: list[str]
    ) -> SimulatedInstance:
        """Starts an instance; its name is also its address."""
        self._starts += 1
        info = InstanceInfo(
            name=name,
            incarnation=f'{name}#{self._starts}',
            zone=zone,
            region=zone[0],
            caller_address=name,
            peer_address=name,
            control_address=name,
        )
        process = SimulatedInstance(self, info)
        self.running[name] = process
        self.run_in_loop(lambda: process.members.add_seeds(seeds))
        return process

    def kill(self, name: str) -> SimulatedInstance:
        """Ends an instance without a word."""
        process = self.running.pop(name)
        process.awake.set()
        self.loop.run_until_complete(process.members.close())
        return process

    def run_in_loop(self, function: Callable[[], object]) -> None:
        """Calls a function while the loop runs."""

        async def run() -> None:
            function()

        self.loop.run_until_complete(run())

    def advance(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def close(self) -> None:
        """Ends all instances."""
        for name in list(self.running):
            self.kill(name)
        self.loop.close()


class _SimulatedLink:
    def __init__(self, source: SimulatedInstance, address: str) -> None:
        self._source = source
        self._address = address

    async def request(self, message: bytes, *, timeout: timedelta) -> bytes:
        """Delivers a message unless the way there or back is cut."""
        network, source = self._source.network, self._source.info.name
        network.recorded.append((self._address, message))
        await asyncio.sleep(LATENCY_SECONDS)
        reply = None
        if (source, self._address) not in network.cuts:
            target = network.running.get(self._address)
            if target is None:
                raise ConnectionRefusedByHost(self._address)
            if target.awake.is_set():
                reply = target.handle_message(message)
        is_lost = (self._address, source) in network.cuts
        if reply is None or is_lost:
            await asyncio.sleep(timeout.total_seconds())
            await self._source.awake.wait()
            raise ExchangeTimeout(self._address)
        await asyncio.sleep(LATENCY_SECONDS)
        await self._source.awake.wait()
        return reply

    def close(self) -> None:
        """Does nothing."""
