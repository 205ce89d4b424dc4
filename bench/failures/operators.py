"""Operators that submit conflicting tickets concurrently."""

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


class AcceptedTicket(NamedTuple):
    """A ticket whose acceptance was confirmed to an operator.

    Attributes:
        number: the ticket number.
        accepted_at: when the operator received the confirmation, in Unix
            seconds.
        leaving: the upstream that the ticket marks as leaving, or ''.
    """

    number: int
    accepted_at: float
    leaving: str = ''


class Operators:
    """Submits conflicting tickets through random entry instances.

    Args:
        deployment: the started deployment.
        upstreams: the upstreams of the first ticket, by name.
        seed: seed of all random choices.
    """

    def __init__(
        self,
        deployment: Deployment,
        upstreams: dict[str, Any],
        seed: int,
    ) -> None:
        """Initializes the operators; `run` starts them."""
        self.accepted: list[AcceptedTicket] = []
        self.refused = 0
        self.unknown = 0
        self._deployment = deployment
        self._upstreams = upstreams
        self._random = random.Random(seed)
        self._left_upstreams: set[str] = set()
        self._stopped = False

    async def run(self) -> None:
        """Submits pairs of conflicting tickets until `stop`."""
        while not self._stopped:
            await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))
            leaving = self._choose_upstream()
            if leaving:
                await asyncio.gather(
                    self._submit(leaving, 'leaving'),
                    self._submit(leaving, 'serving'),
                )

    def stop(self) -> None:
        """Stops after the current pair of tickets."""
        self._stopped = True

    def _choose_upstream(self) -> str:
        """Returns an upstream that may leave, or '' if a quarter has left."""
        free = sorted(set(self._upstreams) - self._left_upstreams)
        if len(free) <= len(self._upstreams) * 3 // 4:
            return ''
        return self._random.choice(free)

    async def _submit(self, name: str, phase: str) -> None:
        spec = self._random.choice(list(self._deployment.instances.values()))
        url = f'http://{spec.admin}/v1'
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
            self._left_upstreams.add(name)
        self.accepted.append(
            AcceptedTicket(
                found['accepted'], time.time(), name if is_leaving else ''
            ),
        )
