"""Reads request bodies within limits of memory and time."""

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
        budget: bounds the memory of all bodies together.
        max_bytes: the maximum size of one body.
    """

    def __init__(self, budget: MemoryBudget, max_bytes: int) -> None:
        """Initializes the reader."""
        self._budget = budget
        self._max_bytes = max_bytes

    def __repr__(self) -> str:
        """Returns the budget and the maximum size of a body."""
        return f'<BodyReader {self._budget!r}, {self._max_bytes} bytes>'

    @contextlib.asynccontextmanager
    async def read(
        self,
        request: web.Request,
        limit: timedelta = READ_LIMIT,
    ) -> AsyncIterator[bytes]:
        """Yields the whole body; its memory is released after the block.

        Raises:
            BodyRefused: the body is too large or too slow, or the memory
                budget is exhausted.
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
