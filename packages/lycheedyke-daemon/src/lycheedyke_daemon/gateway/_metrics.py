"""Metrics of an instance that replicates a registry."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from prometheus_client.metrics_core import GaugeMetricFamily, Metric

from lycheedyke.coordination import RegistryFollower
from lycheedyke.state import (
    Counters,
    PermitBook,
    UpstreamState,
    UpstreamTable,
)
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.metric_families import (
    event_counters,
    latency_percentiles,
    unlabelled_gauge,
)
from lycheedyke_daemon.stopping import RequestTracker


class GatewayCollector:
    """Collects the registry view, counters and latencies at each scrape.

    Args:
        counters: the counters and latencies.
        registry_view: provides the configuration and the entry instances.
        upstream_table: provides the upstreams.
        permits: provides the shares in the limits of upstreams.
        follower: provides the age of the registry view.
        tracker: counts the requests in flight.

    Attributes:
        collect_quotas: yields the metrics of the quotas of tenants.
    """

    def __init__(
        self,
        counters: Counters,
        registry_view: RegistryView,
        upstream_table: UpstreamTable,
        permits: PermitBook,
        follower: RegistryFollower,
        tracker: RequestTracker,
    ) -> None:
        """Initializes the collector."""
        self.collect_quotas: Callable[[], Iterable[Metric]] = tuple
        self._counters = counters
        self._registry_view = registry_view
        self._upstream_table = upstream_table
        self._permits = permits
        self._follower = follower
        self._tracker = tracker

    def __repr__(self) -> str:
        """Returns the registry view."""
        return f'<GatewayCollector of {self._registry_view!r}>'

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""
        yield unlabelled_gauge(
            'lycheedyke_version',
            'Number of the configuration in force.',
            self._registry_view.number,
        )
        yield unlabelled_gauge(
            'lycheedyke_configuration_awaited_seconds',
            'Time for which a later configuration has been known and missing.',
            self._follower.configuration_awaited.total_seconds(),
        )
        yield unlabelled_gauge(
            'lycheedyke_news_age_seconds',
            'Time since the registry told what is known here.',
            self._follower.age.total_seconds(),
        )
        yield unlabelled_gauge(
            'lycheedyke_entries',
            'Entry instances that callers may be sent to.',
            len(self._registry_view.active_entries()),
        )
        yield unlabelled_gauge(
            'lycheedyke_in_flight',
            'Requests of callers that are not answered yet.',
            self._tracker.in_flight,
        )
        yield self._upstreams()
        yield from self._limits()
        yield from self.collect_quotas()
        yield event_counters(self._counters)
        yield latency_percentiles(self._counters)

    def _limits(self) -> Iterator[Metric]:
        """Yields what this instance knows of each limited upstream."""
        labels = ('service', 'upstream')
        limit = GaugeMetricFamily(
            'lycheedyke_upstream_limit',
            'Requests per second that the upstream takes from all instances.',
            labels=labels,
        )
        sharing = GaugeMetricFamily(
            'lycheedyke_limit_sharing',
            'Instances that share the limit, as last heard from its issuer.',
            labels=labels,
        )
        permits = GaugeMetricFamily(
            'lycheedyke_limit_permits',
            'Permits of this instance to send to the upstream.',
            labels=labels,
        )
        for state in self._upstream_table.limited():
            key = (state.record.service, state.record.name)
            limit.add_metric(key, state.wishes.limit.rate or 0)
            sharing.add_metric(key, self._permits.sharing(state))
            permits.add_metric(key, self._permits.count(state))
        yield from (limit, sharing, permits)

    def _upstreams(self) -> Metric:
        family = GaugeMetricFamily(
            'lycheedyke_upstreams',
            'Upstreams by service and state.',
            labels=('service', 'state'),
        )
        counts = Counter(
            (state.record.service, _name_state(state))
            for state in self._upstream_table.all()
        )
        for labels, count in counts.items():
            family.add_metric(labels, count)
        return family


def _name_state(state: UpstreamState) -> str:
    if state.record.leaving:
        return 'leaving'
    if state.is_lost:
        return 'lost'
    if state.is_ejected:
        return 'out'
    return 'cold' if state.is_cold else 'usable'
