"""Requests that wait between the choice of an upstream and the write."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from lycheedyke.state import Suspects
from standins.gateway_testbed import GatewayTestbed, Reply, run_scenario

RUN_S = 1.0
LONG_DEADLINE_MS = 5000
POLL_S = 0.02
LIMIT_S = 3.0


def _leave(platform: GatewayTestbed) -> None:
    platform.register(platform.upstreams[0], state='draining')


def _end(platform: GatewayTestbed) -> None:
    platform.store.remove(f'servers/{platform.upstreams[0].name}')


def _evacuate(platform: GatewayTestbed) -> None:
    platform.store.put('op/evacuate/pnw-a', {})


async def _wait_withdrawn(platform: GatewayTestbed) -> None:
    """Waits until the instance knows that no upstream serves."""
    table = platform.instances[0]._upstream_table
    loop = asyncio.get_running_loop()
    end = loop.time() + LIMIT_S
    while table.serving('desk'):
        assert loop.time() < end, 'the upstream still serves'
        await asyncio.sleep(POLL_S)


# Guards against DRAIN and EVAC: a request that is written to an upstream after
# its instance has learnt that the upstream leaves.
@pytest.mark.parametrize('withdraw', [_leave, _end, _evacuate])
@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_no_request_is_written_once_its_upstream_was_withdrawn(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    withdraw: Callable[[GatewayTestbed], None],
    method: str,
) -> None:
    """It has waited until it was the only one there, as a suspect does."""
    monkeypatch.setattr(Suspects, 'is_isolated', lambda *_: True)
    monkeypatch.setattr(Suspects, '__len__', lambda _: 1)

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        upstream.run_s = RUN_S

        async def _send(path: str) -> Reply:
            return await platform.send(
                path,
                method=method,
                body=b'1' if method == 'POST' else None,
                deadline_ms=LONG_DEADLINE_MS,
            )

        first = asyncio.create_task(_send('/read/1'))
        await platform.wait_arrival()
        second = asyncio.create_task(_send('/read/2'))
        await asyncio.sleep(POLL_S)
        withdraw(platform)
        await _wait_withdrawn(platform)
        assert not first.done()
        assert (await first).status == 200
        reply = await second
        assert [each.target for each in upstream.arrivals] == ['/read/1']
        assert reply.status == 503

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)
