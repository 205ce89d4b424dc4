"""Control addresses at which instances may listen."""

from collections.abc import Collection, Iterable
from datetime import timedelta

from lycheedyke.clock import Clock

MAX_SEEDS = 4096
MAX_CONCURRENT_ATTEMPTS = 3
MIN_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=30)


class Seeds:
    """Addresses from settings and the platform's list, with backoff.

    Args:
        clock: measures the time between attempts.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes the list without addresses."""
        self._clock = clock
        self._next: dict[str, timedelta] = {}
        self._backoffs: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of addresses."""
        return f'<Seeds: {len(self._next)} addresses>'

    def add(self, addresses: Iterable[str]) -> None:
        """Adds addresses, up to `MAX_SEEDS` in all."""
        for address in addresses:
            if len(self._next) < MAX_SEEDS:
                self._next.setdefault(address, timedelta())

    def due(self, known: Collection[str]) -> list[str]:
        """Returns a few addresses to try now, without the known ones."""
        now = self._clock.elapsed()
        for reached in known:
            self._backoffs.pop(reached, None)
        due = [
            address
            for address, due_at in self._next.items()
            if due_at <= now and address not in known
        ][:MAX_CONCURRENT_ATTEMPTS]
        for attempted in due:
            backoff = self._backoffs.get(attempted, MIN_BACKOFF)
            self._next[attempted] = now + backoff
            self._backoffs[attempted] = min(backoff * 2, MAX_BACKOFF)
        return due
