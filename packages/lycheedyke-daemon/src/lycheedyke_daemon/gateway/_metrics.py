"""What an instance that follows a registry believes, as metrics."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client.metrics_core import GaugeMetricFamily, Metric

from lycheedyke.coordination import RegistryFollower
from lycheedyke.state import Counters, UpstreamState, UpstreamTable
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.metric_families import (
    event_counters,
    latency_percentiles,
    unlabelled_gauge,
)
from lycheedyke_daemon.stopping import RequestTracker


class GatewayCollector:
    """Collects beliefs, counters and latencies at each scrape.

    Args:
        counters: the counters and latencies.
        beliefs: the configuration and the entry instances.
        fleet: the upstreams.
        follower: the age of the news.
        gate: the requests in flight.
    """

    def __init__(
        self,
        counters: Counters,
        beliefs: RegistryView,
        fleet: UpstreamTable,
        follower: RegistryFollower,
        gate: RequestTracker,
    ) -> None:
        """Makes a collector over the parts of one instance."""
        self._counters = counters
        self._beliefs = beliefs
        self._fleet = fleet
        self._follower = follower
        self._gate = gate

    def __repr__(self) -> str:
        """Returns the beliefs."""
        return f'<GatewayCollector of {self._beliefs!r}>'

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""
        yield unlabelled_gauge(
            'lycheedyke_version',
            'Number of the configuration in force.',
            self._beliefs.number,
        )
        yield unlabelled_gauge(
            'lycheedyke_news_age_seconds',
            'Time since the registry told what is known here.',
            self._follower.age.total_seconds(),
        )
        yield unlabelled_gauge(
            'lycheedyke_entries',
            'Entry instances that callers may be sent to.',
            len(self._beliefs.active_entries()),
        )
        yield unlabelled_gauge(
            'lycheedyke_in_flight',
            'Requests of callers that are not answered yet.',
            self._gate.in_flight,
        )
        yield self._upstreams()
        yield event_counters(self._counters)
        yield latency_percentiles(self._counters)

    def _upstreams(self) -> Metric:
        family = GaugeMetricFamily(
            'lycheedyke_upstreams',
            'Upstreams by service and state.',
            labels=('service', 'state'),
        )
        counts = Counter(
            (state.record.service, _name_state(state))
            for state in self._fleet.all()
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
