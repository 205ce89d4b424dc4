"""Admits the requests of tenants within their quotas."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from lycheedyke.protocol import NotRun, Outcome, Tenant
from lycheedyke_daemon.gateway.rates._quota_exchange import QuotaExchange

Run = Callable[[], Awaitable[Outcome]]
RunWithinQuota = Callable[[Tenant | None, timedelta, Run], Awaitable[Outcome]]


async def run_freely(
    tenant: Tenant | None, left: timedelta, work: Run
) -> Outcome:
    """Runs a request without a quota."""
    return await work()


class QuotaGate:
    """Runs requests that have a permit of their tenant.

    Args:
        exchange: holds the permits.
    """

    def __init__(self, exchange: QuotaExchange) -> None:
        """Initializes the gate."""
        self._exchange = exchange

    def __repr__(self) -> str:
        """Returns the exchange."""
        return f'<QuotaGate with {self._exchange!r}>'

    async def run(
        self, tenant: Tenant | None, left: timedelta, work: Run
    ) -> Outcome:
        """Runs a request within the quota of its tenant.

        Args:
            tenant: the tenant, if the request has one.
            left: the time until the deadline of the request.
            work: runs the request.
        """
        if tenant is None or tenant.rate <= 0:
            return await work()
        permit = await self._exchange.take(tenant, left)
        if isinstance(permit, NotRun):
            return permit
        outcome = await work()
        if isinstance(outcome, NotRun):
            self._exchange.give_back(tenant, permit)
        return outcome
