"""Membership: heartbeats between instances, and who is alive."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.exceptions import MessageRejected, TransportError
from lycheedyke.protocol import (
    Grant,
    Heartbeat,
    HeartbeatReply,
    InstanceInfo,
    MessageCodec,
    OwnerRecord,
    UpstreamLoad,
)
from lycheedyke.state import Counters
from lycheedyke.transport import PeerLink

HEARTBEAT_INTERVAL = timedelta(milliseconds=250)
SILENCE_LIMIT = timedelta(milliseconds=1250)
ASK_TIMEOUT = timedelta(milliseconds=500)
MILLISECOND = timedelta(milliseconds=1)

_logger = logging.getLogger(__name__)


class Heard(NamedTuple):
    """A message of a peer.

    Attributes:
        sent: when the request was sent that it replies to; None if it is
            no reply.
    """

    message: Heartbeat | HeartbeatReply
    sent: timedelta | None


class Peer:
    """What is known of one other instance."""

    def __init__(self, info: InstanceInfo, heard: timedelta) -> None:
        """Makes a peer that was heard at a time of the clock."""
        self.info = info
        self.heard = heard
        self.age = timedelta()
        self.ticket = 0
        self.loads: tuple[UpstreamLoad, ...] = ()
        self.stopping = False

    def __repr__(self) -> str:
        """Returns the name and the incarnation."""
        return f'<Peer {self.info.name} {self.info.incarnation}>'


class Members:
    """The instances that this one hears, with a task for each address.

    Args:
        own: this instance.
        codec: signs and checks the messages.
        clock: measures the silence of peers.
        counters: counts dropped messages.
        routes: addresses to use in place of others.
    """

    def __init__(
        self,
        own: InstanceInfo,
        codec: MessageCodec,
        clock: Clock,
        counters: Counters,
        *,
        routes: Mapping[str, str],
    ) -> None:
        """Makes a view with no other instance in it."""
        self.own = own
        self.ticket = 0
        self.stopping = False
        self.loads: Callable[[], tuple[UpstreamLoad, ...]] = tuple
        self.owners = OwnerRecord()
        self.grants: Callable[[], tuple[Grant, ...]] = tuple
        self.on_heard: Callable[[Heard], None] = _ignore
        self._codec = codec
        self._clock = clock
        self._started = clock.elapsed()
        self._counters = counters
        self._routes = routes
        self._peers: dict[str, Peer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def __repr__(self) -> str:
        """Returns the own name and the number of live peers."""
        return f'<Members at {self.own.name}: {len(self.live())} live>'

    @property
    def age(self) -> timedelta:
        """The time since this instance's start."""
        return self._clock.elapsed() - self._started

    def age_of(self, incarnation: str) -> timedelta:
        """Returns the age of a live incarnation; 0 if it is not known."""
        if incarnation == self.own.incarnation:
            return self.age
        peer = self.find(incarnation)
        if peer is None:
            return timedelta()
        return peer.age + (self._clock.elapsed() - peer.heard)

    def live(self) -> list[Peer]:
        """Returns the peers heard lately."""
        oldest = self._clock.elapsed() - SILENCE_LIMIT
        return [peer for peer in self._peers.values() if peer.heard >= oldest]

    def find(self, incarnation: str) -> Peer | None:
        """Returns the live peer with an incarnation, or None."""
        for peer in self.live():
            if peer.info.incarnation == incarnation:
                return peer
        return None

    def in_zone(self, zone: str) -> list[InstanceInfo]:
        """Returns the live instances of a zone, this one included."""
        infos = [
            peer.info
            for peer in self.live()
            if peer.info.zone == zone and not peer.stopping
        ]
        if zone == self.own.zone and not self.stopping:
            infos.append(self.own)
        return infos

    def follow(self, addresses: Iterable[str]) -> None:
        """Starts a task for each control address that has none."""
        for address in addresses:
            if address in self._tasks or address == self.own.control_address:
                continue
            self._tasks[address] = asyncio.create_task(self._beat(address))

    async def close(self) -> None:
        """Ends all tasks."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def answer(self, beat: Heartbeat) -> HeartbeatReply:
        """Takes in a heartbeat and returns the reply."""
        self._hear(beat)
        self.on_heard(Heard(beat, None))
        return HeartbeatReply(
            sender=self.own,
            age_ms=self.age // MILLISECOND,
            ticket=self.ticket,
            loads=self.loads(),
            peers=tuple(peer.info for peer in self.live()),
            stopping=self.stopping,
            owner_epoch=self.owners.epoch,
            owners=self._newer_owners(beat),
        )

    def _newer_owners(self, beat: Heartbeat) -> OwnerRecord | None:
        is_behind = beat.owner_epoch < self.owners.epoch
        if beat.sender.zone == self.own.zone and is_behind:
            return self.owners
        return None

    async def _beat(self, address: str) -> None:
        link = PeerLink(self._routes.get(address, address))
        try:
            while True:
                await self._exchange(link)
                await self._clock.sleep(HEARTBEAT_INTERVAL)
        finally:
            link.close()

    async def _exchange(self, link: PeerLink) -> None:
        beat = Heartbeat(
            sender=self.own,
            age_ms=self.age // MILLISECOND,
            ticket=self.ticket,
            loads=self.loads(),
            stopping=self.stopping,
            owner_epoch=self.owners.epoch,
            grants=self.grants(),
        )
        sent = self._clock.elapsed()
        try:
            reply = await link.ask(
                self._codec.encode_exchange(beat),
                timeout=ASK_TIMEOUT,
            )
            message = self._codec.decode_exchange(reply)
        except TransportError:
            self._counters.count('heartbeat.unanswered')
            return
        except MessageRejected as error:
            self._counters.count('message.rejected')
            _logger.warning('reply dropped: %s', error)
            return
        if isinstance(message, HeartbeatReply):
            self._hear(message)
            self.on_heard(Heard(message, sent))
            self.follow(info.control_address for info in message.peers)

    def _hear(self, message: Heartbeat | HeartbeatReply) -> None:
        info = message.sender
        if info.name == self.own.name:
            return
        peer = self._peers.get(info.name)
        if peer is None or peer.info != info:
            peer = Peer(info, self._clock.elapsed())
            self._peers[info.name] = peer
            self.follow([info.control_address])
        peer.heard = self._clock.elapsed()
        peer.age = message.age_ms * MILLISECOND
        peer.ticket = max(peer.ticket, message.ticket)
        peer.loads = message.loads
        peer.stopping = message.stopping


def _ignore(heard: Heard) -> None:
    """Does nothing with a message."""
