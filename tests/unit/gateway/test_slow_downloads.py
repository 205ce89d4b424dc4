"""Callers that read large responses slowly, and ends that cut them short."""

import asyncio
from pathlib import Path

import pytest

from lycheedyke_daemon.gateway.bodies import _response_stream
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.streaming import (
    PACK,
    PACK_BYTES,
    Pack,
    PackCaller,
    serve_packs,
)

FIRST = 100_000
# More callers than the memory of an instance of 152 MB has room for.
CALLERS = 40
KEPT_UNREAD_S = 3


def _counts(platform: GatewayTestbed) -> dict[str, int]:
    return platform.instances[0]._counters.counts


def _used(platform: GatewayTestbed) -> int:
    return platform.instances[0]._client.memory.used


def test_an_upstream_is_not_held_by_a_slow_caller(tmp_path: Path) -> None:
    """The upstream has written all while its caller has read nothing.

    Guards against responses that upstreams cut off since they stay unread.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = platform.upstreams[0].respond = Pack(FIRST)
        pack.go_on.set()
        async with PackCaller(platform) as caller:
            caller.ask()
            await caller.read_head()
            caller.stall()
            await asyncio.sleep(KEPT_UNREAD_S)
            assert pack.written == 1
            (state,) = platform.instances[0]._upstream_table.all()
            assert not state.in_flight
            assert 0 < _used(platform) <= PACK_BYTES
            caller.go_on()
            assert (await caller.read_rest()).body == PACK
            # The counter follows the last byte.
            caller.ask('r-2')
            await caller.read_rest()
        assert _counts(platform)['answer.streamed'] == 2
        assert not _used(platform)

    run_scenario(tmp_path, _scene, upstreams=1)


@pytest.mark.parametrize('is_read', [True, False])
def test_a_small_bound_only_slows_a_caller_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, *, is_read: bool
) -> None:
    """The upstream is read as fast as its caller reads.

    Guards against a response that waits for memory that it holds itself, and
    against run times and failures that are the caller's.
    """
    monkeypatch.setattr(_response_stream, 'MAX_HELD_BYTES', 20_000)

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        assert (await platform.send('/read/1')).status == 200
        times = platform.instances[0]._times
        mean = times.of_service('desk')
        pack = platform.upstreams[0].respond = Pack(FIRST)
        pack.go_on.set()
        (state,) = platform.instances[0]._upstream_table.all()
        async with PackCaller(platform) as caller:
            caller.ask()
            await caller.read_head()
            caller.stall()
            await asyncio.sleep(0.5 if is_read else 4.5)
            assert bool(state.in_flight) is is_read
            caller.go_on()
            assert (await caller.read_rest()).is_complete is is_read
        assert not _used(platform)
        assert times.of_service('desk') == mean
        assert not state._failures

    run_scenario(tmp_path, _scene, upstreams=1)


def test_many_slow_callers_stay_within_the_memory(tmp_path: Path) -> None:
    """Some are cut off visibly, the others get the whole response.

    Guards against memory that grows with the number of slow callers.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = Pack(FIRST)
        pack.go_on.set()
        for upstream in platform.upstreams:
            upstream.respond = pack
        memory = platform.instances[0]._client.memory
        callers = [PackCaller(platform) for _ in range(CALLERS)]
        for at, caller in enumerate(callers):
            await caller.__aenter__()
            caller.ask(f'r-{at}')
            caller.stall()
        most = 0
        for _ in range(200):
            await asyncio.sleep(0.01)
            most = max(most, memory.used)
        assert memory.max_bytes / 2 < most <= memory.max_bytes
        for caller in callers:
            caller.go_on()
        answers = await asyncio.gather(*(each.read_rest() for each in callers))
        assert any(each.is_complete for each in answers)
        for answer in answers:
            assert answer.status in {0, 200, 502, 503}
            if answer.status == 200:
                assert answer.body == PACK[: len(answer.body)]
        for caller in callers:
            caller.leave()
        await asyncio.sleep(0.1)
        assert not memory.used

    run_scenario(tmp_path, _scene, upstreams=8, limit_s=60)


def test_a_silent_upstream_is_given_up_at_the_deadline(tmp_path: Path) -> None:
    """The connection of the caller ends short at its deadline.

    Guards against callers that wait on for a response that never ends.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        for upstream in platform.upstreams:
            upstream.respond = Pack(FIRST)
        async with PackCaller(platform) as caller:
            started = asyncio.get_running_loop().time()
            caller.ask()
            answer = await caller.read_rest()
            took = asyncio.get_running_loop().time() - started
        assert (answer.status, answer.body) == (200, PACK[:FIRST])
        # Its deadline is after 4 s.
        assert 3.9 < took < 4.5
        assert len(platform.started()) == 1
        assert _counts(platform)['unknown.upstream-timeout'] == 1
        assert _counts(platform)['answer.cut-short'] == 1
        assert not _used(platform)

    run_scenario(tmp_path, _scene, upstreams=2)


@pytest.mark.parametrize('is_ended', [True, False])
def test_a_stop_waits_for_a_streamed_response(
    tmp_path: Path, *, is_ended: bool
) -> None:
    """The response is whole if it ends in time, and else visibly short.

    Guards against a stop that cuts off what it could wait for, and against
    one that lets a part look complete.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = platform.upstreams[0].respond = Pack(FIRST)
        async with PackCaller(platform) as caller:
            caller.ask()
            await caller.read_head()
            await caller.read_some(FIRST)
            stop = asyncio.create_task(platform.instances[0].stop())
            await asyncio.sleep(0.5)
            if is_ended:
                pack.go_on.set()
            answer = await caller.read_rest()
            assert answer.is_complete is is_ended
            await stop
        name = 'answer.streamed' if is_ended else 'unknown.stopping'
        assert _counts(platform)[name] == 1
        assert not _used(platform)

    run_scenario(tmp_path, _scene, upstreams=1)


def test_answers_behind_a_streamed_one_follow_in_order(tmp_path: Path) -> None:
    """They are received as wholes, and follow the end of the first.

    Guards against parts of a response between those of another.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = Pack(FIRST)
        for upstream in platform.upstreams:
            upstream.respond = pack
        async with PackCaller(platform) as caller:
            for request in ('r-1', 'r-2', 'r-3'):
                caller.ask(request)
            await platform.wait_arrival(3)
            await asyncio.sleep(0.1)
            pack.go_on.set()
            for _ in range(3):
                answer = await caller.read_rest()
                assert (answer.status, answer.body) == (200, PACK)
        assert _counts(platform)['answer.streamed'] == 1

    run_scenario(tmp_path, _scene, upstreams=2)


def test_a_cut_response_takes_those_behind_along(tmp_path: Path) -> None:
    """No answer follows a part of a response.

    Guards against an answer in the place of the rest of another.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = Pack(FIRST, 'lose')
        for upstream in platform.upstreams:
            upstream.respond = pack
        async with PackCaller(platform) as caller:
            caller.ask('r-1')
            caller.ask('r-2', path='/read/1')
            await platform.wait_arrival(2)
            await asyncio.sleep(0.1)
            pack.go_on.set()
            answer = await caller.read_rest()
            assert answer.status == 200
            assert PACK.startswith(answer.body)
            assert not answer.is_complete
        assert _counts(platform)['unanswered.connection-closed'] == 1

    run_scenario(tmp_path, _scene, upstreams=2)


@pytest.mark.parametrize(
    ('method', 'status'),
    [
        ('HEAD', '200 OK'),
        ('GET', '204 No Content'),
        ('GET', '304 Not Modified'),
    ],
)
def test_a_response_without_a_body_is_not_streamed(
    tmp_path: Path, method: str, status: str
) -> None:
    """It ends with its head, whatever length the head names.

    Guards against a caller that waits for a body that never comes.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        upstream = platform.upstreams[0]
        upstream.bodiless = f'{status}\r\nContent-Length: {PACK_BYTES}\r\n'
        async with PackCaller(platform) as caller:
            for request in ('r-1', 'r-2'):
                caller.ask(request, method=method)
                await asyncio.wait_for(caller.read_head(), 1)
        assert len(upstream.started) == 2
        assert 'answer.streamed' not in _counts(platform)

    run_scenario(tmp_path, _scene, upstreams=1)


def test_a_long_error_is_repeated(tmp_path: Path) -> None:
    """Another upstream answers instead.

    Guards against an error that is passed on although it can be repeated.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        failed = Pack(PACK_BYTES, status='500 Failed')
        whole = Pack(PACK_BYTES)
        failed.go_on.set()
        whole.go_on.set()
        async with PackCaller(platform) as caller:
            for upstream in platform.upstreams:
                upstream.respond = failed
            caller.ask()
            await platform.wait_arrival()
            for upstream in platform.upstreams:
                upstream.respond = whole
            answer = await caller.read_rest()
        assert (answer.status, answer.body) == (200, PACK)
        assert len(platform.started()) == 2

    run_scenario(tmp_path, _scene, upstreams=2)
