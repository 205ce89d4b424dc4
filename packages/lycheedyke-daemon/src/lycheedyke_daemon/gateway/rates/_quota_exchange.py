"""Holds the permits of tenants, and asks issuers for more."""

import asyncio
import contextlib
from collections.abc import Iterable
from datetime import timedelta

from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.protocol import EntryRecord, NotRun, Reason, Tenant
from lycheedyke.state import Counters
from lycheedyke.state.rates import (
    Quota,
    QuotaAccount,
    QuotaAnswer,
    QuotaAsk,
    QuotaBounds,
    QuotaPermit,
    QuotaQuestion,
    TenantUse,
)
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.gateway._peer_updates import PeerUpdates
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway.rates._issuer_service import IssuerService

# Permits are asked for ahead, and changes of the instances applied, so often.
TICK = timedelta(milliseconds=100)
# A request waits so long at most for a permit, and this share of its time.
MAX_PERMIT_WAIT = timedelta(milliseconds=250)
WAIT_SHARE = 0.1
MIN_RETRY_AFTER = timedelta(milliseconds=50)


class QuotaExchange:
    """The permits of this instance.

    Args:
        own: this instance.
        registry_view: provides the configuration and the entry instances.
        peers: sends messages to other entry instances.
        bounds: how much a tenant may exceed its quota.
        counters: counts questions.
        clock: the time source.

    Attributes:
        issuers: this instance as an issuer, and the other ones.
        tenant_use: how far the tenants use their quotas.
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
        """Initializes without permits; `run` asks ahead of need."""
        self.issuers = IssuerService(
            own, registry_view, peers, bounds, counters, clock
        )
        self.tenant_use = TenantUse(clock)
        self._own = own
        self._registry_view = registry_view
        self._bounds = bounds
        self._clock = clock
        # One for each tenant in use; idle ones are dropped.
        self._accounts: dict[str, QuotaAccount] = {}
        self._answers: dict[str, asyncio.Event] = {}
        self._questions = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the number of tenants."""
        return f'<QuotaExchange for {len(self._accounts)} tenants>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return self.issuers.routes()

    async def run(self) -> None:
        """Asks for permits ahead of need, until cancelled."""
        while True:
            self.issuers.refresh()
            self._drop_idle()
            self._ask_issuers(self._accounts.values())
            await self._clock.sleep(TICK)

    async def take(
        self, tenant: Tenant, left: timedelta
    ) -> QuotaPermit | NotRun:
        """Takes a permit for a request; waits a moment if there is none.

        Args:
            tenant: the tenant, which has a rate.
            left: the time until the deadline of the request.
        """
        now = self._clock.elapsed()
        account = self._account(tenant.name)
        quota = Quota(tenant.rate, tenant.burst)
        account.record_arrival(quota, self._registry_view.number, now)
        permit = account.take(now)
        if permit is not None:
            return permit
        until = now + max(timedelta(), min(MAX_PERMIT_WAIT, left * WAIT_SHARE))
        account.waiting += 1
        try:
            permit = await self._wait(tenant.name, account, until)
        finally:
            account.waiting -= 1
        return permit or self._refuse(account)

    def give_back(self, tenant: Tenant, permit: QuotaPermit) -> None:
        """Takes back the permit of a request that did not run."""
        self._account(tenant.name).give_back(permit)

    def count_permits(self, tenant: str) -> int:
        """Returns the number of permits for a tenant."""
        account = self._accounts.get(tenant)
        return (
            0
            if account is None
            else account.count_permits(self._clock.elapsed())
        )

    def _refuse(self, account: QuotaAccount) -> NotRun:
        now = self._clock.elapsed()
        if not account.knows_issuer(now):
            return NotRun(Reason.no_quota_known)
        wait = (account.next_start(now) or account.time_to_ask()) - now
        return NotRun(Reason.quota_exceeded, max(MIN_RETRY_AFTER, wait))

    async def _wait(
        self, tenant: str, account: QuotaAccount, until: timedelta
    ) -> QuotaPermit | None:
        """Returns a permit that becomes valid in time."""
        while True:
            self._ask_issuers((account,))
            now = self._clock.elapsed()
            permit = account.take(now)
            start = account.next_start(now) or account.time_to_ask()
            if account.is_asking:
                start = until
            if permit is not None or now >= until or start > until:
                return permit
            event = self._answers.setdefault(tenant, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    event.wait(), (start - now).total_seconds()
                )

    def _account(self, tenant: str) -> QuotaAccount:
        account = self._accounts.get(tenant)
        if account is None:
            account = QuotaAccount(tenant, self._bounds)
            self._accounts[tenant] = account
        return account

    def _drop_idle(self) -> None:
        now = self._clock.elapsed()
        for tenant, account in tuple(self._accounts.items()):
            if account.is_idle(now):
                self._accounts.pop(tenant)

    def _ask_issuers(self, accounts: Iterable[QuotaAccount]) -> None:
        """Asks the issuers of the accounts that need permits."""
        now = self._clock.elapsed()
        asks: dict[EntryRecord, list[QuotaAsk]] = {}
        for account in accounts:
            if not account.must_ask(now):
                continue
            ask = account.ask(now)
            issuer = self.issuers.choose(ask.tenant)
            if issuer is None:
                grant = self.issuers.issue_own_share(ask)
                account.add(grant, now, now)
            else:
                asks.setdefault(issuer, []).append(ask)
        for issuer, found in asks.items():
            question = QuotaQuestion(
                self._own.name, tuple(found), tuple(self.issuers.ranks.ended)
            )
            if issuer.name == self._own.name:
                self._add(question, self.issuers.answer_own(question), now)
            else:
                self._questions.start(self._ask_one(issuer, question))

    async def _ask_one(
        self, issuer: EntryRecord, question: QuotaQuestion
    ) -> None:
        asked_at = self._clock.elapsed()
        answer = await self.issuers.ask(issuer, question)
        if answer is None:
            self._handle_failure(question)
        else:
            self._add(question, answer, asked_at)

    def _handle_failure(self, question: QuotaQuestion) -> None:
        """Asks the next issuer."""
        asks = {ask.tenant: ask for ask in question.asks}
        for tenant, ask in asks.items():
            self._account(tenant).handle_failure(ask)
        self._ask_issuers([self._account(name) for name in asks])

    def _add(
        self, question: QuotaQuestion, answer: QuotaAnswer, asked_at: timedelta
    ) -> None:
        """Adds the permits of an answer, and wakes the waiting requests."""
        now = self._clock.elapsed()
        grants = {grant.tenant: grant for grant in answer.grants}
        for ask in question.asks:
            account = self._account(ask.tenant)
            grant = grants.get(ask.tenant)
            if grant is None:
                account.handle_failure(ask)
            else:
                account.add(grant, asked_at, now)
                if grant.use is not None:
                    self.tenant_use.record(ask.tenant, grant.use)
            event = self._answers.pop(ask.tenant, None)
            if event is not None:
                event.set()
