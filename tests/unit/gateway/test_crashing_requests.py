"""Requests that crash upstreams, sent again through running instances."""

import asyncio
import itertools
from pathlib import Path

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.scripted_upstream import ScriptedUpstream

POISON = '/read/poison'
UPSTREAMS = 6
# An upstream is back after this time, as another one.
RESTART_S = 0.3
# The users' bound: so long after the third crash, and so many requests.
STABLE_S = 4.0
MAX_RETRIES = 3


class _Service:
    """Upstreams that crash on one request and start again as others."""

    def __init__(self, platform: GatewayTestbed) -> None:
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self._platform = platform
        self._names = itertools.count(100)
        for upstream in platform.upstreams:
            upstream.crashes_on = POISON
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


# Guards against a crashing request that upstreams get again and again, once
# other upstreams have crashed beside it.
def test_other_crashes_do_not_let_a_crashing_request_run_again(
    tmp_path: Path,
) -> None:
    """Its caller goes on sending it, at every instance."""

    async def _scene(platform: GatewayTestbed) -> None:
        service = _Service(platform)
        loop = asyncio.get_running_loop()
        await platform.send(POISON)
        for upstream in platform.upstreams:
            upstream.script.append('crash')
        for at in range(UPSTREAMS):
            await platform.send(f'/read/{at}', object_key=str(at))
        third = sorted(service.crashes)[2]
        for at in itertools.count():
            if loop.time() > third + STABLE_S + 6:
                break
            await platform.send(POISON, instance=at % 2, object_key=str(at))
            await asyncio.sleep(0.4)
        assert service.count_poison_after(third + STABLE_S) <= MAX_RETRIES
        for upstream in platform.upstreams:
            upstream.script.clear()
        assert (await platform.send('/read/1')).status == 200
        await service.close()

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=UPSTREAMS, instances=2)
