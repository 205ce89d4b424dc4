"""A connection pool that reuses only connections without unread bytes."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from lycheedyke.transport._response_protocol import BoundedResponseHandler


class Connector(aiohttp.TCPConnector):
    """A connection pool that never reuses a connection with unread bytes."""

    def __init__(self, **options: Any) -> None:
        """Initializes the pool, whose connections bound their responses."""
        super().__init__(**options)
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=self._loop
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> Any:
        """Returns a connection on which no byte waits to be read."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        protocol = await super()._create_connection(req, traces, timeout)
        # aiohttp records how a connection ends only if `closed` was read
        # before the end.
        closed = protocol.closed
        if closed is not None:
            closed.add_done_callback(_retrieve_exception)
        return protocol


def _retrieve_exception(closed: asyncio.Future[None]) -> None:
    if not closed.cancelled():
        closed.exception()
