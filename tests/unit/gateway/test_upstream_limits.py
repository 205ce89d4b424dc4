"""Upstreams name the requests a second that they take from all instances."""

import asyncio
from pathlib import Path

import pytest

from standins.gateway_testbed import GatewayTestbed, Reply, run_scenario
from standins.scripted_upstream import ScriptedUpstream

# The users' bound: requests in any window from STABLE_S on.
WINDOW_S = 4.0
STABLE_S = 4.0
RATIO = 1.5
EXTRA = 5
REQUESTS_PER_S = 60
INSTANCES = 4


def _now() -> float:
    return asyncio.get_running_loop().time()


def _limit(value: object) -> str:
    return f'Server-Limit: {value}\r\n'


def _allowed(limit: float) -> float:
    return RATIO * limit * WINDOW_S + EXTRA


async def _call(
    platform: GatewayTestbed,
    seconds: float,
    *,
    instances: int = INSTANCES,
    burst: int = 1,
    path: str = 'read',
) -> list[Reply]:
    """Sends REQUESTS_PER_S for many objects to the first instances in turn."""
    replies: list[Reply] = []
    started = _now()
    number = 0
    while _now() < started + seconds:
        replies += await asyncio.gather(
            *(
                platform.send(
                    f'/{path}/{at}',
                    object_key=str(at % 97),
                    instance=at % instances,
                    method='GET' if path == 'read' else 'POST',
                )
                for at in range(number, number + burst)
            )
        )
        number += burst
        due = started + number / REQUESTS_PER_S
        await asyncio.sleep(max(0, due - _now()))
    return replies


def _most(upstream: ScriptedUpstream, since: float) -> int:
    """Returns the most requests in one window that starts after a time."""
    times = [
        each.received_at
        for each in upstream.arrivals
        if each.received_at >= since
    ]
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


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
        upstream.says = _limit(limit)
        named = _now()
        replies = await _call(platform, STABLE_S + 6, burst=burst)
        assert _most(upstream, named + STABLE_S) <= _allowed(limit)
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
            upstream.says = _limit(2.2)
        named = _now()
        replies = await _call(platform, STABLE_S + 6)
        for upstream in platform.upstreams:
            assert _most(upstream, named + STABLE_S) <= _allowed(2.2)
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
        upstream.says = _limit(20)
        await _call(platform, 5)
        upstream.says = _limit(1)
        named = _now()
        await _call(platform, 6)
        assert _most(upstream, named + 0.5) <= _allowed(1)

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=4, instances=INSTANCES)
