"""Closes idle connections of callers."""

import functools
import logging
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import cast

from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.state import Counters
from lycheedyke_daemon.pipeline import CloseReason
from lycheedyke_daemon.request_protocol import PipelinedRequestHandler
from lycheedyke_daemon.stopping import Handler

SWEEP_INTERVAL = timedelta(seconds=1)
CLOSED_COUNTER = 'caller.idle-closed'
MILLISECOND = timedelta(milliseconds=1)

_logger = logging.getLogger(__name__)


class IdleConnectionCloser:
    """Tracks since when each connection is idle, and closes it at the limit.

    A connection whose next request has not arrived completely within the
    limit is closed, so that neither abandoned connections nor callers that
    send a request head byte by byte use up the file descriptors.

    Args:
        limit: returns how long a connection may be idle; None for no limit.
        clock: measures idle times.
        counters: counts closed connections.
    """

    def __init__(
        self,
        limit: Callable[[], timedelta | None],
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Starts without known connections."""
        self._limit = limit
        self._clock = clock
        self._counters = counters
        self._idle_since: dict[PipelinedRequestHandler, timedelta | None] = {}
        self._running: Counter[PipelinedRequestHandler] = Counter()

    def __repr__(self) -> str:
        """Returns the number of known connections."""
        return f'<IdleConnectionCloser: {len(self._idle_since)} known>'

    def track(self, handler: Handler) -> Handler:
        """Returns a handler whose connections count as in use while it runs.

        Args:
            handler: also writes the answer, during which the connection is
                in use.
        """
        return functools.partial(self._serve, handler)

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
        now = self._clock.elapsed()
        known = self._idle_since
        self._idle_since = {
            connection: known.get(connection, now) for connection in connections
        }
        count = 0
        for connection, since in self._idle_since.items():
            if limit is None or since is None or now - since <= limit:
                continue
            count += 1
            connection.note_close(CloseReason.idle)
            connection.force_close()
        if limit is not None and count:
            self._counters.count(CLOSED_COUNTER, count)
            _logger.info(
                'idle connections closed',
                extra={'count': count, 'limit_ms': limit // MILLISECOND},
            )

    async def _serve(
        self,
        handler: Handler,
        request: web.Request,
    ) -> web.StreamResponse:
        connection = cast(PipelinedRequestHandler, request.protocol)
        self._idle_since[connection] = None
        self._running[connection] += 1
        try:
            return await handler(request)
        finally:
            self._running[connection] -= 1
            if not self._running[connection]:
                del self._running[connection]
                self._idle_since[connection] = self._clock.elapsed()
