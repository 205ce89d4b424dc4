"""Reads request bodies within limits of memory and time."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator
from datetime import timedelta

from aiohttp import web
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestPayloadError

from lycheedyke.exceptions import BodyMemoryFull, BodyTooLarge, StateError
from lycheedyke.protocol import Reason
from lycheedyke.transport import BodyMemory, IncomingBody

READ_LIMIT = timedelta(seconds=10)

_logger = logging.getLogger(__name__)


class BodyRefused(StateError):
    """A request body was refused before it was read completely.

    Attributes:
        reason: why it was refused.
    """

    def __init__(self, reason: Reason) -> None:
        """Uses the reason as the message."""
        super().__init__(reason.value)
        self.reason = reason


class BodyReader:
    """Reads bodies, and accounts for their memory until the request ends.

    Args:
        memory: bounds the memory of all bodies together.
        max_bytes: the maximum size of one body.
    """

    def __init__(self, memory: BodyMemory, max_bytes: int) -> None:
        """Initializes the reader."""
        self._memory = memory
        self._max_bytes = max_bytes

    def __repr__(self) -> str:
        """Returns the memory and the maximum size of a body."""
        return f'<BodyReader {self._memory!r}, {self._max_bytes} bytes>'

    @contextlib.asynccontextmanager
    async def read(
        self,
        request: web.Request,
        limit: timedelta = READ_LIMIT,
    ) -> AsyncIterator[bytes]:
        """Yields the whole body; its memory is released after the block.

        Raises:
            BodyRefused: the body is too large or too slow, or it was the
                largest when the memory was full.
        """
        with self._memory.hold():
            yield await self._receive(request, min(limit, READ_LIMIT))

    async def _receive(self, request: web.Request, limit: timedelta) -> bytes:
        try:
            with self._memory.receive(self._max_bytes) as body:
                async with asyncio.timeout(limit.total_seconds()):
                    await _fill(body, request)
                return body.complete()
        except TimeoutError:
            raise BodyRefused(Reason.body_too_slow) from None
        except BodyMemoryFull as full:
            raise BodyRefused(Reason.memory_full) from full
        except BodyTooLarge as large:
            raise BodyRefused(Reason.body_too_large) from large


async def skip_body(body: StreamReader, limit_s: float) -> bool:
    """Reads the rest of a body; returns whether it was complete.

    Args:
        body: the body.
        limit_s: the longest wait in seconds.
    """
    try:
        async with asyncio.timeout(limit_s):
            while not body.is_eof():
                await body.readany()
    except (TimeoutError, RequestPayloadError):
        _logger.debug('body not complete')
    return body.is_eof()


async def _fill(body: IncomingBody, request: web.Request) -> None:
    body.check_length(request.content_length or 0)
    async for chunk in request.content.iter_any():
        body.append(chunk)
        if not request.content.at_eof():
            # The next read may return at once; others get their turn.
            await asyncio.sleep(0)
