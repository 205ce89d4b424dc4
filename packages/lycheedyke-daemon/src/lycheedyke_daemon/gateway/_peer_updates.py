"""Exchanges registry updates and planned stops with peers."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

import msgspec
from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.coordination import (
    ConfigurationArrivals,
    Replica,
    Transfer,
)
from lycheedyke.exceptions import (
    ConnectError,
    ConnectionRefusedByHost,
    ExchangeTimeout,
    TransportError,
)
from lycheedyke.protocol import (
    EntryRecord,
    ItemBatch,
    Position,
    QuarantineRecord,
    RegistryItem,
    RegistryRecord,
    RegistryUpdate,
    RoutingRecord,
    SuspectRecord,
    is_valid_item,
)
from lycheedyke.state import Counters
from lycheedyke.transport import (
    BodyMemory,
    ExchangeChecks,
    HttpClient,
    HttpResponse,
)
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway.news import (
    NewsSources,
    complete_batch,
    resolve_notices,
    split_configurations,
)

UPDATES_PATH = '/v1/news'
LEAVING_PATH = '/v1/leaving'
# Earlier versions can't decode these records, and do not ask for them.
QUARANTINES = 'quarantines'
SUSPECTS = 'suspects'
# Peers that ask for this understand notices of configurations.
CONFIGURATIONS = 'configurations'
# The longest time without a part of an answer.
POLL_TIMEOUT = timedelta(milliseconds=500)
# The longest time for an answer as a whole.
LONGEST_POLL = timedelta(seconds=3)
SEND_TIMEOUT = timedelta(milliseconds=300)
PEERS_POLLED = 3
# The sources that are asked in turn before the registry is.
SOURCES_POLLED = 2
MILLISECOND = timedelta(milliseconds=1)
START = Position(0, 0)
HTTP_OK = 200
# Of one update, and of all that are received at once.
MAX_UPDATE_BYTES = 8_388_608
_logger = logging.getLogger(__name__)
_UPDATE = msgspec.msgpack.Decoder(RegistryUpdate)
_ENTRY = msgspec.msgpack.Decoder(EntryRecord)


class PeerFailure(Enum):
    """Why a peer has not answered a message."""

    # No process listens at the address.
    refused = 'refused'
    # No complete answer has come in time.
    silent = 'silent'
    # It answers with an error, such as one of an earlier release.
    rejected = 'rejected'


class PeerReply(NamedTuple):
    """What came of a message to a peer.

    Attributes:
        body: the answer; None if there was none.
        failure: why there was none.
    """

    body: bytes | None = None
    failure: PeerFailure | None = None


class PeerUpdates:
    """Polls peers for registry updates, and answers their polls.

    Args:
        own: this instance.
        registry_view: provides the entry instances.
        seeds: addresses to poll while no other entry instance is known.
        replica: the local copy of the registry.
        counters: counts failed requests to peers.
        clock: the time source.

    Attributes:
        arrivals: remembers where configurations came from.
        age: returns the age of the last update from the registry.
        silence: returns the time since the registry has answered anyone.
        news_sources: tells which peers to poll.
    """

    def __init__(
        self,
        own: EntryRecord,
        registry_view: RegistryView,
        seeds: Sequence[str],
        replica: Replica,
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Initializes the client; the attributes are set later."""
        self.arrivals = ConfigurationArrivals(clock)
        self.age: Callable[[], timedelta] = timedelta
        self.silence: Callable[[], timedelta] = timedelta
        self.news_sources = NewsSources(own, registry_view, clock)
        self._own = own
        self._registry_view = registry_view
        self._seeds = tuple(seeds)
        self._replica = replica
        self._counters = counters
        self._http = HttpClient(
            max_body_bytes=MAX_UPDATE_BYTES,
            memory=BodyMemory(MAX_UPDATE_BYTES),
        )

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<PeerUpdates of {self._own.name}>'

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    @property
    def is_watcher(self) -> bool:
        """Whether this instance provides its zone with updates."""
        return self.news_sources.is_watcher

    async def poll_source(self, after: Position) -> RegistryUpdate | None:
        """Returns the updates of the zone's watcher, or of the head.

        Returns:
            None if this instance is the head, or no source answers.
        """
        for _ in range(SOURCES_POLLED):
            source = self.news_sources.source()
            if source is None:
                return None
            update = await self._poll(source.peer_address, after)
            self.news_sources.record(source.name, answered=update is not None)
            if update is not None:
                return update
        return None

    async def poll_sample(self, after: Position) -> list[RegistryUpdate]:
        """Returns the updates of some instances of any zone.

        An instance that knows no other instance polls its seeds.
        """
        others = self._peer_addresses() or self._seeds
        polled = random.sample(others, min(PEERS_POLLED, len(others)))
        found = await asyncio.gather(
            *(self._poll(peer, after) for peer in polled),
        )
        return [update for update in found if update is not None]

    @property
    def has_seeds(self) -> bool:
        """Whether there are seeds, and this instance is none of them."""
        return bool(self._seeds) and self._own.peer_address not in self._seeds

    async def poll_seeds(self) -> RegistryUpdate | None:
        """Returns all that a seed knows; None if none has read everything."""
        for seed in random.sample(self._seeds, len(self._seeds)):
            update = await self._poll(seed, START)
            if update is not None and update.batch.revision:
                return update
        return None

    async def announce_leaving(self) -> None:
        """Notifies all peers that this instance stops soon.

        The registry would notify them later, and may be unreachable.
        """
        await self._send_to_all(LEAVING_PATH, msgspec.msgpack.encode(self._own))

    def peers(self) -> list[EntryRecord]:
        """Returns the other entry instances that are not leaving."""
        return [
            peer
            for peer in self._registry_view.active_entries()
            if peer.name != self._own.name
        ]

    async def send(self, address: str, path: str, body: bytes) -> bytes | None:
        """Sends a message; returns the answer, or None if there was none."""
        return (await self.exchange(address, path, body)).body

    async def exchange(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout: timedelta = SEND_TIMEOUT,
    ) -> PeerReply:
        """Sends a message; returns the answer, or why there was none."""
        try:
            answer = await self._http.send(
                'POST',
                f'http://{address}{path}',
                timeout=timeout,
                body=body,
            )
        except ConnectionRefusedByHost:
            self._counters.count('news.not-told')
            return PeerReply(failure=PeerFailure.refused)
        except TransportError:
            self._counters.count('news.not-told')
            return PeerReply(failure=PeerFailure.silent)
        if answer.status == HTTP_OK:
            return PeerReply(answer.body)
        return PeerReply(failure=PeerFailure.rejected)

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.get(UPDATES_PATH, self._answer),
            web.post(LEAVING_PATH, self._handle_leaving),
        ]

    async def _answer(self, request: web.Request) -> web.Response:
        try:
            after = self._requested_position(request)
        except ValueError:
            raise web.HTTPBadRequest(text='after is a revision') from None
        batch = self._replica.changes_after(after)
        if QUARANTINES not in request.query:
            batch = _without(QuarantineRecord, batch)
        if SUSPECTS not in request.query:
            batch = _without(SuspectRecord, batch)
        update = RegistryUpdate(
            self.age() // MILLISECOND,
            batch,
            self._replica.held_configurations(),
            self._replica.deferral.left // MILLISECOND,
            self.silence() // MILLISECOND,
            self._replica.deferral.token,
            self._replica.deferral.steady // MILLISECOND,
        )
        if CONFIGURATIONS in request.query:
            update = split_configurations(
                update, self._replica, self._registry_view.documents, after
            )
        else:
            batch = complete_batch(self._replica, batch)
            update = msgspec.structs.replace(update, batch=batch)
        return web.Response(body=msgspec.msgpack.encode(update))

    def _requested_position(self, request: web.Request) -> Position:
        """Returns the position after which a peer asks for changes.

        Peers of earlier releases do not tell their generation.
        """
        known = self._replica.position.generation
        return Position(
            int(request.query.get('generation', known)),
            int(request.query.get('after', '0')),
        )

    async def _handle_leaving(self, request: web.Request) -> web.Response:
        try:
            entry = _ENTRY.decode(await request.read())
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._registry_view.mark_leaving(entry)
        return web.Response()

    def _peer_addresses(self) -> list[str]:
        return [peer.peer_address for peer in self.peers()]

    async def _poll(
        self, address: str, after: Position
    ) -> RegistryUpdate | None:
        query = (
            f'after={after.revision}&generation={after.generation}'
            f'&{QUARANTINES}=1&{SUSPECTS}=1&{CONFIGURATIONS}=1'
        )
        try:
            answer = await self._http.send(
                'GET',
                f'http://{address}{UPDATES_PATH}?{query}',
                timeout=POLL_TIMEOUT,
                checks=ExchangeChecks(longest=LONGEST_POLL),
            )
            update = _UPDATE.decode(answer.body)
        except (TransportError, msgspec.MsgspecError) as error:
            self._counters.count('news.not-heard')
            self._counters.count(f'news.not-heard.{_reason_of(error)}')
            return None
        self._record_arrivals(address, update, answer)
        # The peer's state is as old as the head of its answer.
        age_ms = update.age_ms + answer.took // MILLISECOND
        update = msgspec.structs.replace(update, age_ms=age_ms)
        update = resolve_notices(
            _without_invalid(update), self._registry_view.documents
        )
        if update.configurations:
            self.news_sources.teller = address
        return update

    def _record_arrivals(
        self, address: str, update: RegistryUpdate, answer: HttpResponse
    ) -> None:
        """Records the configurations that an update holds."""
        for notice in update.configurations:
            self.arrivals.hear(notice.revision)
        for item in (*update.batch.items, *update.held):
            if isinstance(item.record, RoutingRecord):
                transfer = Transfer(address, len(answer.body), answer.took)
                self.arrivals.receive(item.revision, transfer)

    async def _send_to_all(self, path: str, body: bytes) -> None:
        """Sends a message to all peers."""
        await asyncio.gather(
            *(self.send(peer, path, body) for peer in self._peer_addresses()),
        )


def _reason_of(error: Exception) -> str:
    """Returns why a poll of a peer has failed, for a counter."""
    match error:
        case ConnectionRefusedByHost():
            return 'refused'
        case ConnectError():
            return 'not-connected'
        case ExchangeTimeout():
            return 'late'
        case TransportError():
            return 'broken'
    return 'malformed'


def _without_invalid(update: RegistryUpdate) -> RegistryUpdate:
    """Returns an update in which invalid records are as good as removed.

    Peers of earlier releases pass them on.
    """
    batch = update.batch
    if all(map(is_valid_item, batch.items)):
        return update
    items = tuple(
        item if is_valid_item(item) else RegistryItem(item.key, item.revision)
        for item in batch.items
    )
    return msgspec.structs.replace(
        update, batch=msgspec.structs.replace(batch, items=items)
    )


def _without(kind: type[RegistryRecord], batch: ItemBatch) -> ItemBatch:
    items = tuple(
        item for item in batch.items if not isinstance(item.record, kind)
    )
    return ItemBatch(batch.revision, items, batch.generation)
