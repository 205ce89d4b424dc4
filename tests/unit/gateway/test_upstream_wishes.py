"""Upstreams say in their answers that they leave, or want a pause."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from lycheedyke.state import Suspects
from lycheedyke_daemon.gateway import _answer_headers
from standins.gateway_testbed import GatewayTestbed, Reply, run_scenario
from standins.scripted_upstream import ScriptedUpstream

LEAVES = 'Server-Leaving: 1\r\n'
PAUSE_S = 4.0
PAUSES = f'Retry-After: {PAUSE_S}\r\n'
# The users' bound for requests from half a second on.
PAUSE_SLACK_S = 0.5
MAX_IN_PAUSE = 2
REQUESTS = 40
BORN = 1_770_000_000_000


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _send_many(
    platform: GatewayTestbed, seconds: float, instance: int = 0
) -> list[Reply]:
    """Sends requests for many objects, evenly over some time."""
    replies = []
    for number in range(REQUESTS):
        replies.append(
            await platform.send(
                f'/read/{number}', object_key=str(number), instance=instance
            )
        )
        await asyncio.sleep(seconds / REQUESTS)
    return replies


def _arrivals_since(upstream: ScriptedUpstream, time: float) -> int:
    return sum(each.received_at > time for each in upstream.arrivals)


async def _say(
    platform: GatewayTestbed,
    upstream: ScriptedUpstream,
    says: str,
    action: str,
) -> float:
    """Lets an upstream say something in one answer; returns the time."""
    upstream.says = says
    upstream.script.extend([action] * REQUESTS)
    before = len(upstream.arrivals)
    for number in range(REQUESTS):
        await platform.send(f'/read/{number}', object_key=str(number))
        if len(upstream.arrivals) > before:
            break
    upstream.says = ''
    upstream.script.clear()
    assert len(upstream.arrivals) == before + 1
    return _now()


async def _beat(platform: GatewayTestbed, upstream: ScriptedUpstream) -> None:
    platform.register(upstream, seq=5)


async def _expire(platform: GatewayTestbed, upstream: ScriptedUpstream) -> None:
    platform.store.remove(f'servers/{upstream.name}')
    await asyncio.sleep(2)
    platform.register(upstream, seq=6)


# Guards against DRAIN: requests to an upstream that has said in an answer that it
# leaves, whatever its record says and whether its instance is in touch.
@pytest.mark.parametrize('action', ['answer', 'fail', 'shed'])
@pytest.mark.parametrize('then', [_beat, _expire])
def test_an_upstream_that_says_it_leaves_gets_no_request(
    tmp_path: Path,
    action: str,
    then: Callable[[GatewayTestbed, ScriptedUpstream], object],
) -> None:
    """Its next incarnation gets some."""

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        said = await _say(platform, upstream, LEAVES, action)
        platform.store.silent = True
        replies = await _send_many(platform, 3)
        platform.store.silent = False
        await then(platform, upstream)  # type: ignore[misc]
        replies += await _send_many(platform, 4)
        assert {each.status for each in replies} == {200}
        assert _arrivals_since(upstream, said) == 0
        platform.register(upstream, born=BORN + 1)
        await asyncio.sleep(2)
        await _send_many(platform, 1)
        assert _arrivals_since(upstream, said) > 0

    run_scenario(tmp_path, _scene, limit_s=60)


# Guards against BUDGET: requests to an upstream that has asked for a pause.
@pytest.mark.parametrize('action', ['shed', 'busy'])
def test_an_upstream_that_wants_a_pause_gets_no_request(
    tmp_path: Path, action: str
) -> None:
    """That is no failure of it, and it gets requests at once afterwards."""

    async def _scene(platform: GatewayTestbed) -> None:
        upstream = platform.upstreams[0]
        asked = await _say(platform, upstream, PAUSES, action)
        replies = await _send_many(platform, PAUSE_S - 0.5)
        await _beat(platform, upstream)
        assert _now() < asked + PAUSE_S
        assert {each.status for each in replies} == {200}
        in_pause = _arrivals_since(upstream, asked + PAUSE_SLACK_S)
        assert in_pause <= MAX_IN_PAUSE
        assert _arrivals_since(upstream, asked) == 0
        await asyncio.sleep(0.6)
        await _send_many(platform, 0.5)
        assert _arrivals_since(upstream, asked) > 0
        (state,) = (
            each
            for each in platform.instances[0]._upstream_table.all()
            if each.record.name == upstream.name
        )
        assert not state.is_ejected

    run_scenario(tmp_path, _scene, limit_s=60)


# Guards against requests that wait, or are told to come back too early, while all
# upstreams want a pause.
def test_a_service_whose_upstreams_all_want_a_pause_refuses_at_once(
    tmp_path: Path,
) -> None:
    """The answer has the shortest time; other instances are not concerned."""

    async def _scene(platform: GatewayTestbed) -> None:
        first, second = platform.upstreams
        await _say(platform, first, PAUSES, 'shed')
        asked = await _say(platform, second, 'Retry-After: 2.5\r\n', 'shed')
        before = platform.count_arrivals()
        reply = await platform.send()
        assert _now() - asked < 0.1
        assert (reply.status, reply.body) == (503, b'upstream-paused')
        assert 2.3 < float(reply.headers['Retry-After']) <= 2.5
        assert platform.count_arrivals() == before
        assert (await platform.send(instance=1)).status == 200
        await asyncio.sleep(float(reply.headers['Retry-After']))
        assert (await platform.send()).status == 200

    run_scenario(tmp_path, _scene, limit_s=60, instances=2)


@pytest.mark.parametrize(
    'text',
    ['-1', '0', '0.0', '', 'soon', '1e3', '\u0663', '1,5', '+2', '1' * 400]
    + ['Fri, 04 Dec 2026 20:00:00 GMT', 'inf', 'nan', '0x10', '1 2', '.5'],
)
def test_a_pause_that_is_no_number_of_seconds_is_none(text: str) -> None:
    """The upstream goes on getting requests."""
    assert _answer_headers.parse_retry_after(text) is None


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [('4', 4), (' 0.25 ', 0.25), ('5.', 5), ('600', 600), ('9' * 200, 600)],
)
def test_a_pause_may_have_a_fraction_and_is_bounded(
    text: str, seconds: float
) -> None:
    """A huge one does not take an upstream out for good."""
    pause = _answer_headers.parse_retry_after(text)
    assert pause is not None
    assert pause.total_seconds() == seconds


# Guards against a request that is written after its instance has read the wish.
@pytest.mark.parametrize('says', [LEAVES, PAUSES])
def test_no_request_is_written_after_a_wish(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, says: str
) -> None:
    """It has waited until it was the only one there, as a suspect does."""
    monkeypatch.setattr(Suspects, 'is_isolated', lambda *_: True)
    monkeypatch.setattr(Suspects, '__len__', lambda _: 1)

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        upstream.script.append('shed' if says == PAUSES else 'answer')
        upstream.run_s = 0.5
        upstream.says = says
        replies = await asyncio.gather(
            *(platform.send(f'/read/{number}') for number in range(3))
        )
        assert len(upstream.arrivals) == 1
        assert [each.status for each in replies].count(503) >= 2

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)
