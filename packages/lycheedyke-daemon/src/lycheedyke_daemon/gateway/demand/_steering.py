"""Determines the shares of callers from the predicted demand of hosts."""

import logging
from collections.abc import Callable, Collection, Mapping
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.state import RunTimeStats, ZoneCapacity
from lycheedyke.state.demand import (
    EVEN_TOLERANCE,
    MEASURED_TIME,
    TENTHS,
    HostDemand,
    Shares,
    ZoneTotal,
    deviation_of,
    noise_of,
    steer_shares,
)
from lycheedyke_daemon.gateway.lookups import step_after

UPDATE_INTERVAL = timedelta(milliseconds=500)
LOG_INTERVAL = timedelta(seconds=10)
# Demand has to exceed the tolerance by so much before callers are steered by
# it; if it is noise that determines the tolerance, they are steered until it is
# below half of it. Otherwise a demand near the tolerance would move them to and fro.
HYSTERESIS = 0.05
# Of hosts whose demand is followed; the others have static shares.
MAX_HOSTS = 64

_logger = logging.getLogger(__name__)


class DemandSteering:
    """Follows the demand of the callers of each host.

    Args:
        totals: returns the requests that arrive at each zone.
        times: provides the run times of the services.
        clock: the time source.
    """

    def __init__(
        self,
        totals: Callable[[], Collection[ZoneTotal]],
        times: RunTimeStats,
        clock: Clock,
    ) -> None:
        """Starts without hosts."""
        self._totals = totals
        self._times = times
        self._clock = clock
        self._hosts: dict[str, _Host] = {}

    def __repr__(self) -> str:
        """Returns the number of hosts."""
        return f'<DemandSteering of {len(self._hosts)} hosts>'

    def update(
        self,
        host: str,
        services: Collection[str],
        given: Shares,
        capacities: Collection[ZoneCapacity],
        shift_most: float,
    ) -> None:
        """Measures the demand of a host, and determines the next shares.

        Args:
            host: the host.
            services: the services of its routes.
            given: the shares of the answers to the callers of each zone.
            capacities: the capacity of each zone.
            shift_most: the maximum fraction of the callers that may change
                their region in a window.
        """
        found = self._hosts.get(host)
        if found is None:
            if len(self._hosts) >= MAX_HOSTS:
                return
            found = _Host({each.zone: each.region for each in capacities})
            self._hosts[host] = found
        now = self._clock.elapsed()
        if now - found.updated_at >= UPDATE_INTERVAL:
            found.updated_at = now
            self._measure(found, services, given)
            self._log(host, found, given)
        step = step_after(now - found.moved_at, shift_most)
        found.moved_at = now
        predicted = found.demand.predicted
        deviation = deviation_of(given.keys(), found.demand.settled)
        least = found.tolerance + HYSTERESIS
        if found.targets:
            least = max(EVEN_TOLERANCE, found.tolerance / 2)
        if predicted and deviation > least:
            found.targets = steer_shares(given, capacities, predicted, step)
        else:
            found.targets = {}

    def retain(self, hosts: Collection[str]) -> None:
        """Drops all hosts but these."""
        for host in set(self._hosts) - set(hosts):
            self._hosts.pop(host)

    def target(self, host: str, zone: str) -> dict[str, float] | None:
        """Returns the next shares of a zone's callers.

        Returns:
            None if they do not depend on demand: it is even or not known.
        """
        found = self._hosts.get(host)
        return None if found is None else found.targets.get(zone)

    def _measure(
        self, found: '_Host', services: Collection[str], given: Shares
    ) -> None:
        now = self._clock.elapsed()
        totals = self._totals()
        found.arrivals = {
            total.zone: self._work(total, services) for total in totals
        }
        ages = sum((now - each.measured_at for each in totals), timedelta())
        age = ages / max(1, len(totals)) + MEASURED_TIME / 2
        found.demand.update(found.arrivals, given, age, now)
        requests = sum(
            total.rates.get(name, 0) for total in totals for name in services
        )
        found.tolerance = max(
            EVEN_TOLERANCE, noise_of(requests / TENTHS, given)
        )

    def _work(self, total: ZoneTotal, services: Collection[str]) -> float:
        """Returns the requests of a zone as slots that they occupy."""
        return sum(
            total.rates.get(name, 0)
            / TENTHS
            * self._times.of_service(name).total_seconds()
            for name in services
        )

    def _log(
        self,
        host: str,
        found: '_Host',
        given: Shares,
    ) -> None:
        now = self._clock.elapsed()
        if now - found.logged_at < LOG_INTERVAL or not found.demand.present:
            return
        found.logged_at = now
        _logger.info(
            'demand of zones',
            extra={
                'host': host,
                'arrivals': _rounded(found.arrivals),
                'measured': _rounded(found.demand.present),
                'predicted': _rounded(found.demand.predicted),
                'tolerance': round(found.tolerance, 2),
                'decided': {
                    zone: _rounded(shares) for zone, shares in given.items()
                },
            },
        )


class _Host:
    """The demand of one host.

    Attributes:
        demand: the estimate.
        arrivals: the measured work that arrives at each zone, in slots.
        targets: the next shares of each zone's callers; empty if they do not
            depend on demand.
        tolerance: the difference from an even demand that may be by chance.
        moved_at: when the shares were determined last.
        updated_at: when it was measured last.
        logged_at: when it was logged last.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        self.demand = HostDemand(regions)
        self.arrivals: dict[str, float] = {}
        self.targets: dict[str, dict[str, float]] = {}
        self.tolerance = EVEN_TOLERANCE
        self.moved_at = timedelta()
        self.updated_at = -UPDATE_INTERVAL
        self.logged_at = -LOG_INTERVAL


def _rounded(figures: Mapping[str, float]) -> dict[str, float]:
    return {name: round(each, 2) for name, each in sorted(figures.items())}
