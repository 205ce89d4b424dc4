"""Upstreams of the gateway's testbed that crash on one request."""

import asyncio
import itertools

from standins.gateway_testbed import GatewayTestbed
from standins.scripted_upstream import ScriptedUpstream

POISON = '/read/poison'
RESTART_S = 0.3


class CrashingService:
    """Upstreams that crash on one request and start again as others.

    Attributes:
        crashes: the loop times of all crashes.

    Args:
        platform: the testbed, whose upstreams are used.
        crashes_on: the path of the request, with a query or for any query.
    """

    def __init__(
        self, platform: GatewayTestbed, crashes_on: str = POISON
    ) -> None:
        """Starts to watch the upstreams."""
        self.crashes: list[float] = []
        self._platform = platform
        self._names = itertools.count(100)
        for upstream in platform.upstreams:
            upstream.crashes_on = crashes_on
        self._keepers = [
            asyncio.create_task(self._keep(each)) for each in platform.upstreams
        ]

    async def close(self) -> None:
        """Ends the restarts; all upstreams are left running."""
        for keeper in self._keepers:
            keeper.cancel()
        await asyncio.wait(self._keepers)

    async def _keep(self, upstream: ScriptedUpstream) -> None:
        while True:
            await upstream.crashed.wait()
            self.crashes.append(asyncio.get_running_loop().time())
            upstream.crashed.clear()
            await asyncio.sleep(RESTART_S)
            self._platform.store.remove(f'servers/{upstream.name}')
            upstream.name = f'i-{next(self._names)}'
            await upstream.open()
            self._platform.register(upstream)

    def count_poison_after(self, time: float) -> int:
        """Returns how many crashing requests arrived after a loop time."""
        return sum(
            arrival.target == POISON and arrival.received_at > time
            for upstream in self._platform.upstreams
            for arrival in upstream.arrivals
        )
