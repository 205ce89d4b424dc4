"""A refusal that an upstream sends once more refuses no other request."""

from pathlib import Path

import pytest

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.scripted_upstream import STALE

# Enough for a connection on which answers lag behind their requests.
REPEATS = 6


# Guards against "not run, try again" for a request that has run, told by an
# earlier refusal that comes again on a kept connection.
@pytest.mark.parametrize('action', sorted(STALE))
def test_an_earlier_refusal_does_not_count_for_a_later_request(
    tmp_path: Path, action: str
) -> None:
    """Each request that ran is answered, or its outcome is unknown."""

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        assert (await platform.send('/read/1')).status == 200
        upstream.script.append(action)
        reply = await platform.send('/read/1')
        assert reply.status == 502
        for _ in range(REPEATS):
            reply = await platform.send('/read/1')
            assert (reply.status, reply.body) == (200, b'{"ran": "whole"}')
        state = platform.instances[0]._upstream_table.all()[0]
        assert not state.is_lost

    run_scenario(tmp_path, _scene, upstreams=1)


@pytest.mark.parametrize('action', sorted(STALE))
def test_an_order_behind_an_earlier_refusal_runs_once(
    tmp_path: Path, action: str
) -> None:
    """It runs at no second upstream, and no answer says that it did not run."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.script.append(action)
        order = await platform.send('/order/1', method='POST', body=b'x')
        assert order.status == 502
        assert len(platform.started()) == 1

    run_scenario(tmp_path, _scene)


@pytest.mark.parametrize('action', sorted(STALE))
def test_a_read_behind_an_earlier_refusal_is_repeated(
    tmp_path: Path, action: str
) -> None:
    """Another upstream answers it."""

    async def _scene(platform: GatewayTestbed) -> None:
        assert (await platform.send('/read/1')).status == 200
        used = max(platform.upstreams, key=lambda each: len(each.arrivals))
        used.script.append(action)
        assert (await platform.send('/read/1')).status == 200
        assert len(platform.started()) == 3

    run_scenario(tmp_path, _scene)
