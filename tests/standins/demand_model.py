"""Models callers in several zones whose demand differs and changes.

The look-ups, the estimate of demand and the shares are those of the product;
callers, upstreams and the exchange of totals are simulated. Callers follow an
answer 2 to 6 s after it was given.
"""

import random
from collections import defaultdict, deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import EntryRecord, RegistryItem
from lycheedyke.state import Counters, RunTimeStats, Suspects, UpstreamTable
from lycheedyke.state.demand import TENTHS, ZoneTotal
from lycheedyke_daemon.gateway._lookup import LookupDirectory
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway.demand import DemandSteering
from standins.clock import ManualClock
from standins.records import make_route, make_routing, make_upstream

# Slots by zone: 49, 10 and 41 of 100 by region.
SLOTS: Mapping[str, int] = {
    'nc-a': 25,
    'nc-b': 24,
    'pnw-a': 5,
    'pnw-b': 5,
    'mt-a': 21,
    'mt-b': 20,
}
HOST = 'a'
SERVICE = 'desk'
SHIFT_MOST = 0.15
WINDOW_SECONDS = 2
STEP_SECONDS = 0.25
INSTANCES = 23
# Cores and Mbit/s.
LARGE_INSTANCES = 2
LARGE = (2.15, 200)
SMALL = (0.3, 10)
# Of callers that look up in each zone.
ADDRESSES = tuple(f'192.0.2.{at}' for at in range(48))
# When callers follow an answer.
EARLIEST_SECONDS = 2
LATEST_SECONDS = 6
# Of a measurement, and until it is known everywhere.
MEASURED_SECONDS = 1
EXCHANGE_SECONDS = 0.75

Shares = dict[str, dict[str, float]]
Demand = Callable[[str, float], float]


class Moment(NamedTuple):
    """What happens in one step.

    Attributes:
        at: seconds since the start.
        used: the share of each zone in the requests of each zone's callers.
        given: the shares of the look-up answers.
        loads: the requests per second that arrive at each zone.
        capacities: the requests per second that each zone can run.
    """

    at: float
    used: Shares
    given: Shares
    loads: dict[str, float]
    capacities: dict[str, float]


class DemandModel:
    """Zones of callers, and one instance that answers their look-ups.

    Args:
        demand: the requests per second of a zone's callers at a time.
        is_steered: whether the shares depend on demand.
        slots: the slots of each zone.
        utilization: the mean demand over the capacity.
        rng: makes the number of arrivals random; None for exact ones.
    """

    def __init__(
        self,
        demand: Demand,
        *,
        is_steered: bool = True,
        slots: Mapping[str, int] = SLOTS,
        utilization: float = 0.9,
        rng: random.Random | None = None,
    ) -> None:
        """Creates the instance and the callers."""
        self.clock = ManualClock()
        self.moments: list[Moment] = []
        # Zones whose totals are lost, until they are removed from here.
        self.silent: set[str] = set()
        self._demand = demand
        self._slots = slots
        self._utilization = utilization
        self._rng = rng
        self._zones = {zone: zone.partition('-')[0] for zone in slots}
        self._given: deque[Shares] = deque(
            maxlen=round(LATEST_SECONDS / STEP_SECONDS)
        )
        self._arrived: deque[dict[str, float]] = deque(
            maxlen=round((MEASURED_SECONDS + EXCHANGE_SECONDS) / STEP_SECONDS)
        )
        self._make_directory()
        self.steering = DemandSteering(self._totals, RunTimeStats(), self.clock)
        if is_steered:
            self.directory.steering = self.steering

    def run(self, seconds: float) -> list[Moment]:
        """Lets time pass; returns what happened in it."""
        steps = round(seconds / STEP_SECONDS)
        for _ in range(steps):
            self._step()
        return self.moments[-steps:]

    def _make_directory(self) -> None:
        table = UpstreamTable(self.clock)
        view = RegistryView(table, Suspects(self.clock), Counters(), self.clock)
        own = None
        for zone, region in self._zones.items():
            for at in range(INSTANCES):
                name = f'{zone}:{at}'
                strength = LARGE if at < LARGE_INSTANCES else SMALL
                own = EntryRecord(
                    name, 'run', zone, region, name, '', *strength
                )
                view.apply(RegistryItem(name, 1, own), None)
            table.apply(
                make_upstream(
                    f'upstream-{zone}', zone=zone, slots=self._slots[zone]
                )
            )
        assert own is not None
        routing = make_routing(1, make_route('/', host=HOST))
        view.apply(RegistryItem('routing', 1, routing), None)
        self.upstream_table = table
        self.directory = LookupDirectory(
            own,
            view,
            table,
            RunTimeStats(),
            self._zones,
            SHIFT_MOST,
            self.clock,
        )

    def _step(self) -> None:
        at = len(self.moments) * STEP_SECONDS
        self._given.append({zone: self._look_up(zone) for zone in self._slots})
        used = self._used()
        demand = {zone: self._demand(zone, at) for zone in self._slots}
        loads: defaultdict[str, float] = defaultdict(float)
        for zone, shares in used.items():
            for target, share in shares.items():
                loads[target] += demand[zone] * share
        self._arrived.append(
            {zone: self._count(loads[zone]) for zone in self._slots}
        )
        self.moments.append(
            Moment(at, used, self._given[-1], dict(loads), self._capacities())
        )
        self.clock.advance(STEP_SECONDS)

    def _look_up(self, zone: str) -> dict[str, float]:
        shares: defaultdict[str, float] = defaultdict(float)
        for caller in ADDRESSES:
            listed = self.directory.find(HOST, zone, caller)
            part = 1 / len(listed) / len(ADDRESSES)
            for address in listed:
                shares[address.partition(':')[0]] += part
        return dict(shares)

    def _used(self) -> Shares:
        """Returns the mean of the answers that callers follow now."""
        answers = list(self._given)
        followed = answers[: -round(EARLIEST_SECONDS / STEP_SECONDS)]
        followed = followed or answers[:1]
        return {
            zone: {
                target: sum(each[zone].get(target, 0) for each in followed)
                / len(followed)
                for target in self._slots
            }
            for zone in self._slots
        }

    def _count(self, rate: float) -> float:
        if self._rng is None:
            return rate
        mean = rate * STEP_SECONDS
        return max(0, self._rng.gauss(mean, mean**0.5)) / STEP_SECONDS

    def _capacities(self) -> dict[str, float]:
        mean = sum(self._demand(zone, 0) for zone in self._slots)
        total = sum(self._slots.values())
        return {
            zone: slots / total * mean / self._utilization
            for zone, slots in self._slots.items()
        }

    def _totals(self) -> list[ZoneTotal]:
        """Returns the mean arrivals of a second, as known some time later."""
        measured = list(self._arrived)[: round(MEASURED_SECONDS / STEP_SECONDS)]
        if not measured:
            return []
        return [
            ZoneTotal(
                zone,
                INSTANCES,
                self.clock.elapsed() - timedelta(seconds=EXCHANGE_SECONDS),
                {
                    SERVICE: round(
                        TENTHS
                        * sum(each[zone] for each in measured)
                        / len(measured)
                    )
                },
            )
            for zone in self._slots
            if zone not in self.silent
        ]


def overload(moments: list[Moment]) -> float:
    """Returns the requests that exceed the capacity of any zone."""
    return sum(
        max(0, load - moment.capacities[zone]) * STEP_SECONDS
        for moment in moments
        for zone, load in moment.loads.items()
    )


def regional_shares(shares: Mapping[str, float]) -> dict[str, float]:
    """Returns the shares by region."""
    found: defaultdict[str, float] = defaultdict(float)
    for zone, share in shares.items():
        found[zone.partition('-')[0]] += share
    return dict(found)


def most_moved(moments: list[Moment], *, given: bool = False) -> float:
    """Returns the maximum share of callers that change region in a window.

    Args:
        moments: what happened.
        given: whether the answers count, instead of the requests.
    """
    steps = round(WINDOW_SECONDS / STEP_SECONDS)
    most: float = 0
    for zone in moments[0].used:
        means = []
        for start in range(0, len(moments) - steps + 1, steps):
            found: defaultdict[str, float] = defaultdict(float)
            for moment in moments[start : start + steps]:
                shares = moment.given if given else moment.used
                for region, share in regional_shares(shares[zone]).items():
                    found[region] += share / steps
            means.append(dict(found))
        for before, after in zip(means, means[1:], strict=False):
            moved = sum(
                max(0, after.get(name, 0) - before.get(name, 0))
                for name in set(before) | set(after)
            )
            most = max(most, moved)
    return most
