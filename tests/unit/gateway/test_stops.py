"""Planned stops, and connections that callers leave open."""

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest

from lycheedyke_daemon.gateway._stop_schedule import StopSchedule
from standins.clock import ManualClock
from standins.gateway_testbed import ROUTES, GatewayTestbed, run_scenario
from standins.registry_store import config_value

# Below the allowed 2.5 s from a write in the store to its effect.
APPLY_SECONDS = 2.0
LIMIT_SECONDS = 40
STOP_GRACE_SECONDS = 2


def test_idle_connections_are_closed_after_the_limit(tmp_path: Path) -> None:
    """Idle connections and incomplete request heads hold no descriptor."""

    async def _scene(platform: GatewayTestbed) -> None:
        value = config_value(0x2F, list(ROUTES), idleTimeout='2000ms')
        platform.store.put('op/config', value)
        await asyncio.sleep(APPLY_SECONDS)
        host, _, port = platform.settings[0].caller_address.rpartition(':')
        connections = [
            await asyncio.open_connection(host, int(port)) for _ in range(3)
        ]
        head = b'GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n'
        request = head + b'Lycheedyke-Request-Id: r-9\r\n\r\n'
        connections[0][1].write(request)
        connections[1][1].write(head)
        assert await connections[0][0].readuntil(b'{"ran": "whole"}')
        await asyncio.sleep(1.5)
        connections[0][1].write(request)
        assert await connections[0][0].readuntil(b'{"ran": "whole"}')
        await asyncio.sleep(1)
        assert not connections[0][0].at_eof()
        for reader, writer in connections:
            assert await asyncio.wait_for(reader.read(), 5) == b''
            writer.close()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_body_that_never_comes_holds_no_stop(tmp_path: Path) -> None:
    """A stop doesn't wait for a refused caller that never sends its body."""

    async def _scene(platform: GatewayTestbed) -> None:
        host, _, port = platform.settings[0].caller_address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Lycheedyke-Request-Id: r-9\r\nLycheedyke-Deadline-Ms: 200\r\n'
            b'Content-Length: 9\r\n\r\n',
        )
        assert b' 408 ' in await reader.readline()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await platform.instances.pop().stop()
        assert loop.time() - begun < STOP_GRACE_SECONDS
        writer.close()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


async def _swallow_one_cancellation() -> None:
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        await asyncio.Event().wait()


def test_a_cancellation_that_got_lost_holds_no_stop(tmp_path: Path) -> None:
    """A task that swallows its first cancellation is cancelled again."""

    async def _scene(platform: GatewayTestbed) -> None:
        stopped = platform.instances.pop()
        stopped._tasks.start('stubborn', _swallow_one_cancellation)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(STOP_GRACE_SECONDS):
            await stopped.stop()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_planned_stop_cuts_no_request(tmp_path: Path) -> None:
    """/ready fails at once, and requests in flight are still answered."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_s = 0.6
        running = asyncio.create_task(platform.send('/read/1'))
        await asyncio.sleep(0.2)
        ready = platform.settings[0].ready_address
        assert (await platform.get(ready, '/ready')).status == 200
        stopping = asyncio.create_task(platform.instances.pop().stop())
        await asyncio.sleep(0.1)
        assert (await platform.get(ready, '/ready')).status == 503
        late = await platform.send('/read/2')
        assert late.status == 200
        assert late.headers['Connection'] == 'close'
        assert (await running).status == 200
        await stopping

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


@pytest.mark.parametrize('grace_s', [2, 6, 10, 30])
@pytest.mark.parametrize('run_s', [0.01, 1.1, 2.5, 6.0])
def test_a_stop_gives_up_nothing_that_it_took_late(
    grace_s: float, run_s: float
) -> None:
    """Runs of 4.3 s were taken 4.6 s after the signal, and given up at 8.9 s.

    What is taken more than 3 s after the signal, or is expected to outlast the
    grace period, can only be given up.
    """
    clock = ManualClock()
    schedule = StopSchedule(clock, lambda: timedelta(seconds=grace_s))
    assert schedule.may_take(timedelta(seconds=run_s))
    schedule.begin()
    expected = timedelta(seconds=run_s)
    taken = []
    for tenth in range(int(grace_s * 10)):
        now = clock.elapsed()
        if schedule.may_take(expected):
            taken.append(tenth / 10)
            assert schedule.bound_deadline(now + expected) - now >= (
                expected - timedelta(milliseconds=100)
            )
        clock.advance(0.1)
    assert all(at <= 3 for at in taken)
    assert all(at + run_s <= grace_s for at in taken)
    if run_s < grace_s / 2:
        assert 0 in taken


def test_a_stop_refuses_a_long_run_at_once(tmp_path: Path) -> None:
    """The caller learns at once that it did not run, and when to come back."""

    async def _scene(platform: GatewayTestbed) -> None:
        # A route without answers is expected to take its goal.
        slow = {**ROUTES[0], 'timeout': '9000ms', 'goal': '900ms'}
        platform.store.put('op/config', config_value(0x2F, [slow]))
        await asyncio.sleep(APPLY_SECONDS)
        stopped = platform.instances.pop()
        stopping = asyncio.create_task(stopped.stop())
        # Less is left of the grace period of 2 s.
        await asyncio.sleep(0.95)
        loop = asyncio.get_running_loop()
        started = loop.time()
        arrived = sum(len(each.arrivals) for each in platform.upstreams)
        reply = await platform.send('/read/99', deadline_ms=5000)
        assert (reply.status, reply.body) == (503, b'stopping')
        assert loop.time() - started < 0.1
        assert float(reply.headers['Retry-After']) < 1
        assert arrived == sum(len(e.arrivals) for e in platform.upstreams)
        await stopping

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)
