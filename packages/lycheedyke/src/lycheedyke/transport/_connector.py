"""A connection pool that reuses only connections without unread bytes."""

import asyncio
import functools
import re
from datetime import timedelta
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

import aiohttp
from aiohttp.client_proto import ResponseHandler

from lycheedyke.transport._response_protocol import BoundedResponseHandler

# The other side counts from its last byte, and its limit is a whole number of
# seconds that it may have rounded up.
KEEP_ALIVE_MARGIN = timedelta(milliseconds=1500)
_KEEP_ALIVE = re.compile('(?:.*[, ])?timeout=([0-9]{1,6})(?:[, ].*)?')


class IdleLimits(NamedTuple):
    """How long a pooled connection may be idle.

    Attributes:
        default: where the other side states nothing.
        longest: the maximum where the other side states its own limit in a
            `Keep-Alive` field.
    """

    default: timedelta
    longest: timedelta

    def of(self, keep_alive: str | None) -> timedelta:
        """Returns the limit of a connection.

        Args:
            keep_alive: the field of its last response, if any.
        """
        stated = _KEEP_ALIVE.fullmatch(keep_alive or '')
        if stated is None:
            return self.default
        limit = timedelta(seconds=int(stated[1])) - KEEP_ALIVE_MARGIN
        return max(timedelta(), min(limit, self.longest))


class Connector(aiohttp.TCPConnector):
    """A connection pool that reuses only connections that are likely open.

    None of them has unread bytes, and none has been idle for as long as the
    other side keeps it open.

    Args:
        idle_limits: how long connections may be idle.
        options: the options of aiohttp's connector.
    """

    def __init__(self, idle_limits: IdleLimits, **options: Any) -> None:
        """Initializes the pool, whose connections bound their responses."""
        longest = max(idle_limits).total_seconds()
        if not options.get('force_close'):
            options['keepalive_timeout'] = longest
        super().__init__(**options)
        self._idle_limits = idle_limits
        # When pooled connections were released, in seconds of the event loop.
        self._released: WeakKeyDictionary[ResponseHandler, float] = (
            WeakKeyDictionary()
        )
        self._factory = functools.partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=self._loop
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> Any:
        """Returns a connection that is likely open, without unread bytes."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None or not self._must_close(protocol):
                return connection
            connection.close()

    def _must_close(self, protocol: ResponseHandler) -> bool:
        released = self._released.pop(protocol, None)
        if protocol.should_close or released is None:
            return protocol.should_close
        limit = self._idle_limits.of(getattr(protocol, 'keep_alive', None))
        return self._loop.time() - released > limit.total_seconds()

    def _release(
        self,
        key: Any,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        self._released[protocol] = self._loop.time()
        super()._release(key, protocol, should_close=should_close)

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
