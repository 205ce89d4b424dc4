"""Upstreams that leave: since when, and how long their work took to end."""

from datetime import datetime, timedelta
from enum import Enum

import msgspec

from lycheedyke.clock import Clock

MOST_DRAINS = 1000


class LeavingCause(Enum):
    """Why an upstream gets no new work."""

    ticket = 'ticket'
    upstream = 'upstream'


class Drain(msgspec.Struct):
    """The drain of one upstream, as its owner sees it.

    Attributes:
        upstream: the upstream's name.
        cause: whether a ticket or the upstream itself said so.
        started: when it was given its last work at the latest.
        ticket: the newest ticket in force at the start.
        in_flight: requests that still run on it.
        drain_ms: time from the start until nothing ran, None before.
    """

    upstream: str
    cause: LeavingCause
    started: datetime
    ticket: int
    in_flight: int
    drain_ms: float | None = None


class DrainLog:
    """The drains of the upstreams of one instance, the oldest dropped.

    Args:
        clock: measures the drains.
    """

    def __init__(self, clock: Clock) -> None:
        """Makes a log without drains."""
        self._clock = clock
        self._drains: dict[str, Drain] = {}
        self._starts: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of drains."""
        return f'<DrainLog of {len(self._drains)} drains>'

    def drains(self) -> list[Drain]:
        """Returns all drains, in the order of their starts."""
        return list(self._drains.values())

    def find(self, upstream: str) -> Drain | None:
        """Returns the drain of an upstream that is leaving, or None."""
        return self._drains.get(upstream)

    def start(
        self,
        upstream: str,
        cause: LeavingCause,
        *,
        ticket: int,
        in_flight: int,
    ) -> None:
        """Records that an upstream is leaving, unless it already is."""
        if upstream in self._drains:
            return
        self._drains[upstream] = Drain(
            upstream,
            cause,
            self._clock.now(),
            ticket,
            in_flight,
        )
        self._starts[upstream] = self._clock.elapsed()
        while len(self._drains) > MOST_DRAINS:
            self.end(next(iter(self._drains)))
        self.update(upstream, in_flight)

    def update(self, upstream: str, in_flight: int) -> None:
        """Records how many requests still run on a leaving upstream."""
        drain = self._drains.get(upstream)
        if drain is None or drain.drain_ms is not None:
            return
        drain.in_flight = in_flight
        if not in_flight:
            took = self._clock.elapsed() - self._starts[upstream]
            drain.drain_ms = took.total_seconds() * 1000

    def end(self, upstream: str) -> None:
        """Forgets the drain of an upstream that serves again."""
        self._drains.pop(upstream, None)
        self._starts.pop(upstream, None)
