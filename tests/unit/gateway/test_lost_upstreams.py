"""Upstreams that were not reached for a while are used again."""

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest

from lycheedyke.state import LossReason, UpstreamState
from standins.clock import ManualClock
from standins.gateway_testbed import GatewayTestbed, Reply, run_scenario
from standins.records import make_upstream
from standins.registry_store import config_value
from standins.scripted_upstream import ScriptedUpstream

LIMIT_SECONDS = 200
INTERVAL_SECONDS = 0.1
# `stable`: the time after a disruption from which its effects count.
STABLE_SECONDS = 4.0
# Of the added route, compared with the first ones, in steady state.
MIN_SERVED = 0.25
LONG_SECONDS = 30.0
# Trials of one upstream in that time, with pauses from 0.75 s on that double.
MAX_TRIALS = 8
COLD_PER_S = 7.1
COLD_OVER = 1.5
COLD_SLACK = 5
ATTEMPTS_ONE = {
    'name': 'once',
    'prefix': '/once/',
    'service': 'desk',
    'attempts': 1,
}


async def _send_for(
    testbed: GatewayTestbed, seconds: float, path: str = '/read'
) -> list[Reply]:
    """Sends requests for many objects, at all instances in turn."""
    replies = []
    for at in range(round(seconds / INTERVAL_SECONDS)):
        replies.append(
            await testbed.send(
                f'{path}/{at}',
                object_key=str(at % 97),
                instance=at % len(testbed.instances),
            )
        )
        await asyncio.sleep(INTERVAL_SECONDS)
    return replies


async def _refuse(upstream: ScriptedUpstream) -> int:
    """Lets an upstream refuse connections; returns its port."""
    await upstream.close()
    return int(upstream.address.rpartition(':')[2])


def _count_since(upstream: ScriptedUpstream, moment: float) -> int:
    return sum(each.received_at > moment for each in upstream.arrivals)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _share_served(replies: list[Reply]) -> float:
    return sum(each.status == 200 for each in replies) / len(replies)


def _count_trials(testbed: GatewayTestbed) -> int:
    names = ('upstream.trial-failed', 'upstream.trial-passed')
    return sum(
        each._counters.counts[name]
        for each in testbed.instances
        for name in names
    )


# Guards against a service that is refused for ever, once all its upstreams have
# refused a connection for a while.
@pytest.mark.parametrize(
    ('away_s', 'instances'),
    [(0.5, 1), (5.5, 1), (5.5, 3), (12.0, 1), (25.0, 1)],
)
def test_a_service_is_served_again_after_all_upstreams_refused(
    tmp_path: Path, away_s: float, instances: int
) -> None:
    """They ran all the while, so no record changes."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await _send_for(testbed, 1)
        ports = [await _refuse(each) for each in testbed.upstreams]
        refused = await _send_for(testbed, away_s)
        assert {each.status for each in refused} <= {502, 503}
        for upstream, port in zip(testbed.upstreams, ports, strict=True):
            await upstream.open(port)
        await _send_for(testbed, STABLE_SECONDS)
        assert _share_served(await _send_for(testbed, 4)) > MIN_SERVED
        await _send_for(testbed, STABLE_SECONDS)
        moment = _now()
        assert _share_served(await _send_for(testbed, 4)) == 1
        for upstream in testbed.upstreams:
            assert _count_since(upstream, moment)

    run_scenario(
        tmp_path,
        _scene,
        limit_s=LIMIT_SECONDS,
        upstreams=6,
        instances=instances,
    )


# Guards against upstreams that get no request any more, after they refused a
# connection or another upstream answered at their address, while others serve.
@pytest.mark.parametrize('is_replaced', [False, True])
@pytest.mark.parametrize('away_s', [4.0, 12.0])
def test_two_of_six_are_used_again(
    tmp_path: Path, away_s: float, *, is_replaced: bool
) -> None:
    """No request is lost, and none is sent twice for it."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await _send_for(testbed, 1)
        lost = testbed.upstreams[:2]
        ports = []
        for upstream in lost:
            if is_replaced:
                upstream.name = f'other-{upstream.name}'
            else:
                ports.append(await _refuse(upstream))
        assert _share_served(await _send_for(testbed, away_s)) == 1
        for at, upstream in enumerate(lost):
            if is_replaced:
                upstream.name = upstream.name.removeprefix('other-')
            else:
                await upstream.open(ports[at])
        # The longest pause before a trial is as long as the time before it.
        await _send_for(testbed, max(STABLE_SECONDS, 1.7 * away_s))
        moment = _now()
        assert _share_served(await _send_for(testbed, 5)) == 1
        for upstream in lost:
            assert _count_since(upstream, moment)
        assert len(set(testbed.started())) == len(testbed.started())

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=6)


# Guards against requests and connections that an upstream costs that is gone for
# good, though its record stands.
@pytest.mark.parametrize('path', ['/read', '/once'])
@pytest.mark.parametrize('is_replaced', [False, True])
def test_an_upstream_that_is_gone_for_good_costs_little(
    tmp_path: Path, path: str, *, is_replaced: bool
) -> None:
    """All requests are served, also those with one attempt."""

    async def _scene(testbed: GatewayTestbed) -> None:
        testbed.store.put(
            'op/config',
            config_value(
                0x2F,
                [
                    ATTEMPTS_ONE,
                    {'name': 'read', 'prefix': '/read/', 'service': 'desk'},
                ],
            ),
        )
        await asyncio.sleep(1)
        gone = testbed.upstreams[0]
        if is_replaced:
            gone.name = 'another-service'
        else:
            await _refuse(gone)
        moment = _now()
        replies = await _send_for(testbed, LONG_SECONDS, path)
        assert {each.status for each in replies} == {200}
        assert _count_trials(testbed) <= MAX_TRIALS
        assert _count_since(gone, moment) <= MAX_TRIALS + 1

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=3)


def test_many_instances_try_a_lost_upstream_at_different_moments() -> None:
    """Six hundred instances lose it in the same moment, and never reach it."""
    clock = ManualClock()
    record = make_upstream('gone')
    states = [UpstreamState(record, clock) for _ in range(600)]
    trials: list[float] = []
    for state in states:
        state.mark_lost(LossReason.refused)
    for tick in range(400):
        clock.advance(0.25)
        for state in states:
            assert state.loss is not None
            if state.loss.retry_at <= clock.elapsed():
                state.extend_loss()
                trials.append(tick * 0.25)
    # In the first 100 s, and in each second of the second half.
    assert len(trials) <= 8 * 600
    for second in range(50, 100):
        assert sum(second <= each < second + 1 for each in trials) <= 60


# Guards against FAILBACK: a lost upstream that was started anew accepts
# connections before its record tells that it is cold.
@pytest.mark.parametrize('instances', [1, 3])
def test_a_lost_upstream_that_returns_cold_gets_its_pace(
    tmp_path: Path, instances: int
) -> None:
    """Its record comes two seconds late, and names the same id."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await _send_for(testbed, 1)
        upstream = testbed.upstreams[0]
        port = await _refuse(upstream)
        await _send_for(testbed, 3)
        upstream.arrivals.clear()
        await upstream.open(port)
        opened = _now()
        await _send_for(testbed, 2)
        testbed.register(upstream, coldLeft='1000ms', born=1_770_000_009_000)
        await _send_for(testbed, 4)
        times = [
            each.received_at
            for each in upstream.arrivals
            if each.received_at < opened + 3
        ]
        for start in times:
            window = sum(start <= each < start + 1 for each in times)
            assert window <= COLD_PER_S * COLD_OVER + COLD_SLACK
        assert _count_since(upstream, opened + 4)

    run_scenario(
        tmp_path,
        _scene,
        limit_s=LIMIT_SECONDS,
        upstreams=1,
        instances=instances,
    )


def test_a_returned_upstream_gets_single_requests_until_it_answers(
    tmp_path: Path,
) -> None:
    """It accepts connections, and then is silent."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await _send_for(testbed, 1)
        upstream = testbed.upstreams[0]
        port = await _refuse(upstream)
        await _send_for(testbed, 2)
        upstream.script.extend(['silent'] * 100)
        upstream.arrivals.clear()
        await upstream.open(port)
        state = testbed.instances[0]._upstream_table.find(upstream.name)
        assert state is not None
        for _ in range(100):
            sending = asyncio.create_task(testbed.send('/read/1'))
            await asyncio.sleep(INTERVAL_SECONDS)
            assert state.in_flight <= 1
            del sending

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=1)


@pytest.mark.parametrize('why', ['leaving', 'evacuated', 'gone'])
def test_a_lost_upstream_that_was_withdrawn_is_not_tried(
    tmp_path: Path, why: str
) -> None:
    """It gets no request either, though its address accepts connections."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await asyncio.sleep(1)
        lost, other = testbed.upstreams
        testbed.register(other, zone='nc-a')
        port = await _refuse(lost)
        await _send_for(testbed, 0.5)
        match why:
            case 'leaving':
                testbed.register(lost, state='draining')
            case 'evacuated':
                testbed.store.put('op/evacuate/pnw-a', {})
            case _:
                testbed.store.remove(f'servers/{lost.name}')
        await _send_for(testbed, 1)
        before = _count_trials(testbed)
        lost.arrivals.clear()
        await lost.open(port)
        assert _share_served(await _send_for(testbed, 8)) == 1
        assert _count_trials(testbed) == before
        assert not lost.arrivals

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_an_evacuated_lost_upstream_is_tried_once_its_zone_is_back(
    tmp_path: Path,
) -> None:
    """The zone is taken back while the upstream accepts connections."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await asyncio.sleep(1)
        lost, other = testbed.upstreams
        testbed.register(other, zone='nc-a')
        port = await _refuse(lost)
        await _send_for(testbed, 1)
        testbed.store.put('op/evacuate/pnw-a', {})
        await _send_for(testbed, 2)
        await lost.open(port)
        testbed.store.remove('op/evacuate/pnw-a')
        moment = _now()
        await _send_for(testbed, 10)
        assert _count_since(lost, moment)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_pauses_between_trials_grow_until_the_upstream_answers() -> None:
    """A connection alone does not make them short again."""
    clock = ManualClock()
    state = UpstreamState(make_upstream('a'), clock)
    pauses = []
    for _ in range(8):
        state.mark_lost(LossReason.replaced)
        assert state.loss is not None
        pauses.append((state.loss.retry_at - clock.elapsed()).total_seconds())
        state.end_loss(timedelta())
    for at, pause in enumerate(pauses):
        assert pause == pytest.approx(min(32, 2**at), rel=0.26)
    state.record_identity()
    state.mark_lost(LossReason.refused)
    assert state.loss is not None
    assert state.loss.retry_at - clock.elapsed() < timedelta(seconds=1.3)
