"""Closes idle connections of callers."""

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.state import Counters
from lycheedyke_daemon.request_protocol import PipelinedRequestHandler

SWEEP_INTERVAL = timedelta(seconds=1)
CLOSED_COUNTER = 'caller.idle-closed'
MILLISECOND = timedelta(milliseconds=1)

_logger = logging.getLogger(__name__)


class IdleConnectionCloser:
    """Closes connections that are idle for longer than a limit.

    A connection whose next request has not arrived completely within the
    limit is closed, so that neither abandoned connections nor callers that
    send a request head byte by byte use up the file descriptors. The
    connections themselves know since when they are idle.

    Args:
        limit: returns how long a connection may be idle; None for no limit.
        clock: times the sweeps.
        counters: counts closed connections.
    """

    def __init__(
        self,
        limit: Callable[[], timedelta | None],
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Initializes the closer."""
        self._limit = limit
        self._clock = clock
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the limit."""
        return f'<IdleConnectionCloser: {self._limit()}>'

    async def run(
        self,
        connections: Callable[[], Iterable[PipelinedRequestHandler]],
    ) -> None:
        """Closes idle connections until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            self.close_idle(connections())

    def close_idle(
        self, connections: Iterable[PipelinedRequestHandler]
    ) -> None:
        """Closes those of the given connections that are idle for too long."""
        limit = self._limit()
        if limit is None:
            return
        closed = [each for each in connections if each.close_if_idle(limit)]
        if closed:
            self._counters.count(CLOSED_COUNTER, len(closed))
            _logger.info(
                'idle connections closed',
                extra={'count': len(closed), 'limit_ms': limit // MILLISECOND},
            )
