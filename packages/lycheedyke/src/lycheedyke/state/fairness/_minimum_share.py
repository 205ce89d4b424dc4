"""Guarantees each kind of request and each tenant a part of the service."""

import random
from collections import OrderedDict
from datetime import timedelta

from lycheedyke.state._bounded import keep_recent
from lycheedyke.state.fairness._decay import DecayingSum

# The guaranteed part of the common rate. Above the required quarter, as some
# of what is let through is refused by upstreams.
GUARANTEED_PART = 0.3
MAX_NAMES = 512
RATE_TIME = timedelta(seconds=5)
MIN_CREDIT = -1.0
MAX_CREDIT = 2.0


class MinimumShare:
    """Tells which requests are due, as too few of their kind were served.

    For each request, its kind and its tenant gain the guaranteed part of the
    common rate as credit, and they spend 1 for each request that is admitted.
    Credits start at random, so that many instances which see few requests
    each admit the guaranteed part of all requests together.
    """

    def __init__(self) -> None:
        """Initializes without credits."""
        self._asked = DecayingSum(RATE_TIME)
        self._admitted = DecayingSum(RATE_TIME)
        self._credits: OrderedDict[str, float] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of credits."""
        return f'<MinimumShare of {len(self._credits)} names>'

    def record_arrival(self, names: tuple[str, ...], now: timedelta) -> None:
        """Records a request of a kind and a tenant."""
        self._asked.add(1, now)
        rate = min(1.0, self._admitted.at(now) / self._asked.at(now))
        for name in names:
            credit = self._credits.get(name)
            if credit is None:
                credit = random.random()
            credit = min(MAX_CREDIT, credit + GUARANTEED_PART * rate)
            keep_recent(self._credits, name, credit, MAX_NAMES)

    def is_due(self, names: tuple[str, ...]) -> bool:
        """Returns whether a request is needed for a guaranteed part."""
        return any(self._credits.get(name, 0) >= 1 for name in names)

    def record_admission(self, names: tuple[str, ...], now: timedelta) -> None:
        """Records that a request was admitted."""
        self._admitted.add(1, now)
        self._change(names, -1)

    def return_admission(self, names: tuple[str, ...]) -> None:
        """Records that a request did not run although it was admitted."""
        self._change(names, 1)

    def _change(self, names: tuple[str, ...], amount: int) -> None:
        for name in names:
            credit = self._credits.get(name)
            if credit is not None:
                credit = min(MAX_CREDIT, credit + amount)
                self._credits[name] = max(MIN_CREDIT, credit)
