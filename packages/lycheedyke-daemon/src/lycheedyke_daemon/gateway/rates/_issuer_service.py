"""Issues the quotas of tenants to other instances, and to this one."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec
from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.protocol import EntryRecord
from lycheedyke.state import Counters
from lycheedyke.state.rates import (
    IssuerRanks,
    IssuerStatus,
    Quota,
    QuotaAnswer,
    QuotaAsk,
    QuotaBounds,
    QuotaGrant,
    QuotaIssuer,
    QuotaQuestion,
)
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.gateway._peer_updates import PeerFailure, PeerUpdates
from lycheedyke_daemon.gateway._registry_view import RegistryView

QUOTAS_PATH = '/v1/quotas'
ISSUERS_PATH = '/v1/issuers'
# The next issuer relays a question within the same time again, and an outage
# of the first one may cost its askers half a second.
QUESTION_TIMEOUT = timedelta(milliseconds=200)
# How long an issuer that has not answered is asked by nobody but one question.
SILENT_PAUSE = timedelta(seconds=1)
REACH_INTERVAL = timedelta(milliseconds=800)
REACH_SAMPLE = 6
# A line on a tenant whose quota is used up is written once in this time.
EXHAUSTED_PAUSE = timedelta(seconds=10)

_logger = logging.getLogger(__name__)
_QUESTION = msgspec.msgpack.Decoder(QuotaQuestion)
_ANSWER = msgspec.msgpack.Decoder(QuotaAnswer)
_ENTRY = msgspec.msgpack.Decoder(EntryRecord)


class IssuerService:
    """This instance as an issuer, and what it knows of the others.

    Args:
        own: this instance.
        registry_view: provides the configuration and the entry instances.
        peers: sends messages to other entry instances.
        bounds: how much a tenant may exceed its quota.
        counters: counts questions.
        clock: the time source.

    Attributes:
        is_leaving: returns whether a planned stop has begun.
        ranks: the order of the issuers.
    """

    def __init__(
        self,
        own: EntryRecord,
        registry_view: RegistryView,
        peers: PeerUpdates,
        bounds: QuotaBounds,
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Initializes an issuer without tenants."""
        self.is_leaving: Callable[[], bool] = bool
        self.ranks = IssuerRanks()
        self._own = own
        self._registry_view = registry_view
        self._peers = peers
        self._counters = counters
        self._clock = clock
        self._issuer = QuotaIssuer(own.name, own.incarnation, bounds, clock)
        self._status = IssuerStatus()
        self._silent_until: dict[str, timedelta] = {}
        self._logged_at: dict[str, timedelta] = {}
        self._claims = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the issuer of this instance."""
        return f'<IssuerService with {self._issuer!r}>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.post(QUOTAS_PATH, self._handle_question),
            web.post(ISSUERS_PATH, self._handle_claim),
        ]

    def refresh(self) -> None:
        """Applies changes of the configuration and of the instances."""
        now = self._clock.elapsed()
        own = self._registry_view.entries.get(self._own.name)
        is_listed = own == self._own and not self.is_leaving()
        is_new = self._status.check(now, is_listed=is_listed)
        quotas = tuple(self._quotas())
        if not quotas:
            return
        listed = self._registry_view.active_entries()
        if not is_listed:
            listed = [each for each in listed if each.name != self._own.name]
        self.ranks.refresh(listed, now)
        if is_new:
            self._claims.start(self._claim())
        self._update_schedules(quotas)

    async def run(self) -> None:
        """Checks whether peers are reached, until cancelled."""
        while True:
            await self._clock.sleep(REACH_INTERVAL)
            is_first = any(self._is_first(name) for name, _ in self._quotas())
            if is_first or self._status.is_demoted:
                await self._check_reach()

    def choose(self, tenant: str) -> EntryRecord | None:
        """Returns the issuer to ask; None if none can be reached."""
        now = self._clock.elapsed()
        for issuer in self.ranks.find(tenant):
            if issuer.name == self._own.name or not self._is_silent(
                issuer, now
            ):
                return issuer
        return None

    async def ask(
        self, issuer: EntryRecord, question: QuotaQuestion
    ) -> QuotaAnswer | None:
        """Asks an issuer; remembers it if it does not answer."""
        incarnation = issuer.incarnation
        now = self._clock.elapsed()
        if issuer.incarnation in self._silent_until:
            # One question finds out whether it answers again.
            self._silent_until[incarnation] = now + SILENT_PAUSE
        reply = await self._peers.exchange(
            issuer.peer_address,
            QUOTAS_PATH,
            msgspec.msgpack.encode(question),
            QUESTION_TIMEOUT,
        )
        if reply.body is not None:
            self._silent_until.pop(incarnation, None)
            try:
                return _ANSWER.decode(reply.body)
            except msgspec.MsgspecError:
                self._counters.count('news.not-heard')
        self._record_failure(issuer, reply.failure)
        return None

    def answer_own(self, question: QuotaQuestion) -> QuotaAnswer:
        """Answers a question without asking others."""
        return QuotaAnswer(
            tuple(self._issue(question.instance, ask) for ask in question.asks)
        )

    async def answer(self, question: QuotaQuestion) -> QuotaAnswer:
        """Answers the question of another instance.

        What concerns the tenants of another issuer is relayed to it.
        """
        self._counters.count('quota.asked')
        self._learn_ended(question.ended)
        own_asks: list[QuotaAsk] = []
        relayed: dict[EntryRecord, list[QuotaAsk]] = {}
        for ask in question.asks:
            first = self._first_reached(ask.tenant)
            if question.is_relayed or first is None:
                own_asks.append(ask)
            else:
                relayed.setdefault(first, []).append(ask)
        answers = await asyncio.gather(
            *(
                self._relay(first, question.instance, tuple(asks))
                for first, asks in relayed.items()
            )
        )
        own_question = QuotaQuestion(question.instance, tuple(own_asks))
        grants = list(self.answer_own(own_question).grants)
        for answer in answers:
            grants.extend(answer.grants)
        return QuotaAnswer(tuple(grants))

    def add_claim(self, entry: EntryRecord) -> None:
        """Adds an instance that may rank first, before it is listed here."""
        self.ranks.announce(entry, self._clock.elapsed())
        self.refresh()

    def issue_own_share(self, ask: QuotaAsk) -> QuotaGrant:
        """Returns the permits of this instance if it reaches no issuer."""
        self._counters.count('quota.own-share')
        return self._issuer.issue_own_share(
            ask, self._registry_view.max_instances
        )

    def _quotas(self) -> Iterable[tuple[str, Quota]]:
        table = self._registry_view.table
        if table is None or table.tenants is None:
            return ()
        return (
            (tenant.name, Quota(tenant.rate, tenant.burst))
            for tenant in table.tenants.all()
            if tenant.rate > 0
        )

    def _is_silent(self, issuer: EntryRecord, now: timedelta) -> bool:
        until = self._silent_until.get(issuer.incarnation)
        return until is not None and now < until

    def _is_first(self, tenant: str) -> bool:
        ranks = self.ranks.find(tenant)
        return bool(ranks) and ranks[0] == self._own

    def _update_schedules(self, quotas: Iterable[tuple[str, Quota]]) -> None:
        """Creates the schedules of tenants for which this instance is first."""
        may_issue = self._status.may_issue(self._clock.elapsed())
        taken = 0
        for tenant, quota in quotas:
            is_mine = may_issue and self._is_first(tenant)
            if not is_mine:
                self._issuer.release(tenant)
                continue
            taken += tenant not in self._issuer
            self._issuer.take_over(tenant, quota, self._registry_view.number)
        if taken:
            _logger.info('quotas taken over', extra={'tenants': taken})

    def _issue(self, instance: str, ask: QuotaAsk) -> QuotaGrant:
        is_known = self._status.may_issue(self._clock.elapsed())
        if is_known and self._is_first(ask.tenant):
            grant = self._issuer.issue(instance, ask)
            if ask.wanted and not grant.starts_ms:
                self._log_exhausted(ask, grant)
            return grant
        self._issuer.release(ask.tenant)
        self._counters.count('quota.reserve')
        names = [each.name for each in self.ranks.find(ask.tenant)]
        rank = names.index(self._own.name) if self._own.name in names else 2
        return self._issuer.issue_reserve(ask, rank)

    async def _handle_question(self, request: web.Request) -> web.Response:
        try:
            question = _QUESTION.decode(await request.read())
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        answer = await self.answer(question)
        return web.Response(body=msgspec.msgpack.encode(answer))

    def _first_reached(self, tenant: str) -> EntryRecord | None:
        """Returns the first issuer if it is another one and answers."""
        now = self._clock.elapsed()
        first = next(iter(self.ranks.find(tenant)), None)
        if first is None or first.name == self._own.name:
            return None
        return None if self._is_silent(first, now) else first

    async def _relay(
        self, first: EntryRecord, instance: str, asks: tuple[QuotaAsk, ...]
    ) -> QuotaAnswer:
        self._counters.count('quota.relayed')
        answer = await self.ask(
            first, QuotaQuestion(instance, asks, is_relayed=True)
        )
        return answer or self.answer_own(QuotaQuestion(instance, asks))

    def _learn_ended(self, incarnations: Iterable[str]) -> None:
        others = frozenset(incarnations) - {self._own.incarnation}
        if self.ranks.mark_ended(others):
            _logger.info('quota issuer ended', extra={'count': len(others)})
            self.refresh()

    def _record_failure(
        self, issuer: EntryRecord, failure: PeerFailure | None
    ) -> None:
        if failure is PeerFailure.refused:
            self._learn_ended((issuer.incarnation,))
            return
        now = self._clock.elapsed()
        if issuer.incarnation not in self._silent_until:
            _logger.info('quota issuer silent', extra={'peer': issuer.name})
        known = {each.incarnation for each in self.ranks.candidates}
        self._silent_until = {
            name: until
            for name, until in self._silent_until.items()
            if name in known
        }
        self._silent_until[issuer.incarnation] = now + SILENT_PAUSE

    async def _claim(self) -> None:
        """Tells the other candidates of this instance, which ranks anew."""
        body = msgspec.msgpack.encode(self._own)
        replies = await asyncio.gather(
            *(
                self._peers.exchange(peer.peer_address, ISSUERS_PATH, body)
                for peer in self.ranks.candidates
                if peer.name != self._own.name
            )
        )
        if all(each.failure is not PeerFailure.silent for each in replies):
            self._status.mark_known()
            self.refresh()

    async def _handle_claim(self, request: web.Request) -> web.Response:
        try:
            entry = _ENTRY.decode(await request.read())
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self.add_claim(entry)
        return web.Response()

    async def _check_reach(self) -> None:
        peers = self._peers.peers()
        sample = random.sample(peers, min(REACH_SAMPLE, len(peers)))
        body = msgspec.msgpack.encode(QuotaQuestion(self._own.name, ()))
        replies = await asyncio.gather(
            *(
                self._peers.exchange(peer.peer_address, QUOTAS_PATH, body)
                for peer in sample
            )
        )
        # A peer that refuses or rejects has been reached.
        reached = sum(
            1 for each in replies if each.failure is not PeerFailure.silent
        )
        was_demoted = self._status.is_demoted
        self._status.record_reach(reached, len(sample), self._clock.elapsed())
        if was_demoted != self._status.is_demoted:
            _logger.warning(
                'quota issuer regained'
                if was_demoted
                else 'quota issuer demoted',
                extra={'reached': reached, 'asked': len(sample)},
            )
            self.refresh()

    def _log_exhausted(self, ask: QuotaAsk, grant: QuotaGrant) -> None:
        now = self._clock.elapsed()
        self._counters.count('quota.exhausted')
        if ask.tenant in self._logged_at and now < self._logged_at[ask.tenant]:
            return
        self._logged_at = {
            name: until
            for name, until in self._logged_at.items()
            if now < until
        }
        self._logged_at[ask.tenant] = now + EXHAUSTED_PAUSE
        _logger.info(
            'quota exhausted',
            extra={
                'tenant': ask.tenant,
                'per_s': ask.rate,
                'use': round(grant.use or 0, 2),
            },
        )
