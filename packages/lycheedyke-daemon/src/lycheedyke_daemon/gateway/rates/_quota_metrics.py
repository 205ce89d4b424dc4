"""Metrics of the quotas of tenants."""

import heapq
from collections.abc import Iterator

from prometheus_client.metrics_core import GaugeMetricFamily, Metric

from lycheedyke_daemon.gateway.rates._quota_exchange import QuotaExchange

# A scrape names so many tenants at most: those with the highest use.
MAX_TENANTS_SHOWN = 200


def collect_quotas(exchange: QuotaExchange) -> Iterator[Metric]:
    """Yields what an instance knows of the tenants that it serves."""
    use = GaugeMetricFamily(
        'lycheedyke_quota_use',
        'Requests of a tenant at all instances over its quota.',
        labels=('tenant',),
    )
    permits = GaugeMetricFamily(
        'lycheedyke_quota_permits',
        'Permits of this instance for requests of a tenant.',
        labels=('tenant',),
    )
    known = {
        name: share
        for name in exchange.tenant_use.names()
        if (share := exchange.tenant_use.use(name)) is not None
    }
    for name in heapq.nlargest(MAX_TENANTS_SHOWN, known, key=known.__getitem__):
        use.add_metric((name,), known[name])
        permits.add_metric((name,), exchange.count_permits(name))
    yield from (use, permits)
