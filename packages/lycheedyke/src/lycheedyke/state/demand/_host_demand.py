"""Estimates the demand of the callers of each zone from arrivals."""

import math
from collections import defaultdict
from collections.abc import Mapping
from datetime import timedelta

from lycheedyke.state.demand._forecast import Forecast

# Callers follow an answer after 2 to 6 s.
FOLLOW_TIME = timedelta(seconds=4)
AHEAD = timedelta(seconds=4)
# The shares that callers use lag in so many stages behind the answers. Fewer
# stages spread the delay over more than 2 to 6 s, and shares swing.
STAGES = 16
STEPS = 5
# A step can't raise a demand from zero.
MIN_FRACTION = 0.01
# If less of a zone's callers go to zones with known arrivals, their demand is
# not known.
MIN_OBSERVED = 0.5
# The time over which demand is averaged, to decide whether it is even.
SETTLED_TIME = timedelta(seconds=4)
# Where fewer callers come to their own zone, the others tell of them as well.
MIN_OWN_SHARE = 0.1
# Random differences are rarely greater than so many standard deviations.
NOISE_DEVIATIONS = 3

Shares = Mapping[str, Mapping[str, float]]


class HostDemand:
    """The demand for one host, by the zone of the callers.

    A request does not tell the zone of its caller. The demand is estimated
    from the arrivals at the instances of each zone and from the shares that
    look-ups gave lately: each step multiplies it with the mean ratio of
    measured to expected arrivals where its callers go (Richardson-Lucy).

    Args:
        regions: the region of each zone.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        """Starts with unknown demand."""
        self._regions = regions
        self._delayed: list[Shares] = [{} for _ in range(STAGES)]
        self._demand: dict[str, float] = {}
        # Zones of a region follow the same times of day: the trend of a region
        # is measured with less noise than that of a zone.
        self._forecasts: dict[str, Forecast] = {}
        self._levels: dict[str, Forecast] = {}
        self._settled: dict[str, float] = {}
        self._updated_at: timedelta | None = None
        self._age = timedelta()

    def __repr__(self) -> str:
        """Returns the number of zones with known demand."""
        return f'<HostDemand of {len(self._levels)} zones>'

    @property
    def present(self) -> dict[str, float]:
        """The demand of each zone whose demand is known."""
        return {zone: each.level for zone, each in self._levels.items()}

    @property
    def settled(self) -> dict[str, float]:
        """The mean demand of each zone over some seconds."""
        return dict(self._settled)

    @property
    def predicted(self) -> dict[str, float]:
        """The expected demand of each zone, when callers follow an answer."""
        growth = {
            region: each.growth(self._age + AHEAD)
            for region, each in self._forecasts.items()
        }
        return {
            zone: each * growth[self._region(zone)]
            for zone, each in self.present.items()
        }

    def update(
        self,
        arrivals: Mapping[str, float],
        given: Shares,
        age: timedelta,
        now: timedelta,
    ) -> None:
        """Adds a measurement.

        Args:
            arrivals: the demand that arrives at each zone; a zone that is not
                named has no known arrivals.
            given: the shares of the answers to the callers of each zone.
            age: how long ago the requests arrived, on average.
            now: the time.
        """
        self._age = age
        seconds = self._follow(given, now)
        demand = self._estimate(arrivals)
        gain = seconds / (seconds + SETTLED_TIME.total_seconds())
        even = sum(demand.values()) / max(1, len(demand))
        self._settled = {
            zone: (1 - gain) * self._settled.get(zone, even) + gain * each
            for zone, each in demand.items()
        }
        by_region: defaultdict[str, float] = defaultdict(float)
        for zone, each in demand.items():
            by_region[self._region(zone)] += each
        _update(self._levels, demand, now)
        _update(self._forecasts, by_region, now)

    def _region(self, zone: str) -> str:
        return self._regions.get(zone, zone)

    def _follow(self, given: Shares, now: timedelta) -> float:
        """Moves the shares that callers use towards those that are given.

        Returns:
            The seconds since the measurement before.
        """
        if self._updated_at is None:
            self._updated_at = now
        seconds = (now - self._updated_at).total_seconds()
        self._updated_at = now
        delay = (FOLLOW_TIME + self._age).total_seconds() / STAGES
        # The mean delay of a stage is exact for this gain, at any interval.
        gain = seconds / (seconds + delay)
        shares = given
        for at, before in enumerate(self._delayed):
            self._delayed[at] = _approach(before, shares, gain)
            shares = self._delayed[at]
        return seconds

    @property
    def _shares(self) -> Shares:
        """The shares that callers used when the requests arrived."""
        return self._delayed[-1]

    def _estimate(self, arrivals: Mapping[str, float]) -> dict[str, float]:
        known = [
            zone
            for zone, shares in self._shares.items()
            if _observed(shares, arrivals) >= MIN_OBSERVED
        ]
        total = sum(arrivals.values())
        if not known or total <= 0:
            self._demand = {}
            return {}
        least = MIN_FRACTION * total / len(known)
        even = total / len(known)
        demand = {
            zone: max(self._demand.get(zone, even), least) for zone in known
        }
        for _ in range(STEPS):
            demand = self._step(demand, arrivals)
        self._demand = demand
        return demand

    def _step(
        self,
        demand: Mapping[str, float],
        arrivals: Mapping[str, float],
    ) -> dict[str, float]:
        expected = {
            target: sum(
                each * self._shares[zone].get(target, 0)
                for zone, each in demand.items()
            )
            for target in arrivals
        }
        ratios = {
            target: arrivals[target] / sent
            for target, sent in expected.items()
            if sent > 0
        }
        return {
            name: present * _mean_ratio(self._shares[name], ratios)
            for name, present in demand.items()
        }


def noise_of(requests_per_s: float, given: Shares) -> float:
    """Returns the relative difference of zones that may be by chance.

    Args:
        requests_per_s: the requests of all zones together.
        given: the shares of each zone's callers. The less of them come to
            their own zone, the less is known of them.
    """
    if requests_per_s <= 0 or not given:
        return math.inf
    least = min(row.get(zone, 0) for zone, row in given.items())
    least = max(least, MIN_OWN_SHARE)
    rate = requests_per_s * least / len(given)
    return NOISE_DEVIATIONS / math.sqrt(rate * SETTLED_TIME.total_seconds())


def _update(
    forecasts: dict[str, Forecast],
    measured: Mapping[str, float],
    now: timedelta,
) -> None:
    for name in set(forecasts) - set(measured):
        forecasts.pop(name)
    for name, each in measured.items():
        forecasts.setdefault(name, Forecast()).update(each, now)


def _mean_ratio(
    shares: Mapping[str, float], ratios: Mapping[str, float]
) -> float:
    """Returns the mean ratio of the zones that callers go to."""
    total = sum(shares.get(zone, 0) for zone in ratios)
    if total <= 0:
        return 1
    return (
        sum(shares.get(zone, 0) * ratio for zone, ratio in ratios.items())
        / total
    )


def _observed(
    shares: Mapping[str, float], arrivals: Mapping[str, float]
) -> float:
    return sum(share for zone, share in shares.items() if zone in arrivals)


def _approach(
    before: Mapping[str, Mapping[str, float]], target: Shares, gain: float
) -> dict[str, dict[str, float]]:
    moved: dict[str, dict[str, float]] = {}
    for zone, shares in target.items():
        held = before.get(zone, shares)
        moved[zone] = {
            name: (1 - gain) * held.get(name, 0) + gain * shares.get(name, 0)
            for name in set(held) | set(shares)
        }
    return moved
