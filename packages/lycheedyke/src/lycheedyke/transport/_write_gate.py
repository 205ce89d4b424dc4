"""Writes a request at most once, if it may still be written."""

import asyncio
import contextlib
import functools
import math
from collections.abc import Callable, Iterator
from contextvars import ContextVar
from datetime import timedelta

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.connector import Connection

from lycheedyke.exceptions import WriteTooLate
from lycheedyke.timers import PauseTolerantTimer, expire

BeforeWrite = Callable[[], None]


class WriteGate:
    """Allows one request to be written at most once, if its check passes.

    Args:
        check: called before the request is written; raises an error to prevent
            that.
        due: when the time for the exchange is over, in seconds of the event
            loop. After a pause of the process, a connection may be available
            only then.

    Attributes:
        refusal: the error that the check raised.
        is_open: whether a connection was available and the check passed.
        has_timed_out: whether no connection was available in time.
    """

    def __init__(
        self, check: BeforeWrite | None, due: float = math.inf
    ) -> None:
        """Initializes a closed gate."""
        self.refusal: Exception | None = None
        self._check = check
        self._due = due
        self.is_open = False
        self.has_timed_out = False

    def __repr__(self) -> str:
        """Returns whether the gate is open."""
        return f'<WriteGate {"open" if self.is_open else "closed"}>'

    @contextlib.contextmanager
    def bounded(
        self, limit: timedelta, timeout: asyncio.Timeout
    ) -> Iterator[None]:
        """Expires a timeout if the gate is not open within the limit."""
        timer = PauseTolerantTimer(
            limit, functools.partial(self._expire_if_closed, timeout)
        )
        try:
            yield
        finally:
            timer.cancel()

    def open(self) -> None:
        """Allows the write the first time, and raises an error afterwards."""
        if self.is_open:
            raise aiohttp.ClientError('the request was already written once')
        if self.has_timed_out:
            # The end of the exchange is on its way; nothing may be written.
            raise aiohttp.ClientError('not connected in time')
        self.check()
        self.is_open = True

    def check(self) -> None:
        """Checks the time, runs the check, and stores the error it raises.

        Raises:
            WriteTooLate: the time for the exchange is over.
        """
        try:
            self._check_time()
            if self._check is not None:
                self._check()
        except Exception as error:
            self.refusal = error
            raise

    def _check_time(self) -> None:
        late = asyncio.get_running_loop().time() - self._due
        if late >= 0:
            raise WriteTooLate(
                f'the time for the exchange ended {late:.3f} s before the write'
            )

    def _expire_if_closed(self, timeout: asyncio.Timeout) -> None:
        if not self.is_open:
            self.has_timed_out = True
            expire(timeout)


gate_of_task: ContextVar[WriteGate | None] = ContextVar('gate', default=None)


class GatedRequest(aiohttp.ClientRequest):
    """A request that is written only if the gate of its task allows it.

    aiohttp sends some requests again on a new connection. A request with a
    gate is never sent a second time.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Writes a request without a body; otherwise starts its body writer."""
        gate = gate_of_task.get()
        if gate is not None:
            gate.open()
        return await super().send(conn)

    async def write_bytes(
        self,
        writer: AbstractStreamWriter,
        conn: Connection,
        content_length: int | None = None,
    ) -> None:
        """Writes the buffered headers and the body."""
        gate = gate_of_task.get()
        if gate is not None:
            try:
                gate.check()
            except Exception:
                conn.close()
                return
        await super().write_bytes(writer, conn, content_length)
