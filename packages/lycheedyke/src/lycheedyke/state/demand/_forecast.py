"""Predicts a demand from its level and trend (Holt's method, damped)."""

import math
from datetime import timedelta

# Longer times lag behind a demand with a period of 36 s; shorter ones follow the
# noise of single measurements.
LEVEL_TIME = timedelta(seconds=1)
TREND_TIME = timedelta(seconds=1)
# The part of a trend that is taken to last. With 0.8, shares under a steady
# demand swing: an error of the estimate looks like a trend.
DAMPING = 0.6
# A trend from fewer measurements is mostly noise.
MIN_MEASUREMENTS = 3
MIN_FACTOR = 0.5
MAX_FACTOR = 1.5


class Forecast:
    """The level and the trend of one demand."""

    def __init__(self) -> None:
        """Starts without measurements."""
        self.level: float = 0
        self._trend: float = 0
        self._measurements = 0
        self._updated_at = timedelta()

    def __repr__(self) -> str:
        """Returns the level and the trend per second."""
        return f'<Forecast {self.level:.3g} {self._trend:+.3g}/s>'

    def update(self, measured: float, now: timedelta) -> None:
        """Adds a measurement.

        Args:
            measured: the demand, in any unit.
            now: the time of the measurement, later than the one before.
        """
        seconds = (now - self._updated_at).total_seconds()
        self._updated_at = now
        self._measurements += 1
        if self._measurements == 1:
            self.level = measured
            return
        if seconds <= 0:
            return
        before = self.level
        expected = before + self._trend * seconds
        self.level = max(
            0, expected + _gain(seconds, LEVEL_TIME) * (measured - expected)
        )
        slope = (self.level - before) / seconds
        self._trend += _gain(seconds, TREND_TIME) * (slope - self._trend)

    def growth(self, ahead: timedelta) -> float:
        """Returns the factor by which the demand is expected to change.

        Args:
            ahead: how long after the last measurement.
        """
        if self._measurements < MIN_MEASUREMENTS or self.level <= 0:
            return 1
        change = DAMPING * self._trend * ahead.total_seconds()
        return min(max(1 + change / self.level, MIN_FACTOR), MAX_FACTOR)


def _gain(seconds: float, constant: timedelta) -> float:
    """Returns the weight of a measurement after a time without one."""
    return 1 - math.exp(-seconds / constant.total_seconds())
