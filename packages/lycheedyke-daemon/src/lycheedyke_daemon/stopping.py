"""The graceful stop of an entry instance."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta

from aiohttp import web

from lycheedyke_daemon.pipeline import TURN, wait_turn

DRAIN_LIMIT = timedelta(seconds=40)
POLL_INTERVAL = timedelta(milliseconds=50)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
HandoverStep = Callable[[], Awaitable[None]]


class RequestTracker:
    """Counts requests in flight, and closes connections during a stop.

    A request is in flight until its answer is written. During a stop, each
    connection closes after the last answer that is owed. A request behind
    others is not begun before their answers are written, so it is dropped with
    the connection, unless handlers refuse it.

    Args:
        refuses_behind: whether handlers refuse, during a stop, each request
            behind others.
    """

    def __init__(self, *, refuses_behind: bool = False) -> None:
        """Starts without requests in flight."""
        self._refuses_behind = refuses_behind
        self.in_flight = 0
        self.stopping = False
        self._timers: set[asyncio.Timeout] = set()

    def __repr__(self) -> str:
        """Returns the number of requests in flight."""
        return f'<RequestTracker with {self.in_flight} in flight>'

    def track(self, handler: Handler) -> Handler:
        """Returns a handler whose requests are counted.

        The handler writes the answer itself.
        """
        return functools.partial(self._serve, handler)

    @contextlib.asynccontextmanager
    async def interruptible(self) -> AsyncIterator[None]:
        """Ends the block when requests are interrupted.

        Raises:
            TimeoutError: the block was interrupted.
        """
        async with asyncio.timeout(None) as timer:
            self._timers.add(timer)
            try:
                yield
            finally:
                self._timers.discard(timer)

    def interrupt(self) -> None:
        """Interrupts the requests in flight, which are answered at once."""
        now = asyncio.get_running_loop().time()
        for timer in self._timers:
            timer.reschedule(now)

    async def prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Waits for the turn of an answer, and begins to write it.

        Args:
            request: the request.
            response: its answer, which is told whether the connection closes
                after it.
        """
        # A stop may begin while the answer waits for its turn.
        await request[TURN].wait_first()
        self._refuse_rest_if_stopping(request)
        await wait_turn(request, response, closes=self.stopping)
        await response.prepare(request)

    def _refuse_rest_if_stopping(self, request: web.Request) -> None:
        if self.stopping and self._refuses_behind:
            request[TURN].refuse_rest()

    async def _serve(
        self,
        handler: Handler,
        request: web.Request,
    ) -> web.StreamResponse:
        self.in_flight += 1
        try:
            if self.stopping and not self._refuses_behind:
                # The answer before it may close the connection.
                await request[TURN].wait_first()
            response = await handler(request)
            if response.prepared:
                # The caller was not told that the connection closes, so it
                # stays open for the refusal of the next request.
                self._refuse_rest_if_stopping(request)
            else:
                await self.prepare(request, response)
            await response.write_eof()
        finally:
            self.in_flight -= 1
        return response


async def drain_callers(
    tracker: RequestTracker,
    linger: timedelta,
    *steps: HandoverStep,
) -> None:
    """Hands over, lingers, and waits for the requests in flight.

    Args:
        tracker: counts the requests in flight.
        linger: how long callers may cache look-up answers that name this
            instance; it serves them meanwhile.
        steps: hand over the instance's duties; called in this order before
            lingering.
    """
    tracker.stopping = True
    for step in steps:
        await step()
    await asyncio.sleep(linger.total_seconds())
    polls = DRAIN_LIMIT // POLL_INTERVAL
    while tracker.in_flight and polls:
        polls -= 1
        await asyncio.sleep(POLL_INTERVAL.total_seconds())
