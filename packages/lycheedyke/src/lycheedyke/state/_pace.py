"""The pace at which an upstream works, as it reports with its answers."""

import math
from datetime import timedelta

# The percentage at which requests take their usual time.
USUAL_PERCENT = 100
# A report is bounded to this range, so that a wrong one has a bounded effect.
MIN_FACTOR = 0.2
MAX_FACTOR = 10.0
# Upstreams change their pace every 0.6 s. So what a report says of the present
# decays with this time constant.
PACE_DECAY_TIME = timedelta(milliseconds=600)


class Pace:
    """The factor by which the run times of an upstream differ from usual.

    It is 1 until the upstream reports a pace, and returns to 1 as the last
    report ages.
    """

    def __init__(self) -> None:
        """Initializes the usual pace."""
        self.is_usual = True
        self._factor = 1.0
        self._reported_at = timedelta()

    def __repr__(self) -> str:
        """Returns the factor as it was reported."""
        return f'<Pace {self._factor:.2f}>'

    def record(self, percent: float, now: timedelta) -> None:
        """Records a reported pace.

        Args:
            percent: the run times as a percentage of the usual ones.
            now: the time of the report.
        """
        factor = percent / USUAL_PERCENT
        self._factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
        self._reported_at = now
        self.is_usual = self._factor == 1

    def factor_at(self, now: timedelta) -> float:
        """Returns the factor that is expected at a time."""
        if self.is_usual:
            return 1
        age = (now - self._reported_at) / PACE_DECAY_TIME
        # The power is no call, of which each choice makes many.
        weight: float = math.e**-age
        return 1 + (self._factor - 1) * weight

    def mean_factor(self, run: timedelta, now: timedelta) -> float:
        """Returns the expected mean factor of a run that ended just now.

        The report that came with its answer says as little of the time before
        it as of the time after it.

        Args:
            run: the duration of the run.
            now: the time of its end.
        """
        periods = run / PACE_DECAY_TIME
        if periods <= 0:
            return self.factor_at(now)
        share = (1 - math.exp(-periods)) / periods
        return 1 + (self.factor_at(now) - 1) * share

    def reset(self) -> None:
        """Forgets the last report."""
        self.is_usual = True
        self._factor = 1.0
