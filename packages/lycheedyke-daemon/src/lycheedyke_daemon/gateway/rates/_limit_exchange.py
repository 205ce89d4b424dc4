"""Tells peers of the limits of upstreams, and asks for permits to send."""

import asyncio
import functools
import heapq
import logging
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

import msgspec
import xxhash
from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.protocol import EntryRecord
from lycheedyke.state import (
    Counters,
    LimitNews,
    LimitNotUnderstood,
    PermitBook,
    PermitGrant,
    PermitIssuer,
    PermitRequest,
    UpstreamState,
    UpstreamTable,
)
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.gateway._peer_updates import PeerUpdates

PERMITS_PATH = '/v1/permits'
LIMITS_PATH = '/v1/limits'
# If none of so many issuers answers, an instance uses its own share.
MAX_ASKED = 3
# How long an issuer that did not answer is not asked again.
SILENT_PAUSE = timedelta(seconds=2)
# How long a request waits for the answer of an issuer in its region.
ANSWER_WAIT_SECONDS = 0.02
# Changes within this time are told together.
TELL_INTERVAL = timedelta(milliseconds=100)

_logger = logging.getLogger(__name__)


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """News of limits.

    Attributes:
        news: the news.
        pass_on: whether the receiver tells all its peers what is new to it.
    """

    news: tuple[LimitNews, ...]
    pass_on: bool = False


_REPORT = msgspec.msgpack.Decoder(LimitReport)
_REQUEST = msgspec.msgpack.Decoder(PermitRequest)
_GRANT = msgspec.msgpack.Decoder(PermitGrant)


class LimitExchange:
    """Shares the limits of upstreams with the other entry instances.

    For each upstream, one instance issues the permits to send, preferably one
    of its region. It also tells all others when the limit changes, so a change
    costs one message from each instance that has heard of it and one to each.

    Args:
        own: this instance.
        table: the upstreams.
        permits: the permits of this instance.
        peers: sends messages to the other entry instances.
        zones: the region of each zone.
        counters: counts messages that can't be read.
        clock: the time source.

    Attributes:
        max_instances: returns the maximum number of instances that may run.
    """

    def __init__(
        self,
        own: EntryRecord,
        table: UpstreamTable,
        permits: PermitBook,
        peers: PeerUpdates,
        zones: Mapping[str, str],
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Initializes the exchange; `run` tells peers of changes."""
        self.max_instances: Callable[[], int] = _count_one
        self._own = own
        self._table = table
        self._permits = permits
        self._peers = peers
        self._zones = zones
        self._counters = counters
        self._clock = clock
        self._issuer = PermitIssuer(own.name, clock)
        self._questions = DetachedTasks()
        # The tasks that ask for permits, by the name of the upstream.
        self._asking: dict[str, asyncio.Task[None]] = {}
        self._silent_until: dict[str, timedelta] = {}
        # The names of upstreams whose changed limit is to be told: by the
        # issuer of each, and by this instance to all.
        self._changed: set[str] = set()
        self._to_tell_all: set[str] = set()
        self._has_changed = asyncio.Event()
        table.on_limit_changed = self._handle_change
        permits.ask = self._ask

    def __repr__(self) -> str:
        """Returns the issuer of this instance."""
        return f'<LimitExchange with {self._issuer!r}>'

    async def run(self) -> None:
        """Tells peers of changed limits, until cancelled."""
        while True:
            await self._has_changed.wait()
            await self._clock.sleep(TELL_INTERVAL)
            self._has_changed.clear()
            await self._tell_changes()

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.post(PERMITS_PATH, self._handle_request),
            web.post(LIMITS_PATH, self._handle_report),
        ]

    async def wait_answer(self, state: UpstreamState) -> None:
        """Waits a moment for the permit of an upstream of the own region."""
        question = self._asking.get(state.record.name)
        if question is not None and self._region(state) == self._own.region:
            await asyncio.wait((question,), timeout=ANSWER_WAIT_SECONDS)

    def _handle_change(self, upstream: str) -> None:
        self._changed.add(upstream)
        self._has_changed.set()

    def _region(self, state: UpstreamState) -> str:
        return self._zones.get(state.record.zone, '')

    def _rank_issuers(self, state: UpstreamState) -> list[EntryRecord]:
        """Returns the instances that issue permits, in the order to ask."""
        return heapq.nsmallest(
            MAX_ASKED,
            (*self._peers.peers(), self._own),
            key=functools.partial(
                _rank_issuer, state.record.name, self._region(state)
            ),
        )

    def _ask(self, state: UpstreamState, is_probe: bool) -> None:
        issuers = self._rank_issuers(state)
        if issuers[0].name == self._own.name:
            news = self._table.describe_limit(state)
            request = PermitRequest(news, self._own.name, 0, is_probe)
            grant = self._issuer.issue(request, news)
            now = self._clock.elapsed()
            self._permits.add(state, grant, now, is_probe=is_probe)
            return
        question = self._questions.start(
            self._ask_issuers(state, issuers, is_probe=is_probe)
        )
        if not is_probe:
            self._asking[state.record.name] = question
            question.add_done_callback(
                functools.partial(self._forget_question, state.record.name)
            )

    def _forget_question(
        self, upstream: str, question: asyncio.Task[None]
    ) -> None:
        if self._asking.get(upstream) is question:
            self._asking.pop(upstream)

    async def _ask_issuers(
        self,
        state: UpstreamState,
        issuers: Sequence[EntryRecord],
        *,
        is_probe: bool,
    ) -> None:
        grant, asked_at = await self._find_grant(
            state, issuers, is_probe=is_probe
        )
        try:
            self._apply_news(grant.news)
        except LimitNotUnderstood:
            self._counters.count('news.not-heard')
        self._permits.add(state, grant, asked_at, is_probe=is_probe)

    async def _find_grant(
        self,
        state: UpstreamState,
        issuers: Sequence[EntryRecord],
        *,
        is_probe: bool,
    ) -> tuple[PermitGrant, timedelta]:
        """Returns the grant of the first issuer that answers.

        Returns:
            The grant, and when that issuer was asked.
        """
        news = self._table.describe_limit(state)
        for rank, issuer in enumerate(issuers):
            request = PermitRequest(news, self._own.name, rank, is_probe)
            asked_at = self._clock.elapsed()
            if issuer.name == self._own.name:
                return self._issuer.issue(request, news), asked_at
            grant = await self._ask_one(issuer, request)
            if grant is not None:
                return grant, asked_at
        self._counters.count('permits.own-share')
        own_share = self._issuer.issue_own_share(news, self.max_instances())
        return own_share, self._clock.elapsed()

    async def _ask_one(
        self, issuer: EntryRecord, request: PermitRequest
    ) -> PermitGrant | None:
        if self._clock.elapsed() < self._silent_until.get(
            issuer.incarnation, timedelta()
        ):
            return None
        body = await self._peers.send(
            issuer.peer_address, PERMITS_PATH, msgspec.msgpack.encode(request)
        )
        if body is None:
            now = self._clock.elapsed()
            self._silent_until = {
                name: until
                for name, until in self._silent_until.items()
                if now < until
            }
            self._silent_until[issuer.incarnation] = now + SILENT_PAUSE
            _logger.info(
                'permits not issued',
                extra={'upstream': request.news.upstream, 'peer': issuer.name},
            )
            return None
        try:
            return _GRANT.decode(body)
        except msgspec.MsgspecError:
            self._counters.count('news.not-heard')
            return None

    async def _handle_request(self, request: web.Request) -> web.Response:
        try:
            asked = _REQUEST.decode(await request.read())
            self._apply_news(asked.news)
        except (msgspec.MsgspecError, LimitNotUnderstood) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        news = asked.news
        state = self._table.find(news.upstream)
        if state is not None and state.record.incarnation == news.incarnation:
            news = self._table.describe_limit(state)
        return web.Response(
            body=msgspec.msgpack.encode(self._issuer.issue(asked, news))
        )

    async def _handle_report(self, request: web.Request) -> web.Response:
        try:
            report = _REPORT.decode(await request.read())
            changed = {
                news.upstream
                for news in report.news
                if self._table.apply_limit_news(news)
            }
        except (msgspec.MsgspecError, LimitNotUnderstood) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if report.pass_on and changed:
            self._to_tell_all |= changed
            self._has_changed.set()
        return web.Response()

    def _apply_news(self, news: LimitNews) -> None:
        """Applies news that came with permits, and tells them on.

        Raises:
            LimitNotUnderstood: the news are out of range.
        """
        if self._table.apply_limit_news(news):
            self._handle_change(news.upstream)

    async def _tell_changes(self) -> None:
        changed = self._changed
        to_all = self._to_tell_all
        self._changed = set()
        self._to_tell_all = set()
        to_issuer: dict[str, UpstreamState] = {}
        for name in changed - to_all:
            state = self._table.find(name)
            if state is None:
                continue
            if self._rank_issuers(state)[0].name == self._own.name:
                to_all.add(name)
            else:
                to_issuer[name] = state
        await asyncio.gather(
            self._tell_all(to_all),
            *(self._tell_issuer(state) for state in to_issuer.values()),
        )

    async def _tell_all(self, upstreams: set[str]) -> None:
        states = [self._table.find(name) for name in sorted(upstreams)]
        news = tuple(
            self._table.describe_limit(state)
            for state in states
            if state is not None
        )
        if not news:
            return
        body = msgspec.msgpack.encode(LimitReport(news))
        peers = self._peers.peers()
        answers = await asyncio.gather(
            *(
                self._peers.send(peer.peer_address, LIMITS_PATH, body)
                for peer in peers
            )
        )
        _logger.info(
            'limits reported',
            extra={
                'upstreams': len(news),
                'peers': len(peers),
                'lost': answers.count(None),
            },
        )

    async def _tell_issuer(self, state: UpstreamState) -> None:
        """Tells the first issuer that answers, which tells all others."""
        report = LimitReport((self._table.describe_limit(state),), pass_on=True)
        body = msgspec.msgpack.encode(report)
        for issuer in self._rank_issuers(state):
            if issuer.name == self._own.name:
                await self._tell_all({state.record.name})
                return
            told = await self._peers.send(
                issuer.peer_address, LIMITS_PATH, body
            )
            if told is not None:
                return


def _rank_issuer(
    upstream: str, region: str, issuer: EntryRecord
) -> tuple[bool, int, str]:
    """Returns the sort key of an issuer for an upstream in a region."""
    text = f'permits {upstream} {issuer.name}'
    weight = xxhash.xxh3_64_intdigest(text.encode())
    return issuer.region != region, weight, issuer.name


def _count_one() -> int:
    return 1
