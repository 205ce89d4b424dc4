"""Estimates the demand of the callers of each zone from arrivals."""

import math
from collections.abc import Mapping
from datetime import timedelta

from lycheedyke.state.demand._forecast import Forecast

# Callers follow an answer after 2 to 6 s.
FOLLOW_TIME = timedelta(seconds=4)
AHEAD = timedelta(seconds=4)
# The shares that callers use lag in so many stages behind the answers.
STAGES = 4
STEPS = 5
# A step can't raise a demand from zero.
MIN_FRACTION = 0.01
# If less of a zone's callers go to zones with known arrivals, their demand is
# not known.
MIN_OBSERVED = 0.5
# The time over which the random number of arrivals is averaged.
NOISE_TIME = timedelta(seconds=3)
# Random differences are rarely greater than so many standard deviations.
NOISE_DEVIATIONS = 3

Shares = Mapping[str, Mapping[str, float]]


class HostDemand:
    """The demand for one host, by the zone of the callers.

    A request does not tell the zone of its caller. The demand is estimated
    from the arrivals at the instances of each zone and from the shares that
    look-ups gave lately: each step multiplies it with the mean ratio of
    measured to expected arrivals where its callers go (Richardson-Lucy).
    """

    def __init__(self) -> None:
        """Starts with unknown demand."""
        self._delayed: list[Shares] = [{} for _ in range(STAGES)]
        self._demand: dict[str, float] = {}
        self._forecasts: dict[str, Forecast] = {}
        self._updated_at: timedelta | None = None
        self._age = timedelta()

    def __repr__(self) -> str:
        """Returns the number of zones with known demand."""
        return f'<HostDemand of {len(self._forecasts)} zones>'

    @property
    def present(self) -> dict[str, float]:
        """The demand of each zone whose demand is known."""
        return {zone: each.level for zone, each in self._forecasts.items()}

    @property
    def predicted(self) -> dict[str, float]:
        """The expected demand of each zone, when callers follow an answer."""
        return {
            zone: each.predict(self._age + AHEAD)
            for zone, each in self._forecasts.items()
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
        self._follow(given, now)
        demand = self._estimate(arrivals)
        for zone in set(self._forecasts) - set(demand):
            self._forecasts.pop(zone)
        for zone, each in demand.items():
            self._forecasts.setdefault(zone, Forecast()).update(each, now)

    def _follow(self, given: Shares, now: timedelta) -> None:
        """Moves the shares that callers use towards those that are given."""
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


def noise_of(requests_per_s: float, zones: int) -> float:
    """Returns the relative difference of zones that may be by chance.

    Args:
        requests_per_s: the requests of all zones together.
        zones: the number of zones.
    """
    if requests_per_s <= 0 or zones <= 0:
        return math.inf
    count = requests_per_s / zones * NOISE_TIME.total_seconds()
    return NOISE_DEVIATIONS / math.sqrt(count)


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
