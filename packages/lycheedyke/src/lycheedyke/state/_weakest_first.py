"""The order in which evidence is dropped if there is too much of it."""

import heapq
from collections.abc import Mapping

from lycheedyke.state._crash_evidence import Evidence, Strength

# The length at which outdated pairs are removed, for each pair in use, as their
# removal costs time.
MAX_OUTDATED = 4
MIN_LENGTH = 256


class WeakestFirst:
    """The fingerprints of requests, the weakest evidence first."""

    def __init__(self) -> None:
        """Initializes without requests."""
        # Pairs may be outdated.
        self._pairs: list[tuple[Strength, str]] = []

    def __repr__(self) -> str:
        """Returns the number of pairs."""
        return f'<WeakestFirst: {len(self._pairs)} pairs>'

    def push(self, fingerprint: str, entries: Mapping[str, Evidence]) -> None:
        """Adds a request whose evidence has changed.

        Args:
            fingerprint: the request.
            entries: the evidence on all requests.
        """
        strength = entries[fingerprint].strength
        heapq.heappush(self._pairs, (strength, fingerprint))
        if len(self._pairs) > MAX_OUTDATED * max(MIN_LENGTH, len(entries)):
            self._sort(entries)

    def pop(self, entries: Mapping[str, Evidence]) -> str:
        """Returns the request with the weakest evidence, and removes it.

        Args:
            entries: the evidence on all requests; not empty.
        """
        while True:
            if not self._pairs:
                self._sort(entries)
            strength, fingerprint = heapq.heappop(self._pairs)
            evidence = entries.get(fingerprint)
            if evidence is not None and evidence.strength == strength:
                return fingerprint

    def _sort(self, entries: Mapping[str, Evidence]) -> None:
        self._pairs = [
            (evidence.strength, fingerprint)
            for fingerprint, evidence in entries.items()
        ]
        heapq.heapify(self._pairs)
