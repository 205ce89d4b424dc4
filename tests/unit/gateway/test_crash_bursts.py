"""Requests that crash upstreams in bursts, and sound ones beside crashes."""

import asyncio
import random
from pathlib import Path

import pytest

from standins.crashing_service import POISON, CrashingService
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.lossy_peers import lose_messages

INSTANCES = 4
UPSTREAMS = 10
# The users' bound: so many runs, so long after the third crash.
CONDEMNING_CRASHES = 3
STABLE_S = 4.0
MAX_RETRIES = 3
DURATION_S = 32.0


async def _burst(
    platform: GatewayTestbed, count: int, spread_s: float, rng: random.Random
) -> None:
    """Sends the crashing request to random instances, side by side."""

    async def _send(at: int) -> None:
        await asyncio.sleep(spread_s * at / count)
        await platform.send(
            POISON,
            instance=rng.randrange(INSTANCES),
            object_key=str(rng.randrange(UPSTREAMS)),
        )

    await asyncio.gather(*(_send(at) for at in range(count)))


# Guards against a request that goes on ending upstreams because its own bursts
# are taken for the failure of a zone, or because reports on it are lost.
@pytest.mark.parametrize('is_lossy', [False, True])
@pytest.mark.parametrize(
    ('count', 'spread_s', 'pause_s'),
    [(1, 0.0, 2.0), (3, 0.4, 9.0), (5, 0.2, 6.0), (8, 0.2, 6.0)],
)
def test_bursts_of_a_crashing_request_end(
    tmp_path: Path, count: int, spread_s: float, pause_s: float, is_lossy: bool
) -> None:
    """Few runs come later than the users allow after the third crash."""
    rng = random.Random(f'{count} {is_lossy}')

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        await platform.wait_all_listed()
        if is_lossy:
            lose_messages(platform, rng)
        loop = asyncio.get_running_loop()
        end = loop.time() + DURATION_S
        while loop.time() < end:
            await _burst(platform, count, spread_s, rng)
            await asyncio.sleep(pause_s)
        late = 0
        if len(service.crashes) >= CONDEMNING_CRASHES:
            third = sorted(service.crashes)[CONDEMNING_CRASHES - 1]
            late = service.count_poison_after(third + STABLE_S)
        assert late <= MAX_RETRIES, f'of {len(service.crashes)} crashes'
        assert (await platform.send('/read/1')).status == 200
        await service.close()

    run_scenario(
        tmp_path,
        _scene,
        limit_s=120,
        upstreams=UPSTREAMS,
        instances=INSTANCES,
    )


# Guards against a sound request that is refused because upstreams crashed by
# chance while it was the only request there.
def test_a_lone_request_at_crashes_by_chance_is_answered(
    tmp_path: Path,
) -> None:
    """Soak seeds 43, 206 and 307; they refused it for ten minutes."""

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        await platform.wait_all_listed()
        for upstream in platform.upstreams:
            upstream.script.append('crash')
        reply = await platform.send('/read/sound')
        assert reply.status == 502
        assert len(service.crashes) == 2
        for upstream in platform.upstreams:
            upstream.script.clear()
        for at in range(INSTANCES):
            reply = await platform.send('/read/sound', instance=at)
            assert (reply.status, reply.body) == (200, b'{"ran": "whole"}')
        await service.close()

    run_scenario(
        tmp_path,
        _scene,
        limit_s=60,
        upstreams=UPSTREAMS,
        instances=INSTANCES,
    )
