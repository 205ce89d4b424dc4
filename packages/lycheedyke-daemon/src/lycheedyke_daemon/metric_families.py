"""Metrics that both kinds of instances export, and their HTTP handler."""

from collections.abc import Iterator
from typing import Protocol

from aiohttp import web
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from lycheedyke.protocol import Reason
from lycheedyke.state import Counters

METRICS_PATH = '/metrics'


class MetricsCollector(Protocol):
    """Collects the metrics of one instance at each scrape."""

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""


class MetricsApi:
    """Serves the metrics of one instance.

    Args:
        collector: yields the metrics at each scrape.
    """

    def __init__(self, collector: MetricsCollector) -> None:
        """Registers the collector."""
        self._registry = CollectorRegistry()
        self._registry.register(collector)

    def __repr__(self) -> str:
        """Returns the path of the metrics."""
        return f'<MetricsApi at {METRICS_PATH}>'

    async def scrape(self, request: web.Request) -> web.Response:
        """Returns the metrics in the text format of Prometheus."""
        return web.Response(
            body=generate_latest(self._registry),
            headers={'Content-Type': CONTENT_TYPE_LATEST},
        )


def event_counters(counters: Counters) -> Metric:
    """Returns all counters, with 0 for reasons that have not occurred."""
    family = CounterMetricFamily(
        'lycheedyke_events',
        'Events by name; each refusal and retry reason is one.',
        labels=('event',),
    )
    zeros = dict.fromkeys(refusal_counter_names(), 0)
    for name, count in {**zeros, **counters.counts}.items():
        family.add_metric((name,), count)
    return family


def latency_percentiles(counters: Counters) -> Metric:
    """Returns the latency percentiles of each service."""
    family = GaugeMetricFamily(
        'lycheedyke_latency_ms',
        'Latency percentiles by service, in milliseconds.',
        labels=('service', 'percentile'),
    )
    for service, percentiles in counters.latencies().items():
        for percentile, latency in percentiles.items():
            family.add_metric((service, percentile), latency)
    return family


def unlabelled_gauge(name: str, text: str, number: float) -> Metric:
    """Returns a gauge without labels."""
    return GaugeMetricFamily(name, text, value=number)


def refusal_counter_names() -> Iterator[str]:
    """Yields the counter names of all refusals and retries."""
    for kind in ('not-run', 'unknown', 'retry'):
        for reason in Reason:
            yield f'{kind}.{reason.value}'
