"""A request that crashes upstreams whoever sends it, or for one caller alone."""

import asyncio
import itertools
import random
from collections import Counter
from pathlib import Path

import pytest

from standins.crashing_service import POISON, CrashingService
from standins.gateway_testbed import (
    GatewayTestbed,
    Reply,
    Scenario,
    run_scenario,
)
from standins.lossy_peers import lose_messages

INSTANCES = 4
UPSTREAMS = 10
CALLERS = tuple(f'127.0.0.{number}' for number in range(2, 14))
# The users' bound: so many runs, so long after the third crash.
CONDEMNING_CRASHES = 3
STABLE_S = 4.0
MAX_RETRIES = 3
DURATION_S = 32.0
POPULAR_S = 15.0
POPULAR = '/read/popular'


class _Senders:
    """Callers at many addresses, who send to random instances."""

    def __init__(self, platform: GatewayTestbed, rng: random.Random) -> None:
        self._platform = platform
        self._rng = rng

    async def send(self, path: str, caller: str = '') -> Reply:
        """Sends a request of one caller, or of a random one."""
        return await self._platform.send(
            path,
            instance=self._rng.randrange(INSTANCES),
            object_key=str(self._rng.randrange(UPSTREAMS)),
            caller=caller or self._rng.choice(CALLERS),
        )

    async def burst(self, path: str, count: int, spread_s: float) -> None:
        """Sends copies of a request, each of a random caller."""

        async def _send(at: int) -> None:
            await asyncio.sleep(spread_s * at / count)
            await self.send(path)

        await asyncio.gather(*(_send(at) for at in range(count)))


def _play(folder: Path, scene: Scenario) -> None:
    run_scenario(
        folder,
        scene,
        limit_s=120,
        upstreams=UPSTREAMS,
        instances=INSTANCES,
    )


# Guards against a request that goes on ending upstreams because each of its
# callers comes from another address.
@pytest.mark.parametrize('is_lossy', [False, True])
@pytest.mark.parametrize(
    ('count', 'spread_s', 'pause_s'),
    [
        (1, 0.0, 0.16),
        (1, 0.0, 0.5),
        (1, 0.0, 2.0),
        (5, 0.2, 6.0),
        (8, 0.2, 3.0),
    ],
)
def test_a_crashing_request_of_many_callers_ends(
    tmp_path: Path, count: int, spread_s: float, pause_s: float, is_lossy: bool
) -> None:
    """Few runs come later than the users allow after the third crash."""
    rng = random.Random(f'{count} {pause_s} {is_lossy}')

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        await platform.wait_all_listed()
        if is_lossy:
            lose_messages(platform, rng)
        senders = _Senders(platform, rng)
        loop = asyncio.get_running_loop()
        end = loop.time() + DURATION_S
        bursts = []
        while loop.time() < end:
            bursts.append(
                asyncio.create_task(senders.burst(POISON, count, spread_s))
            )
            await asyncio.sleep(pause_s)
        await asyncio.gather(*bursts)
        assert len(service.crashes) >= CONDEMNING_CRASHES
        third = sorted(service.crashes)[CONDEMNING_CRASHES - 1]
        late = service.count_poison_after(third + STABLE_S)
        assert late <= MAX_RETRIES, f'of {len(service.crashes)} crashes'
        assert (await platform.send('/read/1')).status == 200
        await service.close()

    _play(tmp_path, _scene)


# Guards against a path that is refused to all its callers, because one of them
# sends it with a query that crashes upstreams.
def test_others_are_not_refused_for_the_query_of_one_caller(
    tmp_path: Path,
) -> None:
    """That caller is refused in the end, and the path is served to others."""
    rng = random.Random('one caller')

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform, f'{POPULAR}?page=bad')
        await platform.wait_all_listed()
        senders = _Senders(platform, rng)
        loop = asyncio.get_running_loop()
        end = loop.time() + DURATION_S
        bad: list[Reply] = []
        statuses: Counter[int] = Counter()

        async def _send_bad() -> None:
            while loop.time() < end:
                bad.append(
                    await senders.send(f'{POPULAR}?page=bad', '127.0.0.99')
                )
                await asyncio.sleep(0.4)

        async def _send_others() -> None:
            for caller in itertools.cycle(CALLERS):
                if loop.time() > end:
                    return
                reply = await senders.send(POPULAR, caller)
                statuses[reply.status] += 1
                await asyncio.sleep(0.1)

        await asyncio.gather(_send_bad(), _send_others())
        assert bad[-1].body == b'quarantined'
        assert statuses[503] == 0, statuses
        assert len(service.crashes) <= 6
        await service.close()

    _play(tmp_path, _scene)


# Guards against a path that many callers ask for at once, and that is refused
# because it is in flight wherever an upstream crashes by chance.
@pytest.mark.parametrize('seed', range(2))
def test_a_popular_path_is_served_beside_crashes_by_chance(
    tmp_path: Path, seed: int
) -> None:
    """It is in flight at all upstreams; one crashes every three seconds."""
    rng = random.Random(seed)

    async def _scene(platform: GatewayTestbed) -> None:
        service = CrashingService(platform)
        for upstream in platform.upstreams:
            upstream.run_of_path = lambda _: 0.1
        await platform.wait_all_listed()
        senders = _Senders(platform, rng)
        loop = asyncio.get_running_loop()
        end = loop.time() + POPULAR_S
        replies: list[Reply] = []

        async def _ask(caller: str) -> None:
            while loop.time() < end:
                replies.append(await senders.send(POPULAR, caller))
                await asyncio.sleep(rng.uniform(0.05, 0.2))

        async def _crash() -> None:
            while loop.time() < end:
                await asyncio.sleep(rng.uniform(2, 4))
                busy = max(
                    platform.upstreams, key=lambda each: len(each.arrivals)
                )
                busy.script.append('crash')
                busy.arrivals.clear()

        await asyncio.gather(_crash(), *map(_ask, CALLERS))
        assert len(service.crashes) >= CONDEMNING_CRASHES
        refused = [each for each in replies if each.body == b'quarantined']
        assert not refused, f'{len(refused)} of {len(replies)}'
        await service.close()

    _play(tmp_path, _scene)
