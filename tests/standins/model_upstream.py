"""The upstreams of the model of load."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable

from standins.load_inputs import Load, RequestKind

PACE_SECONDS = 0.6
USUAL_PERCENT = 100


class ModelUpstream:
    """The run times, queue and known objects of one upstream.

    Attributes:
        running: the number of requests that run.
        queue: starts the requests that wait.
        is_warm: whether the last run was for a known object.

    Args:
        load: the load.
        name: the name.
        rng: the random numbers of run times.
    """

    def __init__(self, load: Load, name: str, rng: random.Random) -> None:
        """Initializes an idle upstream that knows no object."""
        self.running = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.is_warm = False
        self._load = load
        self._slowness = load.slow.get(name, 1.0)
        self._rng = rng
        # Paces and sizes are the same whatever the placement.
        self._pace_rng = random.Random(name)
        self._size = load.known_objects + self._pace_rng.randint(
            0, load.known_spread
        )
        self._paces: list[float] = []
        self._known: OrderedDict[str, None] = OrderedDict()

    def run_time(
        self, kind: RequestKind, object_key: str, now: float = 0
    ) -> float:
        """Returns the run time of a request that starts now."""
        run_time = kind.run_time * self._rng.gauss(1, 0.15)
        self.is_warm = object_key in self._known or self._load.known_at_start
        if self.is_warm:
            run_time *= self._load.known_run_share
        self._known[object_key] = None
        self._known.move_to_end(object_key)
        if len(self._known) > self._size:
            self._known.popitem(last=False)
        work = max(0.001, run_time * self._slowness)
        return self._stretch(work, now) if self._load.slow_share else work

    def pace_percent(self, now: float) -> float | None:
        """Returns the reported pace; None if paces do not change."""
        if not self._load.slow_share:
            return None
        return self._pace(int(now / PACE_SECONDS)) * USUAL_PERCENT

    def _stretch(self, work: float, now: float) -> float:
        """Returns the time of work that starts now, at changing paces."""
        at = now
        period = int(now / PACE_SECONDS)
        while True:
            pace = self._pace(period)
            end = (period + 1) * PACE_SECONDS
            if at + work * pace <= end:
                return at + work * pace - now
            work -= (end - at) / pace
            at = end
            period += 1

    def _pace(self, period: int) -> float:
        while len(self._paces) <= period:
            is_slow = self._pace_rng.random() < self._load.slow_share
            self._paces.append(self._load.slow_factor if is_slow else 1.0)
        return self._paces[period]
