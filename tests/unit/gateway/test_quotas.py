"""The quota of a tenant holds over all instances together."""

import asyncio
from pathlib import Path

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.quota_scenes import (
    allowed,
    most_in_window,
    offer,
    set_quota,
    times_of,
)

INSTANCES = 3


# Guards against a quota that each instance grants anew.
def test_a_tenant_gets_its_quota_once(tmp_path: Path) -> None:
    """A rate of 10 over three instances is 10 a second, and the burst."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 10, 20)
        await asyncio.sleep(3)
        offered = await offer(testbed, per_s=30, seconds=10)
        served = times_of(offered)
        assert {each.reply.status for each in offered} == {200, 429}
        assert len(served) <= allowed(10, 20, 10)
        assert len(served) >= 0.9 * (10 * 10 + 20)
        assert most_in_window(served) <= allowed(10, 20, 5)

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=INSTANCES)
