"""Fetches newer tickets from peers, and serves them to peers behind."""

import logging
import random
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Protocol

from lycheedyke.clock import Clock
from lycheedyke.coordination._ticket_log import TicketLog
from lycheedyke.exceptions import (
    DocumentMalformed,
    DocumentTooNew,
    MessageRejected,
    TransportError,
)
from lycheedyke.protocol import (
    ControlMessage,
    InstanceInfo,
    MessageCodec,
    SnapshotReply,
    SnapshotRequest,
    TicketsReply,
    TicketsRequest,
    decode_snapshot,
    encode_snapshot,
)
from lycheedyke.transport import PeerLink

CHECK_INTERVAL = timedelta(milliseconds=200)
REQUEST_TIMEOUT = timedelta(seconds=1)
PARTS_RETENTION = timedelta(seconds=30)
MAX_PARTS = 256

_logger = logging.getLogger(__name__)


class TicketPeer(Protocol):
    """A peer from which tickets may be fetched."""

    info: InstanceInfo
    ticket: int


class TicketReplication:
    """Replicates the ticket log between peers.

    Args:
        log: the tickets in force here.
        live: returns the live peers.
        codec: signs and checks the messages.
        clock: measures time and waits.
        count: increments the counter of a name.
        routes: maps an address to the one to connect to instead.
    """

    def __init__(
        self,
        log: TicketLog,
        live: Callable[[], Iterable[TicketPeer]],
        codec: MessageCodec,
        clock: Clock,
        count: Callable[[str], None],
        *,
        routes: Mapping[str, str],
    ) -> None:
        """Initializes the replication without requesting anything."""
        self._log = log
        self._live = live
        self._codec = codec
        self._clock = clock
        self._count = count
        self._routes = routes
        self._parts: list[bytes] = []
        self._parts_number = 0
        self._parts_used = timedelta()

    def __repr__(self) -> str:
        """Returns the log."""
        return f'TicketReplication({self._log!r})'

    async def run(self) -> None:
        """Fetches newer tickets from peers until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self._drop_old_parts()
            await self.step()

    async def step(self) -> None:
        """Fetches from one random peer that is ahead, if there is one."""
        ahead = [
            peer.info for peer in self._live() if peer.ticket > self._log.number
        ]
        if not ahead or self._log.blocked:
            return
        link = PeerLink(self._route(random.choice(ahead)))
        try:
            await self._fetch(link)
        except TransportError:
            self._count('ticket.peer-silent')
        except (MessageRejected, DocumentMalformed) as error:
            self._count('message.rejected')
            _logger.warning('dropped the reply of a peer: %s', error)
        finally:
            link.close()

    def answer_tickets(self, request: TicketsRequest) -> TicketsReply:
        """Returns the next tickets, or none if a snapshot is needed."""
        return TicketsReply(
            request.after + 1,
            self._log.documents_after(request.after),
            self._log.number,
        )

    def answer_snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Returns one part; all parts of a transfer are of one snapshot."""
        if request.index == 0 and not self._parts:
            self._parts = encode_snapshot(self._log.snapshot())
            self._parts_number = self._log.number
            self._parts_used = self._clock.elapsed()
        if request.index:
            self._parts_used = self._clock.elapsed()
        if request.number not in {0, self._parts_number}:
            return SnapshotReply(0, 0, b'')
        if not 0 <= request.index < len(self._parts):
            return SnapshotReply(0, 0, b'')
        return SnapshotReply(
            self._parts_number,
            len(self._parts),
            self._parts[request.index],
        )

    async def _fetch(self, link: PeerLink) -> None:
        after = self._log.number
        reply = await self._send(link, TicketsRequest(after))
        if not isinstance(reply, TicketsReply):
            raise MessageRejected('the reply holds no tickets')
        if not reply.documents and reply.newest > after:
            await self._fetch_snapshot(link)
        if reply.first != after + 1:
            return
        for number, document in enumerate(reply.documents, reply.first):
            if self._log.apply(number, document):
                self._count('ticket.from-peer')

    async def _fetch_snapshot(self, link: PeerLink) -> None:
        first = await self._request_part(link, 0, 0)
        if first.number <= self._log.number or first.count > MAX_PARTS:
            return
        parts = [first.part]
        for index in range(1, first.count):
            reply = await self._request_part(link, first.number, index)
            if reply.number != first.number:
                return
            parts.append(reply.part)
        try:
            self._log.restore(decode_snapshot(parts))
        except DocumentTooNew as error:
            self._log.blocked = str(error)
            _logger.error('snapshot needs a newer version: %s', error)

    async def _request_part(
        self,
        link: PeerLink,
        number: int,
        index: int,
    ) -> SnapshotReply:
        reply = await self._send(link, SnapshotRequest(number, index))
        if not isinstance(reply, SnapshotReply):
            raise MessageRejected('the reply holds no part of a snapshot')
        return reply

    async def _send(
        self, link: PeerLink, message: ControlMessage
    ) -> ControlMessage:
        reply = await link.request(
            self._codec.encode_control_message(message),
            timeout=REQUEST_TIMEOUT,
        )
        return self._codec.decode_control_message(reply)

    def _drop_old_parts(self) -> None:
        if self._clock.elapsed() - self._parts_used > PARTS_RETENTION:
            self._parts = []

    def _route(self, info: InstanceInfo) -> str:
        return self._routes.get(info.control_address, info.control_address)
