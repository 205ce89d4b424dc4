"""Closes callers' connections on which nothing happens."""

import functools
from collections.abc import Callable, Iterable
from datetime import timedelta

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from lycheedyke.clock import Clock
from lycheedyke.state import Counters
from lycheedyke_daemon.stopping import Handler

SWEEP_INTERVAL = timedelta(seconds=1)
CLOSED_COUNTER = 'caller.idle-closed'


class IdleConnectionCloser:
    """Knows since when each connection is idle, and closes it in time.

    A connection whose next request has not come whole within the limit is
    closed, so that neither forgotten connections nor callers that send a
    head byte by byte use up the descriptors.

    Args:
        limit: how long a connection may be idle; None for no limit.
        clock: the time.
        counters: counts closed connections.
    """

    def __init__(
        self,
        limit: Callable[[], timedelta | None],
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Knows of no connection."""
        self._limit = limit
        self._clock = clock
        self._counters = counters
        self._idle_since: dict[RequestHandler, timedelta | None] = {}

    def __repr__(self) -> str:
        """Returns the number of connections known."""
        return f'<IdleConnections: {len(self._idle_since)} known>'

    def track(self, handler: Handler) -> Handler:
        """Returns a handler whose connections are not idle while it runs."""
        return functools.partial(self._serve, handler)

    async def run(
        self,
        connections: Callable[[], Iterable[RequestHandler]],
    ) -> None:
        """Closes idle connections until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            self.close_idle(connections())

    def close_idle(self, connections: Iterable[RequestHandler]) -> None:
        """Closes those of some connections that are idle for too long."""
        limit = self._limit()
        now = self._clock.elapsed()
        known = self._idle_since
        self._idle_since = {
            connection: known.get(connection, now) for connection in connections
        }
        for connection, since in self._idle_since.items():
            if limit is None or since is None or now - since <= limit:
                continue
            self._counters.count(CLOSED_COUNTER)
            connection.force_close()

    async def _serve(
        self,
        handler: Handler,
        request: web.Request,
    ) -> web.StreamResponse:
        self._idle_since[request.protocol] = None
        try:
            response = await handler(request)
            # The connection is in use until the caller has read the answer.
            await response.prepare(request)
            await response.write_eof()
            return response
        finally:
            self._idle_since[request.protocol] = self._clock.elapsed()
