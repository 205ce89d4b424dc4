"""Memberships of several instances in virtual time, with simulated links."""

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
    """An event loop in virtual time, which advances instead of waiting."""

    def __init__(self) -> None:
        """Sets the virtual time, which does not start at 0."""
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
        """Advances the virtual time instead of waiting."""
        self._loop.now += timeout or 0
        return super().select(0)


class SimulatedInstance:
    """One instance with its clock, links and membership.

    `awake` is cleared while the instance is frozen.
    """

    def __init__(self, network: 'SimulatedNetwork', info: InstanceInfo) -> None:
        """Initializes an instance that has not joined."""
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
        """The incarnations that are live in the view of this instance."""
        return {peer.info.incarnation for peer in self.members.live()}

    def now(self) -> datetime:
        """Returns the wall-clock time."""
        return datetime.fromtimestamp(self.network.loop.now, UTC)

    def elapsed(self) -> timedelta:
        """Returns the virtual time."""
        return timedelta(seconds=self.network.loop.now)

    async def sleep(self, duration: timedelta) -> None:
        """Waits for the duration and then while the instance is frozen."""
        await asyncio.sleep(duration.total_seconds())
        await self.awake.wait()

    def handle_message(self, message: bytes) -> bytes | None:
        """Handles a control message as the daemon does; returns the reply."""
        try:
            request = CODEC.decode_control_message(message)
        except MessageRejected:
            return None
        match request:
            case Heartbeat():
                reply = self.members.answer_heartbeat(request)
                return CODEC.encode_control_message(reply) if reply else None
            case SummariesRequest():
                return CODEC.encode_control_message(
                    self.members.answer_summaries(request)
                )
        return None


class SimulatedNetwork:
    """All instances by control address, and the cuts between them.

    A cut is a pair of source and destination; it stops one direction only.
    """

    def __init__(self) -> None:
        """Initializes a network without instances, with a new event loop."""
        self.loop = VirtualLoop()
        self.running: dict[str, SimulatedInstance] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.recorded: list[tuple[str, bytes]] = []
        self._starts = 0

    def start(
        self, name: str, zone: str, seeds: list[str]
    ) -> SimulatedInstance:
        """Starts an instance whose name is also its address."""
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
        instance = SimulatedInstance(self, info)
        self.running[name] = instance
        self.run_in_loop(lambda: instance.members.add_seeds(seeds))
        return instance

    def kill(self, name: str) -> SimulatedInstance:
        """Ends an instance without notice to its peers."""
        instance = self.running.pop(name)
        instance.awake.set()
        self.loop.run_until_complete(instance.members.close())
        return instance

    def run_in_loop(self, function: Callable[[], object]) -> None:
        """Calls a function while the event loop runs."""

        async def run() -> None:
            function()

        self.loop.run_until_complete(run())

    def advance(self, seconds: float) -> None:
        """Advances the virtual time and runs all tasks that are due."""
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
        """Delivers a message and returns the reply.

        A cut in either direction, or a frozen target, ends in a timeout.
        """
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
