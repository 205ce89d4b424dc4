"""Counts the requests that arrive at an instance, by service."""

from collections import Counter, deque
from datetime import timedelta

MAX_SERVICES = 64
# Rates are measured over this time: a shorter one holds too few requests.
MEASURED_TIME = timedelta(seconds=1)
TENTHS = 10


class ArrivalCounts:
    """Requests that arrived lately at this instance."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._counts: Counter[str] = Counter()
        self._started: timedelta | None = None
        # The requests of each period, and when it started.
        self._periods: deque[tuple[timedelta, Counter[str]]] = deque()

    def __repr__(self) -> str:
        """Returns the number of services with requests."""
        return f'<ArrivalCounts of {len(self._counts)} services>'

    def record(self, service: str) -> None:
        """Records a request for a service."""
        self._counts[service] += 1

    def rates(self, now: timedelta) -> dict[str, int]:
        """Returns the requests of each service, in tenths per second.

        They are measured over the shortest number of periods between calls
        that is at least a window.

        Args:
            now: the time.
        """
        started = now if self._started is None else self._started
        self._started = now
        if now > started:
            self._periods.append((started, self._counts))
        self._counts = Counter()
        while (
            len(self._periods) > 1
            and now - self._periods[1][0] >= MEASURED_TIME
        ):
            self._periods.popleft()
        if not self._periods:
            return {}
        seconds = (now - self._periods[0][0]).total_seconds()
        total: Counter[str] = Counter()
        for _, counts in self._periods:
            total.update(counts)
        return {
            name: round(TENTHS * count / seconds)
            for name, count in total.most_common(MAX_SERVICES)
        }
