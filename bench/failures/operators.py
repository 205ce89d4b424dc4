"""Operators who race each other with tickets."""

import asyncio
import random
import secrets
import time
from datetime import UTC, datetime
from typing import Any, NamedTuple

import aiohttp

from standins.deployment import Deployment, admin_headers, call

PAUSE_SECONDS = (1.0, 3.0)
CALL_SECONDS = 15
HTTP_OK = 200


class Accepted(NamedTuple):
    """A ticket that an operator was told was accepted.

    Attributes:
        number: its number.
        at: when the operator was told, in Unix seconds.
        leaving: the upstream that it made leave, or ''.
    """

    number: int
    at: float
    leaving: str = ''


class Operators:
    """Hands in racing tickets through random entry instances.

    Args:
        running: the deployment.
        upstreams: the upstreams as in the first ticket, by name.
        seed: makes the choices repeatable.
    """

    def __init__(
        self,
        running: Deployment,
        upstreams: dict[str, Any],
        seed: int,
    ) -> None:
        """Makes operators who have not acted."""
        self.accepted: list[Accepted] = []
        self.refused = 0
        self.unknown = 0
        self._running = running
        self._upstreams = upstreams
        self._random = random.Random(seed)
        self._left: set[str] = set()
        self._stopped = False

    async def run(self) -> None:
        """Hands in pairs of tickets until `stop`."""
        while not self._stopped:
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
            leaving = self._choose()
            if leaving:
                await asyncio.gather(
                    self._hand_in(leaving, 'leaving'),
                    self._hand_in(leaving, 'serving'),
                )

    def stop(self) -> None:
        """Lets the last pair end."""
        self._stopped = True

    def _choose(self) -> str:
        free = sorted(set(self._upstreams) - self._left)
        if len(free) <= len(self._upstreams) * 3 // 4:
            return ''
        return self._random.choice(free)

    async def _hand_in(self, name: str, phase: str) -> None:
        seat = self._random.choice(list(self._running.instances.values()))
        url = f'http://{seat.admin}/v1'
        options: dict[str, Any] = {
            'headers': admin_headers(),
            'timeout': aiohttp.ClientTimeout(total=CALL_SECONDS),
        }
        try:
            _, status = await call('GET', f'{url}/status', **options)
            ticket = {
                'author': secrets.token_hex(8),
                'based_on': status['ticket'],
                'created': datetime.now(UTC).isoformat(),
                'upstreams': {name: {**self._upstreams[name], 'phase': phase}},
            }
            status, found = await call(
                'POST',
                f'{url}/tickets',
                json=ticket,
                **options,
            )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            self.unknown += 1
            return
        if status != HTTP_OK:
            self.refused += 1
            return
        is_leaving = phase == 'leaving'
        if is_leaving:
            self._left.add(name)
        self.accepted.append(
            Accepted(
                found['accepted'], time.time(), name if is_leaving else ''
            ),
        )
