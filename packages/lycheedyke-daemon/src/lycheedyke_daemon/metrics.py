"""Metrics of one instance in the usual text format."""

from collections.abc import Iterator

from prometheus_client.metrics_core import GaugeMetricFamily, Metric

from lycheedyke.coordination import Members
from lycheedyke.state import Counters
from lycheedyke_daemon.metric_families import (
    count_events,
    list_latencies,
    plain_gauge,
)
from lycheedyke_daemon.runner import Runner


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
        yield plain_gauge(
            'lycheedyke_ticket',
            'Number of the newest ticket in force.',
            self._members.ticket,
        )
        yield plain_gauge(
            'lycheedyke_live_peers',
            'Other instances heard lately.',
            len(self._members.live()),
        )
        yield count_events(self._counters)
        yield list_latencies(self._counters)
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
