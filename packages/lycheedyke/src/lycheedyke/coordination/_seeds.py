"""Control addresses at which instances may be."""

from collections.abc import Collection, Iterable
from datetime import timedelta

from lycheedyke.clock import Clock

MAX_SEEDS = 4096
MOST_AT_ONCE = 3
RETRY_LEAST = timedelta(milliseconds=500)
RETRY_MOST = timedelta(seconds=30)


class Seeds:
    """Addresses from settings and the platform's list, with backoff.

    Args:
        clock: paces the attempts.
    """

    def __init__(self, clock: Clock) -> None:
        """Makes an empty list."""
        self._clock = clock
        self._next: dict[str, timedelta] = {}
        self._backoffs: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of addresses."""
        return f'<Seeds: {len(self._next)} addresses>'

    def add(self, addresses: Iterable[str]) -> None:
        """Takes in addresses, up to `MAX_SEEDS` in all."""
        for address in addresses:
            if len(self._next) < MAX_SEEDS:
                self._next.setdefault(address, timedelta())

    def due(self, known: Collection[str]) -> list[str]:
        """Returns a few addresses to try now, but none of the known ones."""
        now = self._clock.elapsed()
        for found in known:
            self._backoffs.pop(found, None)
        due = [
            address
            for address, due_at in self._next.items()
            if due_at <= now and address not in known
        ][:MOST_AT_ONCE]
        for tried in due:
            backoff = self._backoffs.get(tried, RETRY_LEAST)
            self._next[tried] = now + backoff
            self._backoffs[tried] = min(backoff * 2, RETRY_MOST)
        return due
