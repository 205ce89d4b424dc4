"""What an instance does with a request during which it stood still itself."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import cast

import pytest

from lycheedyke.transport._write_gate import WriteGate
from standins.gateway_testbed import GatewayTestbed, Reply, run_scenario
from standins.virtual_time import VirtualTimeLoop

RUN_SECONDS = 0.15
PAUSE_SECONDS = 1.5
DEADLINE_SECONDS = 1.2
PAUSES = 5
# After a pause the instance has read the registry by then.
NEWS_SECONDS = 0.7
READ = '/read/1'
ORDER = '/order/1'


def _loop() -> VirtualTimeLoop:
    return cast(VirtualTimeLoop, asyncio.get_running_loop())


async def _send(testbed: GatewayTestbed, path: str) -> Reply:
    return await testbed.send(
        path,
        method='GET' if path == READ else 'POST',
        deadline_ms=int(DEADLINE_SECONDS * 1000),
        # Without an object, the run times of unknown objects are expected.
        object_key='',
    )


def _scenario(
    act: Callable[[GatewayTestbed], Awaitable[None]],
) -> Callable[[GatewayTestbed], Awaitable[None]]:
    """Returns a scenario in which an upstream takes some time."""

    async def _act(testbed: GatewayTestbed) -> None:
        await testbed.send()
        for upstream in testbed.upstreams:
            upstream.run_s = RUN_SECONDS
        await act(testbed)

    return _act


# Guards against requests that reach an upstream after their deadline, and may
# run there for a caller that has left.
@pytest.mark.parametrize('path', [READ, ORDER])
def test_no_request_is_passed_on_after_its_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """The instance stands still while it connects to the upstream."""
    open_gate = WriteGate.open

    def _open_late(gate: WriteGate) -> None:
        _loop().skip(PAUSE_SECONDS)
        open_gate(gate)

    @_scenario
    async def _scene(testbed: GatewayTestbed) -> None:
        arrivals = testbed.count_arrivals()
        with monkeypatch.context() as patch:
            patch.setattr(WriteGate, 'open', _open_late)
            late = await _send(testbed, path)
        assert (late.status, late.body) == (503, b'deadline-passed')
        assert testbed.count_arrivals() == arrivals
        assert (await _send(testbed, path)).status == 200

    run_scenario(tmp_path, _scene)


# Guards against an answer that is dropped, though it lies ready, where a pause
# of the instance ends up to 50 ms after a timer of the request.
@pytest.mark.parametrize('late_s', [0.02, 0.12])
def test_a_pause_that_ends_at_the_deadline_drops_no_answer(
    tmp_path: Path, late_s: float
) -> None:
    """The loop reads before either timer, 0 and 0.1 s behind, is called."""

    @_scenario
    async def _scene(testbed: GatewayTestbed) -> None:
        ends = _loop().time() + DEADLINE_SECONDS + late_s
        sending = asyncio.create_task(_send(testbed, READ))
        await asyncio.sleep(RUN_SECONDS / 2)
        _loop().skip(ends - _loop().time())
        reply = await sending
        assert (reply.status, reply.body) == (200, testbed.upstreams[0].body)

    run_scenario(tmp_path, _scene)


# Guards against an instance that takes its own pauses for run times, and
# refuses requests for which idle upstreams have time.
@pytest.mark.parametrize('path', [READ, ORDER])
def test_a_pause_does_not_count_as_run_time(tmp_path: Path, path: str) -> None:
    """The answers arrive in the pause; the next requests are not refused."""

    @_scenario
    async def _scene(testbed: GatewayTestbed) -> None:
        for _ in range(PAUSES):
            sending = asyncio.create_task(_send(testbed, path))
            await asyncio.sleep(RUN_SECONDS / 2)
            _loop().skip(PAUSE_SECONDS)
            assert (await sending).status == 200
        assert (await _send(testbed, path)).status == 200

    run_scenario(tmp_path, _scene)


# Guards against DRAIN: an instance that stood still takes its own silence for an
# outage of the registry, and keeps upstreams that are gone for two seconds more.
@pytest.mark.parametrize('after_s', [0.0, 0.1, 0.2, 0.3])
def test_a_pause_keeps_no_removed_upstream(
    tmp_path: Path, after_s: float
) -> None:
    """The removal takes effect with the first news after the pause."""

    async def _scene(testbed: GatewayTestbed) -> None:
        table = testbed.instances[0]._upstream_table
        # The monitor of pauses has begun.
        await asyncio.sleep(1 + after_s)
        assert len(table) == len(testbed.upstreams)
        testbed.store.remove(f'servers/{testbed.upstreams[0].name}')
        _loop().skip(PAUSE_SECONDS)
        await asyncio.sleep(NEWS_SECONDS)
        assert len(table) == len(testbed.upstreams) - 1

    run_scenario(tmp_path, _scene)
