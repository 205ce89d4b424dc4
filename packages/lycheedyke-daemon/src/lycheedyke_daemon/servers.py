"""The HTTP servers of one instance."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, cast

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from lycheedyke.state import Counters
from lycheedyke.transport import MAX_HEAD_BYTES, READ_BUFFER_BYTES
from lycheedyke_daemon.request_protocol import PipelinedRequestHandler

# Longer than the longest call, and than its answer from another instance takes.
CLOSE_LIMIT = timedelta(seconds=65)
# The most connections that wait to be accepted.
BACKLOG = 128
MALFORMED_COUNTER = 'http.malformed'

Connections = Callable[[], list[PipelinedRequestHandler]]

_logger = logging.getLogger(__name__)


class _OpenServer(NamedTuple):
    address: str
    runner: web.AppRunner


class HttpServers:
    """HTTP servers, closed in the reverse of the order of their start.

    Args:
        counters: counts malformed requests, which are not logged one by one.
        close_limit: how long each server waits for its requests to end.
    """

    def __init__(
        self,
        counters: Counters,
        close_limit: timedelta = CLOSE_LIMIT,
    ) -> None:
        """Starts without servers."""
        self._close_limit = close_limit
        self._open: list[_OpenServer] = []
        self._counters = counters
        _logger.addFilter(self._filter_malformed)

    def __repr__(self) -> str:
        """Returns the number of servers."""
        return f'<HttpServers: {len(self._open)}>'

    async def open(self, app: web.Application, address: str) -> Connections:
        """Serves an application at `ip:port`.

        Returns:
            A function that returns the server's current connections.
        """
        host, _, port = address.rpartition(':')
        runner = PipelinedRunner(
            app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            logger=_logger,
            shutdown_timeout=self._close_limit.total_seconds(),
        )
        await runner.setup()
        site = web.TCPSite(runner, host.strip('[]'), int(port), backlog=BACKLOG)
        await site.start()
        self._open.append(_OpenServer(address, runner))
        server = runner.server
        assert server is not None, 'AppRunner.setup() creates the server'
        return lambda: cast(list[PipelinedRequestHandler], server.connections)

    async def stop_listening(self, address: str) -> None:
        """Accepts no further connection at `ip:port`; the others stay open.

        Connections that wait to be accepted are accepted first; the close
        would reset them.
        """
        # uvloop accepts one connection in each turn of its loop.
        for _ in range(BACKLOG):
            await asyncio.sleep(0)
        for server in self._open:
            if server.address == address:
                for site in server.runner.sites:
                    await site.stop()

    async def close(self) -> None:
        """Closes all servers once their requests have ended."""
        for server in reversed(self._open):
            await server.runner.cleanup()

    def _filter_malformed(self, record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        if not isinstance(error, HttpProcessingError):
            return True
        self._counters.count(MALFORMED_COUNTER)
        return False


class PipelinedRunner(web.AppRunner):
    """Runs an application whose connections are pipelined."""

    __slots__ = ()

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        server.__class__ = _PipelinedServer
        return server


class _PipelinedServer(web.Server):
    """Makes a protocol for each connection."""

    def __call__(self) -> PipelinedRequestHandler:
        return PipelinedRequestHandler(self, loop=self._loop, **self._kwargs)
