"""Sums that decay with time."""

import math
from collections import OrderedDict
from datetime import timedelta

from lycheedyke.state._bounded import keep_recent


class DecayingSum:
    """A sum whose parts decay exponentially.

    Args:
        constant: the time constant of the decay.
    """

    def __init__(self, constant: timedelta) -> None:
        """Initializes the sum at zero."""
        self._constant = constant
        self._sum: float = 0
        self._at = timedelta()

    def __repr__(self) -> str:
        """Returns the sum when it was last changed."""
        return f'<DecayingSum {self._sum:.3f}>'

    def add(self, amount: float, now: timedelta) -> None:
        """Adds an amount at a time of the clock."""
        self._sum = self.at(now) + amount
        self._at = now

    def at(self, now: timedelta) -> float:
        """Returns the sum at a time of the clock."""
        if not self._sum:
            return 0
        return self._sum * math.exp(-max(0, (now - self._at) / self._constant))


class DecayingSums:
    """Decaying sums by name, of which the least recently used are dropped.

    Args:
        constant: the time constant of the decay.
        most: the maximum number of sums.
    """

    def __init__(self, constant: timedelta, most: int) -> None:
        """Initializes without sums."""
        self._constant = constant
        self._most = most
        self._sums: OrderedDict[str, DecayingSum] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of sums."""
        return f'<DecayingSums of {len(self._sums)} names>'

    def add(self, name: str, amount: float, now: timedelta) -> None:
        """Adds an amount to the sum of a name."""
        found = self._sums.get(name) or DecayingSum(self._constant)
        keep_recent(self._sums, name, found, self._most).add(amount, now)

    def at(self, name: str, now: timedelta) -> float:
        """Returns the sum of a name, 0 without any."""
        found = self._sums.get(name)
        return 0 if found is None else found.at(now)

    def all_at(self, now: timedelta) -> dict[str, float]:
        """Returns all sums by name."""
        return {name: each.at(now) for name, each in self._sums.items()}
