"""Reads the bodies of requests under limits of memory and time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from datetime import timedelta

from aiohttp import web

from lycheedyke.exceptions import StateError
from lycheedyke.protocol import Reason
from lycheedyke.state import MemoryBudget, MemoryFull

READ_LIMIT = timedelta(seconds=10)


class BodyRefused(StateError):
    """A body is not read to its end.

    Attributes:
        reason: why it was refused.
    """

    def __init__(self, reason: Reason) -> None:
        """Names the reason."""
        super().__init__(reason.value)
        self.reason = reason


class BodyReader:
    """Reads bodies, and counts them until the request has ended.

    Args:
        budget: the memory for all bodies.
        max_bytes: the largest body.
    """

    def __init__(self, budget: MemoryBudget, max_bytes: int) -> None:
        """Makes a reader over a budget."""
        self._budget = budget
        self._max_bytes = max_bytes

    def __repr__(self) -> str:
        """Returns the budget and the largest body."""
        return f'<BodyReader {self._budget!r}, {self._max_bytes} bytes>'

    @contextlib.asynccontextmanager
    async def read(
        self,
        request: web.Request,
        limit: timedelta = READ_LIMIT,
    ) -> AsyncIterator[bytes]:
        """Yields the whole body; its memory is taken inside the block.

        Raises:
            BodyRefused: the body is too large, too slow, or there is no
                memory for it.
        """
        body = bytearray()
        try:
            await self._fill(body, request, min(limit, READ_LIMIT))
            yield bytes(body)
        finally:
            self._budget.release(len(body))

    async def _fill(
        self,
        body: bytearray,
        request: web.Request,
        limit: timedelta,
    ) -> None:
        if (request.content_length or 0) > self._max_bytes:
            raise BodyRefused(Reason.body_too_large)
        try:
            async with asyncio.timeout(limit.total_seconds()):
                async for chunk in request.content.iter_any():
                    self._append(body, chunk)
        except TimeoutError:
            raise BodyRefused(Reason.body_too_slow) from None

    def _append(self, body: bytearray, chunk: bytes) -> None:
        if len(body) + len(chunk) > self._max_bytes:
            raise BodyRefused(Reason.body_too_large)
        try:
            self._budget.acquire(len(chunk))
        except MemoryFull as full:
            raise BodyRefused(full.reason) from full
        body += chunk
