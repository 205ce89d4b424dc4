"""Which restricted routes the callers of this instance use."""

from collections import defaultdict, deque
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.protocol import Route

# A route is in use if it got so many requests within this time. Single requests
# of monitoring are no use.
MIN_REQUESTS = 5
USE_PERIOD = timedelta(seconds=10)


class RouteUse:
    """The times of the last requests on routes with homes.

    Args:
        clock: the time source.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes without requests."""
        self._clock = clock
        self._times: defaultdict[str, deque[timedelta]] = defaultdict(
            lambda: deque(maxlen=MIN_REQUESTS)
        )

    def __repr__(self) -> str:
        """Returns the number of routes."""
        return f'<RouteUse of {len(self._times)} routes>'

    def record(self, route: Route) -> None:
        """Records a request, if its route has homes."""
        if route.homes:
            self._times[route.name].append(self._clock.elapsed())

    def is_in_use(self, route: Route) -> bool:
        """Returns whether a route with homes got several requests of late."""
        times = self._times.get(route.name)
        if times is None or len(times) < MIN_REQUESTS:
            return False
        return self._clock.elapsed() - times[0] < USE_PERIOD

    def retain(self, names: frozenset[str]) -> None:
        """Drops the requests on routes that no longer exist."""
        for name in self._times.keys() - names:
            self._times.pop(name)
