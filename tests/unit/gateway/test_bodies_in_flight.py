"""Request bodies in flight to one upstream, and on the own link."""

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest

import standins.gateway_testbed
from lycheedyke.state import Distances
from standins.gateway_testbed import SETTINGS, GatewayTestbed, run_scenario

BOUND = 500_000
BODY = b'x' * 300_000
LARGE = b'x' * 600_000
RUN_S = 0.3


@pytest.fixture(autouse=True)
def _bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        standins.gateway_testbed,
        'SETTINGS',
        SETTINGS.replace(
            '[limits]', f'[limits]\nupstream_body_bytes = {BOUND}'
        ),
    )


def _sizes(platform: GatewayTestbed) -> list[int]:
    return [len(each.arrivals) for each in platform.upstreams]


def _send(platform: GatewayTestbed, body: bytes) -> asyncio.Task[int]:
    async def _status() -> int:
        reply = await platform.send('/order/1', method='POST', body=body)
        return reply.status

    return asyncio.create_task(_status())


def test_bodies_spread_over_upstreams(tmp_path: Path) -> None:
    """The second goes to the other upstream, the third is refused unsent.

    Guards against an upstream that crashes as it holds too many bodies.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_s = RUN_S
        first = [_send(platform, BODY) for _ in range(2)]
        await platform.wait_arrival(2)
        assert _sizes(platform) == [1, 1]
        refused = await platform.send('/order/1', method='POST', body=BODY)
        assert (refused.status, refused.body) == (503, b'bodies-in-flight')
        assert 0 < float(refused.headers['Retry-After']) < 1
        # Requests without a body are served beside them.
        assert (await platform.send('/read/1')).status == 200
        assert await asyncio.gather(*first) == [200, 200]
        # What is answered counts no more.
        assert (
            await platform.send('/order/1', method='POST', body=BODY)
        ).status == 200
        states = platform.instances[0]._upstream_table.all()
        assert not any(state.body_bytes for state in states)

    run_scenario(tmp_path, _scene, upstreams=2)


def test_a_body_above_the_bound_is_sent_alone(tmp_path: Path) -> None:
    """Guards against a body that is refused for ever."""

    async def _scene(platform: GatewayTestbed) -> None:
        platform.upstreams[0].run_s = RUN_S
        large = _send(platform, LARGE)
        await platform.wait_arrival()
        refused = await platform.send('/order/1', method='POST', body=b'x')
        assert refused.status == 503
        assert await large == 200

    run_scenario(tmp_path, _scene, upstreams=1)


def test_a_lost_request_counts_no_more(tmp_path: Path) -> None:
    """Guards against a bound that fills up with failures."""

    async def _scene(platform: GatewayTestbed) -> None:
        platform.upstreams[0].script.extend(['lose'])
        lost = await platform.send('/order/1', method='POST', body=BODY)
        assert lost.status == 502
        (state,) = platform.instances[0]._upstream_table.all()
        assert not state.body_bytes

    run_scenario(tmp_path, _scene, upstreams=1)


@pytest.mark.parametrize(
    ('link_mbps', 'body_bytes', 'took_ms'),
    [(10, 60_000, 48), (10, 32_768, 0), (0, 60_000, 0), (200, 360_000, 14.4)],
)
def test_large_bodies_take_time_on_the_own_link(
    link_mbps: float, body_bytes: int, took_ms: float
) -> None:
    """Guards against uploads that are sent although they would be late."""
    distances = Distances(link_mbps=link_mbps)
    expected = timedelta(milliseconds=took_ms)
    assert distances.send_time(body_bytes) == expected
