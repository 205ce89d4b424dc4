"""Upstream of the soak test, which crashes as a process does."""

import asyncio
import json
import time
from typing import NamedTuple

from standins.scripted_upstream import (
    REQUEST_ID,
    SEAL,
    Arrival,
    ScriptedUpstream,
)

RUN_SECONDS = 0.02
PAUSE_SECONDS = 4.0
LEAVING = 'Server-Leaving: 1\r\n'
PAUSE = f'Lycheedyke-Not-Run: 1\r\nRetry-After: {PAUSE_SECONDS}\r\n'


class Wish(NamedTuple):
    """What an upstream said in the answer to a request.

    Attributes:
        request: the request id.
        told: when it was said, in seconds of the monotonic clock.
    """

    request: str
    told: float


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
        farewells: the answers that said that it leaves.
        pauses: the refusals that asked for a pause.
        limits: the limits that it has named, each with the time from which it
            did, in seconds of the monotonic clock; None without a limit.
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
        self.farewells: list[Wish] = []
        self.pauses: list[Wish] = []
        self.limits: list[tuple[float, float | None]] = []
        self.link: asyncio.Server | None = None
        self.link_port = 0

    def change_limit(self, rate: float | None) -> None:
        """Names a limit in all answers from now on, or none."""
        self.limits.append((time.monotonic(), rate))

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

    async def _perform(
        self,
        action: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        target: str,
    ) -> bool:
        if action == 'pause':
            self.pauses.append(Wish(headers[REQUEST_ID], time.monotonic()))
            await self._send(writer, headers, '503 Busy', PAUSE, b'')
            return True
        # Half of the failures have a status that callers take for a promise.
        if action == 'fail' and len(self.started) % 2:
            self.started.append(headers[REQUEST_ID])
            await asyncio.sleep(self.run_of_path(target))
            await self._send(writer, headers, '503 Failed', SEAL, b'no')
            return True
        return await super()._perform(action, reader, writer, headers, target)

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        status: str,
        extra: str,
        body: bytes,
    ) -> None:
        if self.limits and self.limits[-1][1] is not None:
            extra = f'{extra}Server-Limit: {self.limits[-1][1]}\r\n'
        if self.says:
            self.farewells.append(Wish(headers[REQUEST_ID], time.monotonic()))
        await super()._send(writer, headers, status, extra, body)

    def _make_body(self, headers: dict[str, str]) -> bytes:
        request = headers['Lycheedyke-Request-Id']
        return json.dumps({'ran': request, 'pad': 'x' * 200}).encode()
