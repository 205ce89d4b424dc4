"""Large responses are passed on while they arrive, and end complete or not."""

import asyncio
from pathlib import Path

import pytest

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.streaming import (
    PACK,
    PACK_BYTES,
    Pack,
    PackCaller,
    serve_packs,
)

FIRST = 100_000


def _counts(platform: GatewayTestbed) -> dict[str, int]:
    return platform.instances[0]._counters.counts


def _used(platform: GatewayTestbed) -> int:
    return platform.instances[0]._client.memory.used


def test_a_part_arrives_before_the_rest_exists(tmp_path: Path) -> None:
    """The caller reads the first part while the upstream writes nothing.

    Guards against responses that are buffered as a whole.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = platform.upstreams[0].respond = Pack(FIRST)
        async with PackCaller(platform) as caller:
            caller.ask()
            await caller.read_head()
            assert await caller.read_some(FIRST) == PACK[:FIRST]
            pack.go_on.set()
            answer = await caller.read_rest()
            assert (answer.status, answer.body) == (200, PACK)
            # The connection is in use again.
            caller.ask('r-2')
            assert (await caller.read_rest()).is_complete
        assert pack.written == 2
        assert _counts(platform)['answer.streamed'] == 2
        assert _counts(platform)['outcome.answered'] == 2
        assert not _used(platform)

    run_scenario(tmp_path, _scene, upstreams=1)


def test_other_responses_are_whole(tmp_path: Path) -> None:
    """A route of another type waits for the whole response.

    Guards against a change for deployments without routes for downloads.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = Pack(FIRST, 'lose')
        pack.go_on.set()
        rest = Pack(FIRST)
        rest.go_on.set()
        async with PackCaller(platform) as caller:
            for upstream in platform.upstreams:
                upstream.respond = pack
            caller.ask(path='/read/1')
            await platform.wait_arrival()
            for upstream in platform.upstreams:
                upstream.respond = rest
            assert (await caller.read_rest()).body == PACK
        assert 'answer.streamed' not in _counts(platform)

    run_scenario(tmp_path, _scene, upstreams=2)


def test_a_loss_before_the_first_part_is_repeated(tmp_path: Path) -> None:
    """The other upstream sends the whole response.

    Guards against a lost download that no caller had received a part of.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        lost = Pack(0, 'lose')
        whole = Pack(PACK_BYTES)
        lost.go_on.set()
        whole.go_on.set()
        async with PackCaller(platform) as caller:
            for upstream in platform.upstreams:
                upstream.respond = lost
            caller.ask()
            await platform.wait_arrival()
            for upstream in platform.upstreams:
                upstream.respond = whole
            assert (await caller.read_rest()).body == PACK
        assert len(platform.started()) == 2
        assert 'answer.cut-short' not in _counts(platform)
        assert not _used(platform)

    run_scenario(tmp_path, _scene, upstreams=2)


@pytest.mark.parametrize('length', [PACK_BYTES, PACK_BYTES + 1])
def test_a_loss_after_the_first_part_is_visible(
    tmp_path: Path, length: int
) -> None:
    """The connection ends before the length that the head names.

    Guards against a lost response that looks complete, and against a second
    response behind the begin of the first.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = Pack(FIRST, 'lose' if length == PACK_BYTES else 'rest', length)
        for upstream in platform.upstreams:
            upstream.respond = pack
        async with PackCaller(platform) as caller:
            caller.ask()
            await caller.read_head()
            await caller.read_some(FIRST)
            pack.go_on.set()
            answer = await caller.read_rest()
        assert answer.length == length
        assert not answer.is_complete
        assert answer.body == PACK[: len(answer.body)]
        assert len(platform.started()) == 1
        counts = _counts(platform)
        assert counts['answer.cut-short'] == 1
        assert counts['unknown.upstream-broke'] == 1
        assert not _used(platform)

    run_scenario(tmp_path, _scene, upstreams=2)


def test_bytes_after_the_end_belong_to_no_response(tmp_path: Path) -> None:
    """The response has its length, and the next one is sound.

    Guards against excess bytes of an upstream in the stream to a caller.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = platform.upstreams[0].respond = Pack(FIRST, 'extra')
        pack.go_on.set()
        async with PackCaller(platform) as caller:
            for request in ('r-1', 'r-2'):
                caller.ask(request)
                answer = await caller.read_rest()
                assert (answer.status, answer.body) == (200, PACK)
        assert pack.written == 2
        assert not _used(platform)

    run_scenario(tmp_path, _scene, upstreams=1)


def test_a_caller_that_leaves_ends_the_exchange(tmp_path: Path) -> None:
    """The upstream's connection is closed, and the memory is free.

    Guards against a response that is read on for nobody.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = platform.upstreams[0].respond = Pack(FIRST, 'hang')
        async with PackCaller(platform) as caller:
            caller.ask()
            await caller.read_head()
            await caller.read_some(FIRST)
        pack.go_on.set()
        for _ in range(100):
            if _counts(platform).get('unanswered.caller-left'):
                break
            await asyncio.sleep(0.01)
        assert _counts(platform)['unanswered.caller-left'] == 1
        assert not _used(platform)

    run_scenario(tmp_path, _scene, upstreams=1)
