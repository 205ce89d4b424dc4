"""Upstreams name the requests a second that they take from all instances."""

import asyncio
from pathlib import Path

import pytest

from lycheedyke_daemon.gateway._peer_updates import PeerUpdates
from standins.gateway_testbed import ROUTES, GatewayTestbed, run_scenario
from standins.limit_scenes import (
    REQUESTS_PER_S,
    STABLE_S,
    allowed,
    call,
    count_arrivals,
    count_served,
    known_limits,
    most_arrivals,
    name_limits,
    now,
)
from standins.registry_store import config_value

INSTANCES = 4
_PRIORITIES = [
    {**route, 'priority': priority}
    for route, priority in zip(ROUTES, (1, 0), strict=True)
]


# Guards against LIMIT: more requests to an upstream than the limit that it has
# named in its answers.
@pytest.mark.parametrize('limit', [2.2, 6, 0.5, 0])
@pytest.mark.parametrize('burst', [1, 60])
def test_an_upstream_gets_no_more_than_the_limit_it_names(
    tmp_path: Path, limit: float, burst: int
) -> None:
    """The other upstreams serve what it does not take."""

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        await platform.wait_all_listed()
        named = name_limits([upstream], limit)
        replies = await call(platform, STABLE_S + 6, burst=burst)
        assert most_arrivals(upstream, named + STABLE_S) <= allowed(limit)
        assert {each.status for each in replies} == {200}

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=INSTANCES)


# Guards against LIMIT where no upstream of a service is left without one.
def test_a_service_whose_upstreams_all_name_limits_refuses_the_rest(
    tmp_path: Path,
) -> None:
    """The rest is refused at once, with a time to come back."""

    async def _scene(platform: GatewayTestbed) -> None:
        await platform.wait_all_listed()
        for upstream in platform.upstreams:
            named = name_limits([upstream], 2.2)
        replies = await call(platform, STABLE_S + 6)
        for upstream in platform.upstreams:
            assert most_arrivals(upstream, named + STABLE_S) <= allowed(2.2)
        assert {each.status for each in replies} == {200, 503}
        assert all(
            float(each.headers['Retry-After']) > 0
            for each in replies
            if each.status == 503
        )

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=INSTANCES)


# Guards against LIMIT after a fall: requests that an earlier limit allowed.
def test_a_lower_limit_takes_effect_at_once(tmp_path: Path) -> None:
    """Sends that were allowed under the earlier limit are not made any more."""

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        await platform.wait_all_listed()
        name_limits([upstream], 20)
        await call(platform, 5)
        named = name_limits([upstream], 1)
        await call(platform, 6)
        assert most_arrivals(upstream, named + 0.5) <= allowed(1)

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=INSTANCES)


# Guards against limits of which each instance uses its part alone, whoever has the
# requests.
def test_one_instance_with_all_callers_uses_half_of_each_limit(
    tmp_path: Path,
) -> None:
    """Seven of eight instances get no requests."""

    async def _scene(platform: GatewayTestbed) -> None:
        await platform.wait_all_listed()
        for upstream in platform.upstreams:
            named = name_limits([upstream], 6)
        await call(platform, STABLE_S + 6, instances=1)
        for upstream in platform.upstreams:
            assert most_arrivals(upstream, named + STABLE_S) <= allowed(6)
            served = count_arrivals(upstream, named + STABLE_S, now())
            assert served >= 6 * 6 / 2

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=8)


# Guards against a limit so low that nobody hears of its end.
@pytest.mark.parametrize(
    ('limit', 'instances'), [(0, 4), (0, 12), (0.3, 12), (2.2, 4)]
)
def test_an_upstream_whose_limit_has_ended_is_used_again(
    tmp_path: Path, limit: float, instances: int
) -> None:
    """Within seconds it gets half of its part of the requests, or more."""

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        await platform.wait_all_listed()
        name_limits([upstream], limit)
        await call(platform, 5, instances=instances)
        upstream.says = ''
        ended = now()
        await call(platform, 14, instances=instances)
        part = REQUESTS_PER_S / len(platform.upstreams)
        assert count_arrivals(upstream, ended + 10, ended + 14) >= part * 4 / 2

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=instances)


def test_instances_that_send_nothing_learn_of_a_limit_and_of_its_end(
    tmp_path: Path,
) -> None:
    """All callers are at the first instance."""

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        await platform.wait_all_listed()
        name_limits([upstream], 3.5)
        await call(platform, 2, instances=1)
        assert known_limits(platform, upstream) == [3.5] * INSTANCES
        name_limits([upstream], 7)
        await call(platform, 3, instances=1)
        assert known_limits(platform, upstream) == [7] * INSTANCES
        upstream.says = ''
        await call(platform, 4, instances=1)
        assert known_limits(platform, upstream) == [None] * INSTANCES

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=2, instances=INSTANCES)


# Guards against LIMIT where the instance that issues the permits is gone.
@pytest.mark.parametrize('is_planned', [True, False])
def test_a_limit_is_kept_and_used_without_the_issuer(
    tmp_path: Path, is_planned: bool
) -> None:
    """The next instance issues the permits."""

    async def _scene(platform: GatewayTestbed) -> None:
        await platform.wait_all_listed()
        for upstream in platform.upstreams:
            named = name_limits([upstream], 6)
        await call(platform, 3)
        gone = platform.instances.pop()
        platform.settings.pop()
        if not is_planned:
            await gone._servers.close()
        stop = asyncio.create_task(gone.stop())
        since = now()
        await call(platform, 8, instances=INSTANCES - 1)
        await stop
        for upstream in platform.upstreams:
            assert most_arrivals(upstream, named + STABLE_S) <= allowed(6)
            assert count_arrivals(upstream, since + 2, since + 8) >= 6 * 6 / 2

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=3, instances=INSTANCES)


# Guards against LIMIT where instances reach none of each other.
def test_instances_without_peers_keep_a_limit_together(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each uses its part of the limit only."""

    async def _lose(*_: object) -> None:
        await asyncio.sleep(0.3)

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        await platform.wait_all_listed()
        monkeypatch.setattr(PeerUpdates, 'send', _lose)
        named = name_limits([upstream], 2.2)
        replies = await call(platform, STABLE_S + 6)
        assert most_arrivals(upstream, named + STABLE_S) <= allowed(2.2)
        assert {each.status for each in replies} == {200}

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=INSTANCES)


# Guards against look-ups that take the sends which urgent requests are refused.
def test_urgent_requests_get_the_sends_of_a_limited_service(
    tmp_path: Path,
) -> None:
    """Orders have the higher priority; look-ups get what they leave."""

    async def _scene(platform: GatewayTestbed) -> None:
        await platform.wait_all_listed()
        platform.store.put('op/config', config_value(0x12, _PRIORITIES))
        await asyncio.sleep(2)
        name_limits(platform.upstreams, 6)
        orders, reads = await asyncio.gather(
            call(platform, 12, instances=2, path='order'),
            call(platform, 12, instances=2),
        )
        assert count_served(orders) > 2 * count_served(reads)

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=2)


# Guards against permits that expire at instances with few requests, while requests
# that want one are sent elsewhere.
def test_a_request_waits_a_moment_for_the_permit_of_its_home(
    tmp_path: Path,
) -> None:
    """The issuer answers at once, in the region of the upstream."""

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        await platform.wait_all_listed()
        name_limits([upstream], 2.2)
        for number in range(80):
            reply = await platform.send(
                f'/read/{number}',
                object_key=str(number),
                instance=number % INSTANCES,
            )
            assert reply.status == 200
            await asyncio.sleep(0.7)
        held_back = sum(
            each._counters.counts['limit.held-back']
            for each in platform.instances
        )
        assert held_back <= len(upstream.arrivals) / 4

    run_scenario(tmp_path, _scene, limit_s=90, upstreams=2, instances=INSTANCES)
