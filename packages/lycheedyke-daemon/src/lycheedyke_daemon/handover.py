"""Hands the keys of a stopping instance to another one of its zone."""

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
CHUNK_TIMEOUT = timedelta(seconds=2)
NOTICE_TIMEOUT = timedelta(milliseconds=500)
HTTP_INSUFFICIENT_STORAGE = 507
MILLISECOND = timedelta(milliseconds=1)

_Message = TypeVar('_Message')


class RecordsChunk(msgspec.Struct, frozen=True):
    """A part of the key records of one incarnation.

    Attributes:
        home: the incarnation that is the home of the keys.
        age_ms: the age of its key store when the records were exported, in ms.
        first: the number of records in earlier chunks of this transfer.
        is_last: whether this is the last chunk; after it, the receiver may
            run keys of `home`.
        records: the records.
    """

    home: str
    age_ms: int
    first: int
    is_last: bool
    records: tuple[TransferredRecord, ...]


class SuccessorNotice(msgspec.Struct, frozen=True):
    """Names the instance that runs the keys of an incarnation from now on."""

    home: str
    successor: InstanceInfo


class KeyHomes:
    """The key stores of this instance, and the successors of other homes.

    Args:
        own: the key store of this incarnation.
        members: the live instances.
        peers: sends records and notices to peers.
        clock: measures the age of key stores received from other instances.
        max_bytes: the memory of each key store, in bytes. A received store
            is refused if all stores together would need more than twice this.
        max_life: the maximum lifetime of a key.
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
        """Initializes the homes with the key store of this incarnation."""
        self._members = members
        self._peers = peers
        self._clock = clock
        self._max_bytes = max_bytes
        self._max_life = max_life
        self._stores = {members.own.incarnation: own}
        self._successors: dict[str, InstanceInfo] = {}
        self._incoming: dict[str, list[TransferredRecord]] = {}
        self._handed_over = asyncio.Event()
        self._sealed = False

    def __repr__(self) -> str:
        """Returns the class and the incarnations whose stores are here."""
        return f'<KeyHomes of {sorted(self._stores)}>'

    def find_store(self, home: str) -> KeyStore | None:
        """Returns the key store of an incarnation, None if it is not here."""
        return self._stores.get(home)

    def find_successor(self, home: str) -> InstanceInfo | None:
        """Returns the instance that runs the keys of another home, if known."""
        return self._successors.get(home)

    async def wait_for_successor(self, home: str) -> InstanceInfo | None:
        """Waits for the end of the handover; returns the successor of a home.

        The result is None if no instance has confirmed the handover.
        """
        await self._handed_over.wait()
        return self._successors.get(home)

    def seal(self) -> None:
        """Seals all key stores: they accept no new keys from now on."""
        self._sealed = True
        for store in self._stores.values():
            store.seal()

    async def hand_over(self) -> None:
        """Sends all records to one instance of the zone, and notifies peers.

        The key stores must be sealed, and all keyed runs must have ended. If
        the receiver does not confirm a store, the store stays sealed and its
        new keys run at no instance.
        """
        successor = self._choose_successor()
        if successor is not None:
            for home, store in tuple(self._stores.items()):
                if await self._send_store(successor, home, store):
                    await self._notify_peers(home, successor)
        self._handed_over.set()

    def receive_records(self, chunk: RecordsChunk) -> bool:
        """Receives a chunk; returns False if the chunk is refused."""
        received = self._incoming.setdefault(chunk.home, [])
        if chunk.first == 0:
            received.clear()
        if self._sealed or chunk.home in self._stores:
            return False
        if len(received) != chunk.first:
            return False
        received.extend(chunk.records)
        if chunk.is_last:
            return self._load_store(chunk)
        return True

    def record_successor(self, notice: SuccessorNotice) -> None:
        """Records which instance holds the keys of an incarnation now."""
        if notice.home not in self._stores:
            self._successors[notice.home] = notice.successor

    def _load_store(self, chunk: RecordsChunk) -> bool:
        store = KeyStore(
            chunk.home,
            self._clock,
            max_bytes=self._max_bytes,
            max_life=self._max_life,
            age=chunk.age_ms * MILLISECOND + MILLISECOND,
        )
        store.import_records(self._incoming.pop(chunk.home))
        used = sum(held.size for held in self._stores.values())
        if used + store.size > 2 * self._max_bytes:
            return False
        self._stores[chunk.home] = store
        return True

    def _choose_successor(self) -> InstanceInfo | None:
        own = self._members.own
        infos = [
            info for info in self._members.in_zone(own.zone) if info != own
        ]
        return min(infos, key=lambda info: info.name, default=None)

    async def _send_store(
        self,
        successor: InstanceInfo,
        home: str,
        store: KeyStore,
    ) -> bool:
        records = store.export_records()
        # The age is read after the export: the store of the receiver must
        # not be younger than this one.
        for chunk in _split_into_chunks(home, store.age, records):
            is_accepted = await self._peers.send(
                successor,
                RECORDS_PATH,
                chunk,
                timeout=CHUNK_TIMEOUT,
            )
            if not is_accepted:
                return False
        return True

    async def _notify_peers(self, home: str, successor: InstanceInfo) -> None:
        self._successors[home] = successor
        notice = SuccessorNotice(home, successor)
        await asyncio.gather(
            *(
                self._peers.send(
                    peer.info,
                    SUCCESSOR_PATH,
                    notice,
                    timeout=NOTICE_TIMEOUT,
                )
                for peer in self._members.live()
            ),
        )


class HandoverApi:
    """Serves the records and successor notices that peers send.

    Args:
        homes: receives the records and notices.
        bodies: reads the bodies of requests.
        codec: checks and decodes the messages.
        counters: counts rejected messages and refused records.
    """

    def __init__(
        self,
        homes: KeyHomes,
        bodies: BodyReader,
        codec: MessageCodec,
        counters: Counters,
    ) -> None:
        """Initializes the API."""
        self._homes = homes
        self._bodies = bodies
        self._codec = codec
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the class and the homes."""
        return f'<HandoverApi of {self._homes!r}>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.post(RECORDS_PATH, self._receive_records),
            web.post(SUCCESSOR_PATH, self._record_successor),
        ]

    async def _receive_records(self, request: web.Request) -> web.Response:
        try:
            async with self._bodies.read(request) as body:
                is_accepted = self._homes.receive_records(
                    self._decode(body, RecordsChunk)
                )
        except (BodyRefused, MessageRejected, KeyMalformed):
            self._counters.count('message.rejected')
            return web.Response(status=HTTP_FORBIDDEN)
        if is_accepted:
            return web.Response()
        self._counters.count('handover.refused')
        return web.Response(status=HTTP_INSUFFICIENT_STORAGE)

    async def _record_successor(self, request: web.Request) -> web.Response:
        try:
            async with self._bodies.read(request) as body:
                self._homes.record_successor(
                    self._decode(body, SuccessorNotice)
                )
        except (BodyRefused, MessageRejected):
            self._counters.count('message.rejected')
            return web.Response(status=HTTP_FORBIDDEN)
        return web.Response()

    def _decode(self, body: bytes, kind: type[_Message]) -> _Message:
        return self._codec.decode(body, kind, max_bytes=MAX_RUN_BYTES)


def _split_into_chunks(
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
        chunk = tuple(records[first:end])
        yield RecordsChunk(home, age // MILLISECOND, first, is_last, chunk)
        if is_last:
            return
        first = end
