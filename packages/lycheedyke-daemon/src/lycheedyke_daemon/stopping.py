"""The planned stop of an entry instance."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from datetime import timedelta

from aiohttp import web

DRAIN_LIMIT = timedelta(seconds=40)
POLL_INTERVAL = timedelta(milliseconds=50)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
HandoverStep = Callable[[], Awaitable[None]]


class RequestTracker:
    """Counts callers' requests, and asks callers to leave at a stop."""

    def __init__(self) -> None:
        """Makes a gate that no request has passed."""
        self.in_flight = 0
        self.stopping = False

    def __repr__(self) -> str:
        """Returns the requests in flight."""
        return f'<CallerGate with {self.in_flight} in flight>'

    def track(self, handler: Handler) -> Handler:
        """Returns a handler whose requests are counted.

        While stopping, it closes the connection after each answer.
        """
        return functools.partial(self._serve, handler)

    async def _serve(
        self,
        handler: Handler,
        request: web.Request,
    ) -> web.StreamResponse:
        self.in_flight += 1
        try:
            response = await handler(request)
        finally:
            self.in_flight -= 1
        if self.stopping:
            response.force_close()
        return response


async def drain_callers(
    gate: RequestTracker,
    linger: timedelta,
    *hand_overs: HandoverStep,
) -> None:
    """Hands over, serves callers with cached answers, and lets work end.

    Args:
        gate: counts the requests in flight.
        linger: how long callers may keep answers that name this instance.
        hand_overs: called in this order before lingering.
    """
    gate.stopping = True
    for hand_over in hand_overs:
        await hand_over()
    await asyncio.sleep(linger.total_seconds())
    polls = DRAIN_LIMIT // POLL_INTERVAL
    while gate.in_flight and polls:
        polls -= 1
        await asyncio.sleep(POLL_INTERVAL.total_seconds())
