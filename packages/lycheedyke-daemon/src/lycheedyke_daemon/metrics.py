"""Metrics of one instance."""

from collections.abc import Iterator

from prometheus_client.metrics_core import GaugeMetricFamily, Metric

from lycheedyke.coordination import Members
from lycheedyke.state import Counters
from lycheedyke_daemon.metric_families import (
    event_counters,
    latency_percentiles,
    unlabelled_gauge,
)
from lycheedyke_daemon.upstream_runner import UpstreamRunner


class InstanceCollector:
    """Collects the counters, latencies and loads at each scrape.

    Args:
        counters: the counters and latencies.
        members: provides the live peers and the ticket in force.
        runner: provides the loads of the owned upstreams.
    """

    def __init__(
        self,
        counters: Counters,
        members: Members,
        runner: UpstreamRunner,
    ) -> None:
        """Initializes the collector."""
        self._counters = counters
        self._members = members
        self._runner = runner

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<InstanceCollector of {self._members.own.name}>'

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""
        yield unlabelled_gauge(
            'lycheedyke_ticket',
            'Number of the newest ticket in force.',
            self._members.ticket,
        )
        yield unlabelled_gauge(
            'lycheedyke_live_peers',
            'Other instances heard lately.',
            len(self._members.live()),
        )
        yield event_counters(self._counters)
        yield latency_percentiles(self._counters)
        yield from self._loads()

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
