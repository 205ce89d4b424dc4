"""The budget of repeats, which instances share without coordination."""

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock

# The share of the limit that is used. The rest covers the differences between
# the counts of the instances.
LIMIT_SHARE_USED = 0.8
SLICES = 10


class RepeatLimit(NamedTuple):
    """The limit of repeats in any window, for all instances together.

    Attributes:
        ratio: the repeats allowed for each request.
        window: the length of the window.
        extra: the additional repeats that do not depend on requests.
    """

    ratio: float
    window: timedelta
    extra: int


class RepeatBudget:
    """This instance's share of the repeats to one service.

    Each instance may make `ratio` repeats for each of its own requests in the
    window, and an equal share of `extra`. So the shares of all instances sum
    to the limit without any exchange between them.

    Args:
        limit: the limit.
        clock: the clock of the window.
    """

    def __init__(self, limit: RepeatLimit, clock: Clock) -> None:
        """Initializes the counts at zero."""
        self._limit = limit
        self._clock = clock
        self._requests = _WindowCount(limit.window, clock)
        self._repeats = _WindowCount(limit.window, clock)

    def __repr__(self) -> str:
        """Returns the repeats and requests in the window."""
        return f'<RepeatBudget {self._repeats.total}/{self._requests.total}>'

    def add_request(self) -> None:
        """Counts a request of a caller."""
        self._requests.add()

    def acquire(self, instances: int) -> bool:
        """Acquires one repeat, and returns whether it is allowed.

        Args:
            instances: the instances among which `extra` is divided.
        """
        if self.remaining(instances) < 1:
            return False
        self._repeats.add()
        return True

    def remaining(self, instances: int) -> int:
        """Returns the number of repeats that are allowed now.

        Args:
            instances: the instances among which `extra` is divided.
        """
        extra = self._limit.extra / max(1, instances)
        allowed = self._limit.ratio * self._requests.count() + extra
        return max(0, int(allowed * LIMIT_SHARE_USED) - self._repeats.count())


class _WindowCount:
    """Counts events in a sliding window of `SLICES` equal slices."""

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
        """Returns the number of events in the window that ends now."""
        self._drop_old()
        return self.total

    def _drop_old(self) -> int:
        index = self._clock.elapsed() // self._slice
        while self._slices and self._slices[0][0] <= index - SLICES:
            self.total -= self._slices.popleft()[1]
        return index
