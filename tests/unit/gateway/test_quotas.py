"""The quota of a tenant holds over all instances together."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.quota_scenes import (
    TENANT,
    allowed,
    ask,
    cut_off,
    find_issuer,
    kill,
    longest_gap,
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


# Guards against a quota that is divided among instances.
def test_callers_who_move_use_the_whole_quota(tmp_path: Path) -> None:
    """All requests go to one instance, and to the next one every 2 s."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 20, 0)
        await asyncio.sleep(3)
        offered = await offer(
            testbed,
            per_s=40,
            seconds=12,
            choose=lambda number: number // 80 % INSTANCES,
        )
        served = times_of(offered)
        assert len(served) >= 0.9 * 20 * 12
        assert most_in_window(served) <= allowed(20, 0, 5)

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=8, instances=INSTANCES)


async def _stop(testbed: GatewayTestbed, at: int) -> None:
    testbed.settings.pop(at)
    await testbed.instances.pop(at).stop()


# Guards against a quota that nobody issues, or two issue, after the end of its
# issuer.
@pytest.mark.parametrize('end', [_stop, kill])
def test_another_instance_issues_after_the_end_of_the_first(
    tmp_path: Path,
    end: Callable[[GatewayTestbed, int], Coroutine[Any, Any, None]],
) -> None:
    """Neither a planned stop nor a kill leaves a gap."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 20, 0)
        await asyncio.sleep(3)
        name = testbed.instances[find_issuer(testbed)]._own.name
        before = await offer(testbed, per_s=40, seconds=4)
        ending = asyncio.create_task(end(testbed, find_issuer(testbed)))
        after = await offer(testbed, per_s=40, seconds=8)
        await ending
        await testbed.start(name)
        returned = await offer(testbed, per_s=40, seconds=8)
        served = times_of([*before, *after, *returned])
        assert most_in_window(served) <= allowed(20, 0, 5)
        assert longest_gap(served) < 1
        assert len(times_of(returned)) >= 0.8 * 20 * 8

    run_scenario(tmp_path, _scene, limit_s=90, upstreams=8, instances=INSTANCES)


# Guards against an issuer that is cut off and issues what others issue.
@pytest.mark.parametrize('is_registry_away', [False, True])
def test_an_issuer_that_is_cut_off_is_replaced(
    tmp_path: Path, is_registry_away: bool
) -> None:
    """Its own callers get the tolerance at most; it comes back later."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 20, 0)
        await asyncio.sleep(3)
        away = find_issuer(testbed)
        before = await offer(testbed, per_s=40, seconds=4)
        testbed.store.down = is_registry_away
        mend = cut_off(testbed, away)
        during = await offer(testbed, per_s=40, seconds=5)
        if not is_registry_away:
            testbed.store.end_expired_leases()
        during += await offer(testbed, per_s=40, seconds=8)
        mend()
        testbed.store.down = False
        after = await offer(testbed, per_s=40, seconds=10)
        served = times_of([*before, *during, *after])
        assert most_in_window(served) <= allowed(20, 0, 5)
        assert times_of(during)
        assert len(times_of(after)) >= 0.5 * 20 * 10

    run_scenario(tmp_path, _scene, limit_s=90, upstreams=8, instances=INSTANCES)


# Guards against quotas that depend on the registry.
def test_the_quota_holds_while_the_registry_is_away(tmp_path: Path) -> None:
    """Issuers and instances stay as they were."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 20, 0)
        await asyncio.sleep(3)
        testbed.store.down = True
        served = times_of(await offer(testbed, per_s=40, seconds=12))
        assert len(served) >= 0.9 * 20 * 12
        assert most_in_window(served) <= allowed(20, 0, 5)

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=8, instances=INSTANCES)


# Guards against a lowered quota that permits of the higher one exceed.
def test_a_quota_is_lowered_and_raised(tmp_path: Path) -> None:
    """A lower one holds a window later, a higher one at once."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 60, 30)
        await asyncio.sleep(3)
        await offer(testbed, per_s=100, seconds=3)
        await set_quota(testbed, 10, 0, version=0x21)
        lowered = asyncio.get_running_loop().time()
        low = await offer(testbed, per_s=60, seconds=12)
        late = [at for at in times_of(low) if at > lowered + 5]
        assert most_in_window(late) <= allowed(10, 0, 5)
        assert len(late) >= 0.9 * 10 * 6
        await set_quota(testbed, 60, 0, version=0x22)
        high = times_of(await offer(testbed, per_s=100, seconds=4))
        assert len(high) >= 0.9 * 60 * 4

    run_scenario(tmp_path, _scene, limit_s=90, upstreams=16, instances=2)


# Guards against requests that cost a permit and reach no upstream.
def test_a_request_that_did_not_run_returns_its_permit(tmp_path: Path) -> None:
    """While no upstream serves, none is refused for the quota."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 0.1, 3)
        await asyncio.sleep(20)
        for upstream in testbed.upstreams:
            testbed.store.remove(f'servers/{upstream.name}')
        await asyncio.sleep(1)
        refused = [
            (await ask(testbed, instance=0)).reply.status for _ in range(30)
        ]
        assert set(refused) == {503}
        assert testbed.instances[0]._counters.counts['not-run.no-upstream']
        for upstream in testbed.upstreams:
            testbed.register(upstream)
        await asyncio.sleep(1)
        assert (await ask(testbed, instance=0)).reply.status == 200

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=2, instances=2)


# Guards against a refusal that does not say when to come back.
def test_a_refusal_names_the_time_of_the_next_permit(tmp_path: Path) -> None:
    """A request that comes then is served."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 0.5, 0)
        await asyncio.sleep(3)
        statuses = []
        for _ in range(4):
            served = await ask(testbed)
            statuses.append(served.reply.status)
            if served.reply.status == 429:
                wait = float(served.reply.headers['Retry-After'])
                assert wait > 0
        assert statuses == [200, 429, 429, 429]
        assert not any(
            each._counters.counts['not-run.no-quota-known']
            for each in testbed.instances
        )

    run_scenario(tmp_path, _scene, limit_s=30, upstreams=2, instances=2)


# Guards against a tenant without a rate that waits for permits.
def test_a_tenant_without_a_rate_needs_no_permit(tmp_path: Path) -> None:
    """No question is sent."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 0, 0)
        served = await offer(testbed, per_s=40, seconds=2)
        assert {each.reply.status for each in served} == {200}
        assert not any(
            each._counters.counts['quota.asked'] for each in testbed.instances
        )

    run_scenario(tmp_path, _scene, limit_s=30, upstreams=8, instances=2)


# Guards against fairness without knowledge of the tenants' demand.
def test_instances_know_the_use_of_a_quota(tmp_path: Path) -> None:
    """It is the demand of all instances over the quota."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await set_quota(testbed, 20, 20)
        await asyncio.sleep(3)
        await offer(testbed, per_s=40, seconds=8)
        for instance in testbed.instances:
            use = instance._exchanges.quotas.tenant_use.use(TENANT)
            assert use is not None
            assert 1.4 < use < 2.6
        await asyncio.sleep(6)
        assert (
            testbed.instances[0]._exchanges.quotas.tenant_use.use(TENANT)
            is None
        )

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=8, instances=INSTANCES)
