"""Membership: heartbeats within a zone, and the live instances of all zones."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination._gossip import Gossip
from lycheedyke.coordination._ownership_exchange import (
    NoOwnership,
    OwnershipExchange,
    ReceivedMessage,
)
from lycheedyke.coordination._pause_excluding_clock import PauseExcludingClock
from lycheedyke.coordination._peer_requests import Connect, PeerRequester
from lycheedyke.coordination._peers import MILLISECOND, Peer, SentMessage
from lycheedyke.coordination._summaries import OwnState, sends_requests
from lycheedyke.coordination._zones import ZoneDirectory
from lycheedyke.exceptions import ConnectionRefusedByHost
from lycheedyke.protocol import (
    Heartbeat,
    HeartbeatReply,
    InstanceInfo,
    MessageCodec,
    ServiceLoad,
    SummariesReply,
    SummariesRequest,
    UpstreamLoad,
)
from lycheedyke.state import Counters
from lycheedyke.transport import PeerLink

HEARTBEAT_INTERVAL = timedelta(milliseconds=250)
INTERVAL_PER_PEER = timedelta(milliseconds=60)
RETRY_INTERVAL = timedelta(seconds=5)
MIN_SILENCE = timedelta(milliseconds=1250)
SILENT_INTERVALS = 4
BACKUP_INTERVALS = 2.5
SLOW_RETRY_AFTER = timedelta(seconds=10)
FORGET_AFTER = timedelta(minutes=10)
MAX_ZONE_PEERS = 256
MAX_LOADS = 64

_logger = logging.getLogger(__name__)


class Members:
    """The live instances of the own zone and of all other zones.

    Each pair of instances in a zone exchanges heartbeats, with one task at
    each end. A peer is live while it acknowledges messages: its silence
    counts from the sending of the last message that it acknowledged.

    Args:
        own: this instance.
        codec: signs and checks the messages.
        clock: measures the silence of peers.
        counters: counts dropped messages.
        routes: maps an address to the one to connect to instead.
        connect: returns a link to an address.
    """

    def __init__(
        self,
        own: InstanceInfo,
        codec: MessageCodec,
        clock: Clock,
        counters: Counters,
        *,
        routes: Mapping[str, str],
        connect: Connect = PeerLink,
    ) -> None:
        """Initializes the membership with this instance only."""
        self.own = own
        self.ticket = 0
        self.stopping = False
        self.loads: Callable[[], tuple[UpstreamLoad, ...]] = tuple
        self.service_of: Callable[[str], str] = str
        self.ownership: OwnershipExchange = NoOwnership()
        self._clock = clock
        self._unpaused_clock = PauseExcludingClock(clock)
        self._started = clock.elapsed()
        self._counters = counters
        self._sequence = 0
        self._peers: dict[str, Peer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._directory = ZoneDirectory(own, self._unpaused_clock)
        self._requester = PeerRequester(codec, counters, connect, routes)
        self._gossip = Gossip(self, self._directory, self._requester, clock)

    def __repr__(self) -> str:
        """Returns the own name and the number of live peers."""
        return f'<Members at {self.own.name}: {len(self.live())} live>'

    @property
    def age(self) -> timedelta:
        """The time since this instance started."""
        return self._clock.elapsed() - self._started

    @property
    def interval(self) -> timedelta:
        """The time between two heartbeats of a pair in the zone."""
        return max(HEARTBEAT_INTERVAL, INTERVAL_PER_PEER * len(self._peers))

    @property
    def silence_limit(self) -> timedelta:
        """The age of an acknowledgement up to which a peer is live."""
        return max(MIN_SILENCE, self.interval * SILENT_INTERVALS)

    @property
    def state(self) -> OwnState:
        """The state that this instance sends to its zone."""
        return OwnState(
            self.ticket, self.loads()[:MAX_LOADS], self.stopping, self.age
        )

    @property
    def addresses(self) -> set[str]:
        """The control addresses that have a heartbeat task."""
        return set(self._tasks)

    def age_of(self, incarnation: str) -> timedelta:
        """Returns the age of a live incarnation; 0 if it is unknown."""
        if incarnation == self.own.incarnation:
            return self.age
        peer = self.find(incarnation)
        if peer is None:
            return timedelta()
        return peer.age + (self._clock.elapsed() - peer.age_updated)

    def live(self) -> list[Peer]:
        """Returns the live instances of all zones, without this instance."""
        return self.live_in_zone() + self._directory.live()

    def live_in_zone(self) -> list[Peer]:
        """Returns the live peers of the own zone."""
        oldest = self._unpaused_clock.elapsed() - self.silence_limit
        return [
            peer
            for peer in self._peers.values()
            if peer.live_at is not None and peer.live_at >= oldest
        ]

    def find(self, incarnation: str) -> Peer | None:
        """Returns the live peer with an incarnation, or None."""
        for peer in self.live():
            if peer.info.incarnation == incarnation:
                return peer
        return None

    def in_zone(self, zone: str) -> list[InstanceInfo]:
        """Returns a zone's live instances, this one too, but no stopping ones."""
        if zone == self.own.zone:
            infos = _without_stopping(self.live_in_zone())
            return infos if self.stopping else [*infos, self.own]
        known = self._directory.zone(zone)
        if known is None or not self._directory.is_live(known):
            return []
        return _without_stopping(known.peers)

    def headroom(self) -> dict[str, tuple[ServiceLoad, ...]]:
        """Returns the counts of each service in each other live zone."""
        return {
            zone.name: zone.summary.headroom
            for zone in self._directory.others()
            if zone.summary is not None and self._directory.is_live(zone)
        }

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Adds control addresses at which instances may listen."""
        self._gossip.start()
        self._gossip.add_seeds(addresses)

    def start_heartbeats(self, address: str) -> None:
        """Starts the heartbeat task of an own zone's address, if it has none."""
        if address in self._tasks or address == self.own.control_address:
            return
        if len(self._tasks) < MAX_ZONE_PEERS:
            self._tasks[address] = asyncio.create_task(self._heartbeat(address))

    async def announce_stop(self) -> None:
        """Announces to the peers at once that a planned stop is under way."""
        self.stopping = True
        await asyncio.gather(
            *(self._exchange(address) for address in list(self._tasks)),
        )
        await self._gossip.publish_now()

    async def close(self) -> None:
        """Cancels all tasks, waits for their end and closes all links."""
        await self._gossip.close()
        tasks = [*self._tasks.values(), *self._checks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._requester.close_others(())

    def answer_heartbeat(self, beat: Heartbeat) -> HeartbeatReply | None:
        """Applies a heartbeat; returns the reply, or None for a replay."""
        peer = self._find_in_zone(beat.incarnation)
        if peer is None:
            self.ownership.receive(ReceivedMessage(beat))
            if beat.sender is not None and self._is_neighbour(beat.sender):
                self._check_now(beat.sender.control_address)
            return self._make_reply(beat, peer)
        if beat.sequence <= peer.last_sequence:
            self._counters.count('heartbeat.replayed')
            return None
        peer.last_sequence = beat.sequence
        if peer.reply is not None and beat.echo == peer.reply.sequence:
            peer.acknowledge(peer.reply)
            self.ownership.receive(ReceivedMessage(beat, peer.reply.sent))
        else:
            self.ownership.receive(ReceivedMessage(beat))
        peer.apply_heartbeat(beat, self._clock.elapsed())
        reply = self._make_reply(beat, peer)
        peer.reply = self._make_sent(reply.sequence, reply.loads)
        return reply

    def answer_summaries(self, request: SummariesRequest) -> SummariesReply:
        """Merges zone summaries; returns those that the sender lacks."""
        return self._gossip.answer(request)

    def _check_now(self, address: str) -> None:
        """Sends a heartbeat at once, also while the address's task waits."""
        if address in self._tasks and address not in self._checks:
            check = asyncio.create_task(self._exchange(address))
            self._checks[address] = check
            check.add_done_callback(lambda _: self._checks.pop(address, None))
        self.start_heartbeats(address)

    async def _heartbeat(self, address: str) -> None:
        started = self._unpaused_clock.elapsed()
        try:
            while not self._is_forgotten(address, started):
                if self._is_due(address):
                    await self._exchange(address)
                await self._clock.sleep(self._next_interval(address, started))
        finally:
            self._tasks.pop(address, None)
            self._peers.pop(address, None)

    async def _exchange(self, address: str) -> None:
        if not await self._exchange_once(address):
            await self._exchange_once(address)

    async def _exchange_once(self, address: str) -> bool:
        """Returns False if the incarnation that answered must be introduced."""
        peer = self._peers.get(address)
        beat = self._make_heartbeat(peer)
        sent = self._make_sent(beat.sequence, beat.loads)
        try:
            reply = await self._requester.request(address, beat)
        except ConnectionRefusedByHost:
            # A process listens until it ends, so a refusal proves its end.
            self._peers.pop(address, None)
            return True
        if not isinstance(reply, HeartbeatReply):
            return True
        if reply.echo != beat.sequence:
            self._counters.count('heartbeat.unmatched')
            return True
        return self._apply_reply(address, reply, sent)

    def _apply_reply(
        self,
        address: str,
        reply: HeartbeatReply,
        sent: SentMessage,
    ) -> bool:
        peer = self._peers.get(address)
        now = self._clock.elapsed()
        if peer is None or peer.info.incarnation != reply.incarnation:
            # The peer's process has ended; another one answers.
            self._peers.pop(address, None)
            if reply.sender is None:
                return False
            if not self._is_neighbour(reply.sender):
                return True
            peer = Peer(reply.sender, now)
            self._add_peer(address, peer)
        self.ownership.receive(ReceivedMessage(reply, sent.sent, address))
        peer.acknowledge(sent)
        peer.apply_heartbeat(reply, now)
        peer.echo = reply.sequence
        return True

    def _add_peer(self, address: str, peer: Peer) -> None:
        for other, known in list(self._peers.items()):
            if known.info.name == peer.info.name:
                self._peers.pop(other)
        self._peers[address] = peer
        _logger.info('peer found', extra={'peer': peer.info.name})

    def _make_heartbeat(self, peer: Peer | None) -> Heartbeat:
        state = self.state
        is_known = peer is not None and peer.introduced
        self._sequence += 1
        return Heartbeat(
            incarnation=self.own.incarnation,
            sequence=self._sequence,
            echo=peer.echo if peer else 0,
            ticket=state.ticket,
            digest=self._directory.digest,
            loads=_unless_acknowledged(state.loads, peer),
            sender=None if is_known else self.own,
            age_ms=0 if is_known else state.age // MILLISECOND,
            introduce=peer is None,
            stopping=state.stopping,
            owner_epoch=self.ownership.record.epoch,
            owners=self.ownership.newer_record_for(peer.info.incarnation)
            if peer
            else None,
            grants=self.ownership.grants(),
            used=self.ownership.used(),
        )

    def _make_reply(self, beat: Heartbeat, peer: Peer | None) -> HeartbeatReply:
        state = self.state
        self._sequence += 1
        return HeartbeatReply(
            incarnation=self.own.incarnation,
            sequence=self._sequence,
            echo=beat.sequence,
            ticket=state.ticket,
            digest=self._directory.digest,
            loads=_unless_acknowledged(state.loads, peer),
            sender=self.own if beat.introduce else None,
            age_ms=state.age // MILLISECOND if beat.introduce else 0,
            introduce=peer is None and beat.sender is None,
            stopping=state.stopping,
            owner_epoch=self.ownership.record.epoch,
            owners=self.ownership.newer_record_for(beat.incarnation),
            grants=self.ownership.grants(),
            used=self.ownership.used(),
        )

    def _make_sent(
        self,
        sequence: int,
        loads: tuple[UpstreamLoad, ...] | None,
    ) -> SentMessage:
        return SentMessage(
            sequence,
            self._clock.elapsed(),
            self._unpaused_clock.elapsed(),
            loads,
        )

    def _find_in_zone(self, incarnation: str) -> Peer | None:
        for peer in self._peers.values():
            if peer.info.incarnation == incarnation:
                return peer
        return None

    def _is_neighbour(self, info: InstanceInfo) -> bool:
        return info.zone == self.own.zone and info.name != self.own.name

    def _is_due(self, address: str) -> bool:
        peer = self._peers.get(address)
        if peer is None or peer.live_at is None or not peer.introduced:
            return True
        if address in self.ownership.deputy_addresses():
            return True
        if sends_requests(self.own.name, peer.info.name):
            return True
        silence = self._unpaused_clock.elapsed() - peer.live_at
        return silence > self.interval * BACKUP_INTERVALS

    def _next_interval(self, address: str, started: timedelta) -> timedelta:
        if self._silence(address, started) > SLOW_RETRY_AFTER:
            return RETRY_INTERVAL
        if address in self.ownership.deputy_addresses():
            return HEARTBEAT_INTERVAL
        return self.interval

    def _is_forgotten(self, address: str, started: timedelta) -> bool:
        return self._silence(address, started) > FORGET_AFTER

    def _silence(self, address: str, started: timedelta) -> timedelta:
        peer = self._peers.get(address)
        last = started if peer is None or peer.live_at is None else peer.live_at
        return self._unpaused_clock.elapsed() - last


def _without_stopping(peers: Iterable[Peer]) -> list[InstanceInfo]:
    return [peer.info for peer in peers if not peer.stopping]


def _unless_acknowledged(
    loads: tuple[UpstreamLoad, ...],
    peer: Peer | None,
) -> tuple[UpstreamLoad, ...] | None:
    if peer is not None and peer.acknowledged_loads == loads:
        return None
    return loads
