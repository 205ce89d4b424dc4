"""Records of the drains of upstreams that are leaving."""

from datetime import datetime, timedelta
from enum import Enum

import msgspec

from lycheedyke.clock import Clock

MAX_DRAINS = 1000


class LeavingCause(Enum):
    """The reason why an upstream gets no new requests."""

    ticket = 'ticket'
    upstream = 'upstream'


class Drain(msgspec.Struct):
    """The drain of one upstream, as recorded by its owner.

    Attributes:
        upstream: the name of the upstream.
        cause: whether a ticket or the upstream itself started the drain.
        started: the time after which the upstream got no new requests.
        ticket: the newest ticket in force at the start.
        in_flight: the requests that still run on the upstream.
        drain_ms: the time from the start until no request was in flight, or
            None while requests are in flight.
    """

    upstream: str
    cause: LeavingCause
    started: datetime
    ticket: int
    in_flight: int
    drain_ms: float | None = None


class DrainLog:
    """The newest drains of the upstreams of one instance.

    Args:
        clock: the clock that measures the drains.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes an empty log."""
        self._clock = clock
        self._drains: dict[str, Drain] = {}
        self._starts: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of drains."""
        return f'<DrainLog of {len(self._drains)} drains>'

    def drains(self) -> list[Drain]:
        """Returns all drains in the order of their start."""
        return list(self._drains.values())

    def find(self, upstream: str) -> Drain | None:
        """Returns the drain of an upstream, or None if it is not leaving."""
        return self._drains.get(upstream)

    def start(
        self,
        upstream: str,
        cause: LeavingCause,
        *,
        ticket: int,
        in_flight: int,
    ) -> None:
        """Records that an upstream is leaving, unless that is recorded."""
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
        while len(self._drains) > MAX_DRAINS:
            self.end(next(iter(self._drains)))
        self.update(upstream, in_flight)

    def update(self, upstream: str, in_flight: int) -> None:
        """Records the number of requests in flight on a leaving upstream."""
        drain = self._drains.get(upstream)
        if drain is None or drain.drain_ms is not None:
            return
        drain.in_flight = in_flight
        if not in_flight:
            took = self._clock.elapsed() - self._starts[upstream]
            drain.drain_ms = took.total_seconds() * 1000

    def end(self, upstream: str) -> None:
        """Removes the drain of an upstream that serves again."""
        self._drains.pop(upstream, None)
        self._starts.pop(upstream, None)
