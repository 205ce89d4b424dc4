"""The adaptive concurrency limit of an upstream.

The limit starts at one request and doubles with each round of answers up to
a threshold (slow start). Then it rises by one for each round of as many
answers as the limit (additive increase). It is lowered when the upstream sheds
load. An upstream that fails repeatedly is ejected for a while, and then tried
with one request.
"""

import random
from datetime import timedelta

from lycheedyke.clock import Clock

START_LIMIT = 1
SHED_FACTOR = 0.7
SHED_INTERVAL = timedelta(milliseconds=100)
FAILURES_BEFORE_EJECTION = 3
MIN_PAUSE = timedelta(milliseconds=500)
MAX_PAUSE = timedelta(seconds=30)


class ConcurrencyLimiter:
    """Limits the requests in flight at one upstream by its outcomes.

    Args:
        slots: the maximum of the limit.
        clock: the clock that measures ejections.
    """

    def __init__(self, slots: int, clock: Clock) -> None:
        """Initializes the limiter in slow start."""
        self._slots = slots
        self._clock = clock
        self._window = float(START_LIMIT)
        self._threshold = float(slots)
        self._failures = 0
        self._ejections = 0
        self._ejected_until: timedelta | None = None
        self._shed_until = timedelta()

    def __repr__(self) -> str:
        """Returns the limit and its maximum."""
        return f'<ConcurrencyLimiter {self.limit}/{self._slots}>'

    @property
    def limit(self) -> int:
        """The number of requests that may be in flight."""
        if self._ejected_until is not None:
            return START_LIMIT
        return max(START_LIMIT, int(self._window))

    @property
    def usable(self) -> bool:
        """Whether the upstream may get requests, or one trial request."""
        if self._ejected_until is None:
            return True
        return self._clock.elapsed() >= self._ejected_until

    @property
    def may_queue(self) -> bool:
        """Whether requests may wait for the upstream."""
        return self._ejected_until is None

    def resize(self, slots: int) -> None:
        """Sets the maximum of the limit."""
        if slots > self._slots:
            self._threshold = float(slots)
        self._slots = slots
        self._window = min(self._window, float(max(START_LIMIT, slots)))

    def restart(self) -> None:
        """Returns to slow start, after other instances used the upstream."""
        self._window = float(START_LIMIT)

    def record_answer(self) -> None:
        """Records a complete answer."""
        self._failures = 0
        if self._ejected_until is not None:
            self._ejected_until = None
            self._ejections = 0
            self._window = float(START_LIMIT)
        increase = 1 if self._window < self._threshold else 1 / self._window
        self._window = min(self._window + increase, float(self._slots))

    def record_overload(self) -> None:
        """Records that the upstream refused a request for overload."""
        now = self._clock.elapsed()
        if now < self._shed_until:
            return
        self._shed_until = now + SHED_INTERVAL
        self._window = max(START_LIMIT, self._window * SHED_FACTOR)
        self._threshold = self._window

    def record_failure(self, *, is_down: bool = False) -> None:
        """Records a failure: no connection, or no answer on a connection.

        Args:
            is_down: whether it is certain that no process listens there.
        """
        self._failures += 1
        is_trial = self._ejected_until is not None
        if is_down or is_trial or self._failures >= FAILURES_BEFORE_EJECTION:
            self._eject()

    def _eject(self) -> None:
        now = self._clock.elapsed()
        if self._ejected_until is not None and now < self._ejected_until:
            return
        pause = min(MAX_PAUSE, MIN_PAUSE * 2**self._ejections)
        self._ejections = min(self._ejections + 1, 16)
        self._ejected_until = now + pause * random.uniform(0.5, 1)
