"""Remembers where each of the latest configurations came from."""

from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock

# The versions that are remembered.
MAX_VERSIONS = 16
# The source of what the registry itself has sent.
REGISTRY = 'registry'
MILLISECOND = timedelta(milliseconds=1)


class Transfer(NamedTuple):
    """How the content of a configuration was received.

    Attributes:
        source: the address of the peer, or `REGISTRY`.
        received_bytes: the size of the answer.
        took: the time from the head of the answer to its end; for a content
            that was requested by its digest, from the request to its end.
    """

    source: str = ''
    received_bytes: int = 0
    took: timedelta = timedelta()


class _Arrival(NamedTuple):
    heard: timedelta
    transfer: Transfer | None = None


class ConfigurationArrivals:
    """When and from where the latest versions were received, by revision.

    Args:
        clock: the time source.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts without versions."""
        self._clock = clock
        self._arrivals: dict[int, _Arrival] = {}

    def __repr__(self) -> str:
        """Returns the number of versions."""
        return f'<ConfigurationArrivals of {len(self._arrivals)} versions>'

    def hear(self, revision: int) -> None:
        """Notes that the version of a revision exists."""
        self._arrivals.setdefault(revision, _Arrival(self._clock.elapsed()))
        while len(self._arrivals) > MAX_VERSIONS:
            del self._arrivals[next(iter(self._arrivals))]

    def receive(self, revision: int, transfer: Transfer) -> None:
        """Notes how the version of a revision was received first."""
        self.hear(revision)
        known = self._arrivals[revision]
        if known.transfer is None:
            self._arrivals[revision] = known._replace(transfer=transfer)

    def describe(self, revision: int) -> dict[str, object]:
        """Returns the fields of a log line on the version of a revision."""
        known = self._arrivals.get(revision)
        if known is None:
            known = _Arrival(self._clock.elapsed())
        transfer = known.transfer or Transfer()
        return {
            'revision': revision,
            'source': transfer.source,
            'bytes': transfer.received_bytes,
            'transfer_ms': transfer.took // MILLISECOND,
            'heard_ms': (self._clock.elapsed() - known.heard) // MILLISECOND,
        }
