"""How fast an upstream is loaded, from the outcomes seen there.

The limit starts at one request, doubles with success to a threshold, then
rises by one for each limit's worth of answers. It falls when the upstream
sheds, and an upstream that fails again and again is out for a while, then
tried with one request.
"""

import random
from datetime import timedelta

from lycheedyke.clock import Clock

START_LIMIT = 1
SHED_FACTOR = 0.7
SHED_INTERVAL = timedelta(milliseconds=100)
FAILURES_BEFORE_OUT = 3
OUT_LEAST = timedelta(milliseconds=500)
OUT_MOST = timedelta(seconds=30)


class ConcurrencyLimiter:
    """The limit of one upstream, as its outcomes permit.

    Args:
        slots: the most that the limit may reach.
        clock: measures the time out.
    """

    def __init__(self, slots: int, clock: Clock) -> None:
        """Starts slow."""
        self._slots = slots
        self._clock = clock
        self._window = float(START_LIMIT)
        self._threshold = float(slots)
        self._failures = 0
        self._outages = 0
        self._out_until: timedelta | None = None
        self._shed_until = timedelta()

    def __repr__(self) -> str:
        """Returns the limit."""
        return f'<Pace {self.limit}/{self._slots}>'

    @property
    def limit(self) -> int:
        """The requests that may be in flight."""
        if self._out_until is not None:
            return START_LIMIT
        return max(START_LIMIT, int(self._window))

    @property
    def usable(self) -> bool:
        """Whether it may take work, if only the one trial request."""
        if self._out_until is None:
            return True
        return self._clock.elapsed() >= self._out_until

    @property
    def may_queue(self) -> bool:
        """Whether requests may wait for it."""
        return self._out_until is None

    def resize(self, slots: int) -> None:
        """Sets the most that the limit may reach."""
        if slots > self._slots:
            self._threshold = float(slots)
        self._slots = slots
        self._window = min(self._window, float(max(START_LIMIT, slots)))

    def restart(self) -> None:
        """Starts slow again, after others used the upstream."""
        self._window = float(START_LIMIT)

    def record_answer(self) -> None:
        """Takes in a whole answer."""
        self._failures = 0
        if self._out_until is not None:
            self._out_until = None
            self._outages = 0
            self._window = float(START_LIMIT)
        grown = 1 if self._window < self._threshold else 1 / self._window
        self._window = min(self._window + grown, float(self._slots))

    def record_overload(self) -> None:
        """Takes in a refusal: the upstream has too much work."""
        now = self._clock.elapsed()
        if now < self._shed_until:
            return
        self._shed_until = now + SHED_INTERVAL
        self._window = max(START_LIMIT, self._window * SHED_FACTOR)
        self._threshold = self._window

    def record_failure(self, *, is_down: bool = False) -> None:
        """Takes in a failure: no connection, or no answer on it.

        Args:
            is_down: whether it is certain that no process listens there.
        """
        self._failures += 1
        is_trial = self._out_until is not None
        if is_down or is_trial or self._failures >= FAILURES_BEFORE_OUT:
            self._take_out()

    def _take_out(self) -> None:
        now = self._clock.elapsed()
        if self._out_until is not None and now < self._out_until:
            return
        longest = min(OUT_MOST, OUT_LEAST * 2**self._outages)
        self._outages = min(self._outages + 1, 16)
        self._out_until = now + longest * random.uniform(0.5, 1)
