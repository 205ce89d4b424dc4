"""The planned stop of an entry instance."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from aiohttp import web

MOST_FINISHING = timedelta(seconds=40)
POLL_INTERVAL = timedelta(milliseconds=50)

HandOver = Callable[[], Awaitable[None]]


class CallerGate:
    """Counts callers' requests, and asks callers to leave at a stop."""

    def __init__(self) -> None:
        """Makes a gate that no request has passed."""
        self.in_flight = 0
        self.stopping = False

    def __repr__(self) -> str:
        """Returns the requests in flight."""
        return f'<CallerGate with {self.in_flight} in flight>'

    @web.middleware
    async def watch(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Serves a request; while stopping, closes its connection after."""
        self.in_flight += 1
        try:
            response = await handler(request)
        finally:
            self.in_flight -= 1
        if self.stopping:
            response.force_close()
        return response


async def finish_callers(
    gate: CallerGate,
    linger: timedelta,
    *hand_overs: HandOver,
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
    polls = MOST_FINISHING // POLL_INTERVAL
    while gate.in_flight and polls:
        polls -= 1
        await asyncio.sleep(POLL_INTERVAL.total_seconds())
