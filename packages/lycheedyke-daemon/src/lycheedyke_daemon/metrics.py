"""Metrics of one instance in the usual text format."""

from collections.abc import Iterator

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from lycheedyke.coordination import Members
from lycheedyke.protocol import Reason
from lycheedyke.state import Counters
from lycheedyke_daemon.runner import Runner

METRICS_PATH = '/metrics'


class InstanceCollector:
    """Collects the counters, latencies and loads at each scrape.

    Args:
        counters: the counters and latencies.
        members: the live peers and the ticket in force.
        runner: the loads of the owned upstreams.
    """

    def __init__(
        self,
        counters: Counters,
        members: Members,
        runner: Runner,
    ) -> None:
        """Makes a collector over the parts of one instance."""
        self._counters = counters
        self._members = members
        self._runner = runner

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<InstanceCollector of {self._members.own.name}>'

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""
        yield _plain_gauge(
            'lycheedyke_ticket',
            'Number of the newest ticket in force.',
            self._members.ticket,
        )
        yield _plain_gauge(
            'lycheedyke_live_peers',
            'Other instances heard lately.',
            len(self._members.live()),
        )
        yield self._events()
        yield self._latencies()
        yield from self._loads()

    def _events(self) -> Metric:
        family = CounterMetricFamily(
            'lycheedyke_events',
            'Events by name; each refusal and retry reason is one.',
            labels=('event',),
        )
        expected = dict.fromkeys(refusal_names(), 0)
        for name, count in {**expected, **self._counters.counts}.items():
            family.add_metric((name,), count)
        return family

    def _latencies(self) -> Metric:
        family = GaugeMetricFamily(
            'lycheedyke_latency_ms',
            'Latency percentiles by service, in milliseconds.',
            labels=('service', 'percentile'),
        )
        for service, percentiles in self._counters.latencies().items():
            for percentile, latency in percentiles.items():
                family.add_metric((service, percentile), latency)
        return family

    def _loads(self) -> Iterator[Metric]:
        loads = self._runner.loads()
        for field in ('in_flight', 'waiting', 'limit'):
            family = GaugeMetricFamily(
                f'lycheedyke_upstream_{field}',
                f'Requests {field} at each owned upstream.',
                labels=('upstream',),
            )
            for load in loads:
                family.add_metric((load.upstream,), getattr(load, field))
            yield family


class MetricsApi:
    """Serves the metrics of one instance.

    Args:
        collector: collects them.
    """

    def __init__(self, collector: InstanceCollector) -> None:
        """Makes the API over a collector."""
        self._registry = CollectorRegistry()
        self._registry.register(collector)

    def __repr__(self) -> str:
        """Returns the path."""
        return f'<MetricsApi at {METRICS_PATH}>'

    async def scrape(self, request: web.Request) -> web.Response:
        """Answers with the metrics in the text format."""
        return web.Response(
            body=generate_latest(self._registry),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )


def refusal_names() -> Iterator[str]:
    """Yields the counter names of all refusals and retries."""
    for kind in ('not-run', 'unknown', 'retry'):
        for reason in Reason:
            yield f'{kind}.{reason.value}'


def _plain_gauge(name: str, text: str, number: float) -> Metric:
    return GaugeMetricFamily(name, text, value=number)
