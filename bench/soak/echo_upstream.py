"""Upstream of the soak test, which crashes as a process does."""

import asyncio
import json
import time

from standins.scripted_upstream import Arrival, ScriptedUpstream

RUN_SECONDS = 0.02


class EchoUpstream(ScriptedUpstream):
    """Upstream whose response bodies contain the id of the request.

    Args:
        name: its id.
        zone: its zone.

    Attributes:
        zone: its zone.
        left_at: when the store had acknowledged that the upstream leaves, or
            when it was killed or had crashed; in seconds of the monotonic
            clock.
        cold_from: start of the cold time, in seconds of the monotonic clock.
        crashed_at: when it had crashed, in seconds of the monotonic clock.
        link: the listener of the link to it, which ends when it crashes.
        link_port: the port of that listener.
    """

    def __init__(self, name: str, zone: str = '') -> None:
        """Initializes the upstream; `open` starts it."""
        super().__init__(name)
        self.zone = zone
        self.run_s = RUN_SECONDS
        self.left_at: float | None = None
        self.cold_from: float | None = None
        self.crashed_at: float | None = None
        self.link: asyncio.Server | None = None
        self.link_port = 0

    def accepts(self, arrival: Arrival) -> bool:
        """Returns whether a request names this upstream, so that it may run."""
        return arrival.headers.get('Lycheedyke-Expect-Instance') == self.name

    def arrivals_at(self, path: str) -> list[Arrival]:
        """Returns the accepted requests for a path, with any query."""
        return [
            each
            for each in self.arrivals
            if self.accepts(each) and each.target.partition('?')[0] == path
        ]

    async def _crash(self) -> None:
        if self.link is not None:
            self.link.close()
        await super()._crash()
        self.crashed_at = time.monotonic()

    def _make_body(self, headers: dict[str, str]) -> bytes:
        request = headers['Lycheedyke-Request-Id']
        return json.dumps({'ran': request, 'pad': 'x' * 200}).encode()
