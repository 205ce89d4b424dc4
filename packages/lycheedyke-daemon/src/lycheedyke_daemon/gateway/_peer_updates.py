"""News between entry instances, for those that the registry does not reach."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.coordination import Replica, watchers_of
from lycheedyke.exceptions import TransportError
from lycheedyke.protocol import EntryRecord, RegistryUpdate
from lycheedyke.state import Counters, Suspect, Suspects
from lycheedyke.transport import HttpClient
from lycheedyke_daemon.gateway._registry_view import RegistryView

NEWS_PATH = '/v1/news'
SUSPECTS_PATH = '/v1/suspects'
LEAVING_PATH = '/v1/leaving'
ASK_LIMIT = timedelta(milliseconds=500)
REPORT_LIMIT = timedelta(milliseconds=300)
PEERS_ASKED = 3
# A source that was silent is asked again after that; it costs ASK_LIMIT.
SILENT_PAUSE = timedelta(seconds=2)
MILLISECOND = timedelta(milliseconds=1)
MAX_NEWS_BYTES = 8_388_608
_logger = logging.getLogger(__name__)
_NEWS = msgspec.msgpack.Decoder(RegistryUpdate)
_ENTRY = msgspec.msgpack.Decoder(EntryRecord)
_SUSPECTS = msgspec.msgpack.Decoder(tuple[Suspect, ...])


class PeerUpdates:
    """Asks peers for news, and answers theirs.

    Args:
        own: this instance.
        beliefs: the entry instances.
        seeds: addresses to ask while no entry instance is known.
        replica: what is known here.
        suspects: the requests that may crash upstreams.
        counters: counts failed questions.
        clock: the time.
    """

    def __init__(
        self,
        own: EntryRecord,
        beliefs: RegistryView,
        seeds: Sequence[str],
        replica: Replica,
        suspects: Suspects,
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Makes a client without connections."""
        self.age: Callable[[], timedelta] = timedelta
        self._own = own
        self._beliefs = beliefs
        self._seeds = tuple(seeds)
        self._replica = replica
        self._suspects = suspects
        self._counters = counters
        self._clock = clock
        self._silent_until: dict[str, timedelta] = {}
        self._http = HttpClient(max_body_bytes=MAX_NEWS_BYTES)

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<PeerNews of {self._own.name}>'

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    @property
    def is_watcher(self) -> bool:
        """Whether this instance tells its zone the news."""
        watcher = self._watcher()
        return watcher is None or watcher.name == self._own.name

    async def poll_source(self, after: int) -> RegistryUpdate | None:
        """Returns the news of the zone's watcher, or of the head.

        Returns:
            None if this instance is the head, or its source is silent.
        """
        source = self._source()
        now = self._clock.elapsed()
        if source is None or now < self._silent_until.get(source.name, now):
            return None
        news = await self._ask_one(source.peer_address, after)
        self._note_source(source.name, is_heard=news is not None)
        return news

    async def poll_sample(self, after: int) -> list[RegistryUpdate]:
        """Returns the news of some instances of any zone.

        An instance that knows no other asks its seeds.
        """
        others = self._others() or self._seeds
        asked = random.sample(others, min(PEERS_ASKED, len(others)))
        found = await asyncio.gather(
            *(self._ask_one(peer, after) for peer in asked),
        )
        return [news for news in found if news is not None]

    async def send_suspects(self) -> None:
        """Tells all peers of the suspects."""
        body = msgspec.msgpack.encode(self._suspects.list())
        await self._tell(SUSPECTS_PATH, body)

    async def announce_leaving(self) -> None:
        """Tells all peers that this instance ends soon.

        The registry may be away, and would tell them later.
        """
        await self._tell(LEAVING_PATH, msgspec.msgpack.encode(self._own))

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.get(NEWS_PATH, self._answer),
            web.post(SUSPECTS_PATH, self._take_report),
            web.post(LEAVING_PATH, self._take_leaving),
        ]

    async def _answer(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get('after', '0'))
        except ValueError:
            raise web.HTTPBadRequest(text='after is a revision') from None
        news = RegistryUpdate(
            self.age() // MILLISECOND, self._replica.changes_after(after)
        )
        return web.Response(body=msgspec.msgpack.encode(news))

    async def _take_report(self, request: web.Request) -> web.Response:
        try:
            self._suspects.merge(_SUSPECTS.decode(await request.read()))
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.Response()

    async def _take_leaving(self, request: web.Request) -> web.Response:
        try:
            entry = _ENTRY.decode(await request.read())
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._beliefs.mark_leaving(entry)
        return web.Response()

    def _watcher(self) -> EntryRecord | None:
        """Returns the watcher of the own zone."""
        zone = self._own.zone
        peers = [
            each for each in self._beliefs.active_entries() if each.zone == zone
        ]
        return next(iter(watchers_of(peers, 1)), None)

    def _head(self) -> EntryRecord:
        """Returns the head: by the same order, the first of all watchers."""
        return watchers_of(self._beliefs.active_entries(), 1)[0]

    def _source(self) -> EntryRecord | None:
        source = self._watcher()
        if source is not None and source.name == self._own.name:
            source = self._head()
        if source is None or source.name == self._own.name:
            return None
        return source

    def _note_source(self, name: str, *, is_heard: bool) -> None:
        was_silent = self._silent_until.pop(name, None) is not None
        if not is_heard:
            until = self._clock.elapsed() + SILENT_PAUSE
            self._silent_until = {name: until}
        if was_silent == is_heard:
            event = 'news source regained' if is_heard else 'news source lost'
            _logger.info(event, extra={'peer': name})

    def _others(self) -> list[str]:
        return [
            peer.peer_address
            for peer in self._beliefs.active_entries()
            if peer.name != self._own.name
        ]

    async def _ask_one(self, address: str, after: int) -> RegistryUpdate | None:
        try:
            answer = await self._http.send(
                'GET',
                f'http://{address}{NEWS_PATH}?after={after}',
                timeout=ASK_LIMIT,
            )
            return _NEWS.decode(answer.body)
        except (TransportError, msgspec.MsgspecError):
            self._counters.count('news.not-heard')
            return None

    async def _tell(self, path: str, body: bytes) -> None:
        await asyncio.gather(
            *(self._tell_one(peer, path, body) for peer in self._others()),
        )

    async def _tell_one(self, address: str, path: str, body: bytes) -> None:
        try:
            await self._http.send(
                'POST',
                f'http://{address}{path}',
                timeout=REPORT_LIMIT,
                body=body,
            )
        except TransportError:
            self._counters.count('news.not-told')
