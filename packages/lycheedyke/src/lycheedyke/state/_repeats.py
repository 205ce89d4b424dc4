"""The budget of repeats that all instances share without talking."""

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock

# Keeps the sum below the bound where instances count a little apart.
SHARE_USED = 0.8
SLICES = 10


class RepeatLimit(NamedTuple):
    """The bound on repeats in any window, for all instances together.

    Attributes:
        ratio: repeats for each request.
        window: the length of the window.
        extra: repeats beyond that.
    """

    ratio: float
    window: timedelta
    extra: int


class RepeatBudget:
    """This instance's part of the repeats to one service.

    Each instance may repeat `ratio` times its own requests in the window,
    and an even part of `extra`; so the parts of all sum to the bound,
    whatever they know of each other.

    Args:
        terms: the bound.
        clock: the time.
    """

    def __init__(self, terms: RepeatLimit, clock: Clock) -> None:
        """Starts with nothing counted."""
        self._terms = terms
        self._clock = clock
        self._requests = _WindowCount(terms.window, clock)
        self._repeats = _WindowCount(terms.window, clock)

    def __repr__(self) -> str:
        """Returns the repeats and requests in the window."""
        return f'<RepeatBudget {self._repeats.total}/{self._requests.total}>'

    def add_request(self) -> None:
        """Counts a caller's request."""
        self._requests.add()

    def acquire(self, instances: int) -> bool:
        """Takes one repeat; returns whether it is allowed.

        Args:
            instances: the instances among which `extra` is divided.
        """
        if self.remaining(instances) < 1:
            return False
        self._repeats.add()
        return True

    def remaining(self, instances: int) -> int:
        """Returns the repeats that are allowed now.

        Args:
            instances: the instances among which `extra` is divided.
        """
        extra = self._terms.extra / max(1, instances)
        allowed = self._terms.ratio * self._requests.count() + extra
        return max(0, int(allowed * SHARE_USED) - self._repeats.count())


class _WindowCount:
    """Counts events in a sliding window, in slices of a tenth of it."""

    def __init__(self, window: timedelta, clock: Clock) -> None:
        self.total = 0
        self._slice = window / SLICES
        self._clock = clock
        self._slices: deque[list[int]] = deque()

    def add(self) -> None:
        """Counts an event now."""
        index = self._drop_old()
        if not self._slices or self._slices[-1][0] != index:
            self._slices.append([index, 0])
        self._slices[-1][1] += 1
        self.total += 1

    def count(self) -> int:
        """Returns the events in the window that ends now."""
        self._drop_old()
        return self.total

    def _drop_old(self) -> int:
        index = self._clock.elapsed() // self._slice
        while self._slices and self._slices[0][0] <= index - SLICES:
            self.total -= self._slices.popleft()[1]
        return index
