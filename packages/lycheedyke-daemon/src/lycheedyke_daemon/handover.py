"""Hands the keys of an instance that stops to one of its zone."""

import asyncio
from collections.abc import Iterator
from datetime import timedelta
from typing import TypeVar

import msgspec
from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.coordination import Members
from lycheedyke.exceptions import KeyMalformed, MessageRejected
from lycheedyke.protocol import InstanceInfo, MessageCodec
from lycheedyke.state import Counters, KeyStore, TransferredRecord
from lycheedyke_daemon.bodies import BodyReader, BodyRefused
from lycheedyke_daemon.forward import HTTP_FORBIDDEN, MAX_RUN_BYTES, PeerClient

RECORDS_PATH = '/v1/records'
SUCCESSOR_PATH = '/v1/successor'
CHUNK_BYTES = 524_288
CHUNK_LIMIT = timedelta(seconds=2)
NOTICE_LIMIT = timedelta(milliseconds=500)
HTTP_FULL = 507
MILLISECOND = timedelta(milliseconds=1)

_Kind = TypeVar('_Kind')


class RecordsChunk(msgspec.Struct, frozen=True):
    """A part of the records of one incarnation.

    Attributes:
        home: the incarnation whose keys they are.
        age_ms: its age when it stopped accepting keys, in ms.
        first: the number of records in earlier chunks.
        is_last: whether the receiver may run keys of `home` from now on.
        records: the records.
    """

    home: str
    age_ms: int
    first: int
    is_last: bool
    records: tuple[TransferredRecord, ...]


class SuccessorNotice(msgspec.Struct, frozen=True):
    """Says which instance may run the keys of an incarnation now."""

    home: str
    successor: InstanceInfo


class KeyHomes:
    """The ledgers held here, and where those of others have gone.

    Args:
        own: the ledger of this incarnation.
        members: the live instances.
        peers: sends records and notices.
        clock: measures the age of ledgers taken over.
        max_bytes: memory for all records taken over.
        max_life: the longest life of a key.
    """

    def __init__(
        self,
        own: KeyStore,
        members: Members,
        peers: PeerClient,
        clock: Clock,
        *,
        max_bytes: int,
        max_life: timedelta,
    ) -> None:
        """Makes homes with the own ledger only."""
        self._members = members
        self._peers = peers
        self._clock = clock
        self._max_bytes = max_bytes
        self._max_life = max_life
        self._ledgers = {members.own.incarnation: own}
        self._successors: dict[str, InstanceInfo] = {}
        self._arriving: dict[str, list[TransferredRecord]] = {}
        self._handed_over = asyncio.Event()
        self._sealed = False

    def __repr__(self) -> str:
        """Returns the incarnations whose keys are held here."""
        return f'<KeyHomes of {sorted(self._ledgers)}>'

    def find_ledger(self, home: str) -> KeyStore | None:
        """Returns the ledger of an incarnation, if it is held here."""
        return self._ledgers.get(home)

    def find_successor(self, home: str) -> InstanceInfo | None:
        """Returns the instance that may run an incarnation's keys now."""
        return self._successors.get(home)

    async def wait_for_successor(self, home: str) -> InstanceInfo | None:
        """Returns the successor of a sealed ledger, or None if none took it."""
        await self._handed_over.wait()
        return self._successors.get(home)

    def seal(self) -> None:
        """Accepts no new key of any ledger held here from now on."""
        self._sealed = True
        for ledger in self._ledgers.values():
            ledger.seal()

    async def hand_over(self) -> None:
        """Sends all records to one instance of the zone, and tells peers.

        The ledgers must be sealed and their runs ended. A ledger whose
        receiver does not confirm stays sealed: its new keys run nowhere.
        """
        successor = self._choose()
        if successor is not None:
            for home, ledger in tuple(self._ledgers.items()):
                if await self._send(successor, home, ledger):
                    await self._announce(home, successor)
        self._handed_over.set()

    def receive_records(self, chunk: RecordsChunk) -> bool:
        """Takes in a chunk; returns False if it cannot be kept."""
        arriving = self._arriving.setdefault(chunk.home, [])
        if chunk.first == 0:
            arriving.clear()
        if self._sealed or chunk.home in self._ledgers:
            return False
        if len(arriving) != chunk.first:
            return False
        arriving.extend(chunk.records)
        if chunk.is_last:
            return self._adopt(chunk)
        return True

    def record_successor(self, notice: SuccessorNotice) -> None:
        """Takes in where the keys of an incarnation have gone."""
        if notice.home not in self._ledgers:
            self._successors[notice.home] = notice.successor

    def _adopt(self, chunk: RecordsChunk) -> bool:
        ledger = KeyStore(
            chunk.home,
            self._clock,
            max_bytes=self._max_bytes,
            max_life=self._max_life,
            age=chunk.age_ms * MILLISECOND + MILLISECOND,
        )
        ledger.import_records(self._arriving.pop(chunk.home))
        taken = sum(each.size for each in self._ledgers.values())
        if taken + ledger.size > 2 * self._max_bytes:
            return False
        self._ledgers[chunk.home] = ledger
        return True

    def _choose(self) -> InstanceInfo | None:
        own = self._members.own
        infos = [
            info for info in self._members.in_zone(own.zone) if info != own
        ]
        return min(infos, key=lambda info: info.name, default=None)

    async def _send(
        self,
        successor: InstanceInfo,
        home: str,
        ledger: KeyStore,
    ) -> bool:
        records = ledger.export_records()
        # Read after the export: the receiver must not be the younger one.
        for chunk in _cut(home, ledger.age, records):
            is_taken = await self._peers.send(
                successor,
                RECORDS_PATH,
                chunk,
                timeout=CHUNK_LIMIT,
            )
            if not is_taken:
                return False
        return True

    async def _announce(self, home: str, successor: InstanceInfo) -> None:
        self._successors[home] = successor
        notice = SuccessorNotice(home, successor)
        await asyncio.gather(
            *(
                self._peers.send(
                    peer.info,
                    SUCCESSOR_PATH,
                    notice,
                    timeout=NOTICE_LIMIT,
                )
                for peer in self._members.live()
            ),
        )


class HandoverApi:
    """Serves the records and notices that peers send.

    Args:
        homes: takes them in.
        bodies: reads the messages.
        codec: checks them.
        counters: counts rejected ones.
    """

    def __init__(
        self,
        homes: KeyHomes,
        bodies: BodyReader,
        codec: MessageCodec,
        counters: Counters,
    ) -> None:
        """Makes the API over the parts of one instance."""
        self._homes = homes
        self._bodies = bodies
        self._codec = codec
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the homes."""
        return f'<HandoverApi of {self._homes!r}>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.post(RECORDS_PATH, self._take),
            web.post(SUCCESSOR_PATH, self._note),
        ]

    async def _take(self, request: web.Request) -> web.Response:
        try:
            async with self._bodies.read(request) as body:
                is_taken = self._homes.receive_records(
                    self._decode(body, RecordsChunk)
                )
        except (BodyRefused, MessageRejected, KeyMalformed):
            self._counters.count('message.rejected')
            return web.Response(status=HTTP_FORBIDDEN)
        if is_taken:
            return web.Response()
        self._counters.count('handover.refused')
        return web.Response(status=HTTP_FULL)

    async def _note(self, request: web.Request) -> web.Response:
        try:
            async with self._bodies.read(request) as body:
                self._homes.record_successor(
                    self._decode(body, SuccessorNotice)
                )
        except (BodyRefused, MessageRejected):
            self._counters.count('message.rejected')
            return web.Response(status=HTTP_FORBIDDEN)
        return web.Response()

    def _decode(self, body: bytes, kind: type[_Kind]) -> _Kind:
        return self._codec.decode(body, kind, max_bytes=MAX_RUN_BYTES)


def _cut(
    home: str,
    age: timedelta,
    records: list[TransferredRecord],
) -> Iterator[RecordsChunk]:
    first = 0
    while True:
        end = first
        size = 0
        while end < len(records) and (end == first or size < CHUNK_BYTES):
            size += len(records[end].outcome)
            end += 1
        is_last = end == len(records)
        part = tuple(records[first:end])
        yield RecordsChunk(home, age // MILLISECOND, first, is_last, part)
        if is_last:
            return
        first = end
