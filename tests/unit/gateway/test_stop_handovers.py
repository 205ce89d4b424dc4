"""Planned stops, and callers that read their answers slowly."""

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest

from lycheedyke_daemon.gateway._stop_schedule import StopSchedule
from lycheedyke_daemon.gateway.bodies import Handovers
from standins.clock import ManualClock
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.records import make_route
from standins.streaming import (
    PACK,
    PACK_BYTES,
    Pack,
    PackCaller,
    serve_packs,
)

LIMIT_SECONDS = 40
GRACE_S = 6.0
DEADLINE_S = 4.9
# How long the callers of the trial took: to about 0.8 s before their deadline.
SLOW_S = 4.1
ROUTE = make_route('/pack/', streamed=True)
PLAIN = make_route('/read/')


def _seconds(span: float) -> timedelta:
    return timedelta(seconds=span)


class _Stop:
    """A stop that has begun, and what is known of answers before it."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.handovers = Handovers(self.clock)
        self.schedule = StopSchedule(self.clock, lambda: _seconds(GRACE_S))

    def take(self, at_s: float, left_s: float = DEADLINE_S) -> bool:
        """Returns whether a request some time after the signal is taken."""
        self.schedule.begin()
        self.clock.advance(at_s)
        taken = self.schedule.may_take(
            _seconds(0.3), self.handovers.expected(ROUTE, _seconds(left_s))
        )
        self.clock.advance(-at_s)
        return taken

    def read(self, seconds: float, size: int = PACK_BYTES) -> None:
        """Lets a caller with the usual deadline read an answer."""
        self.handovers.record_size(ROUTE.name, size)
        due = self.clock.elapsed() + _seconds(DEADLINE_S)
        with self.handovers.measure(ROUTE.name, due):
            self.clock.advance(seconds)


# Guards against LOST: an answer that its caller reads slowly was taken on in a
# stop, and cut at the end of the grace period.
@pytest.mark.parametrize('tenths', range(30))
def test_no_large_answer_outlasts_the_grace_period(tenths: int) -> None:
    """A caller that leaves 0.8 s of its time gets the whole answer."""
    stop = _Stop()
    stop.read(0.1)
    at_s = tenths / 10
    if stop.take(at_s):
        assert at_s + SLOW_S <= GRACE_S * 0.95
    assert stop.take(at_s) == (at_s <= 1.6)


# Guards against refusals in a stop that spare nobody.
@pytest.mark.parametrize('at_s', [0, 1, 2, 3])
def test_short_answers_are_taken_to_the_end(at_s: float) -> None:
    """The buffers of the connection hold them, however slowly they are read."""
    stop = _Stop()
    stop.read(4.8, size=20_000)
    assert stop.take(at_s)
    assert not stop.take(3.1)


def test_a_near_deadline_lets_a_large_answer_be_taken_late() -> None:
    """The caller has its answer, or none, before the grace period ends."""
    stop = _Stop()
    stop.read(0.1)
    assert stop.take(2.9, left_s=3.0)


@pytest.mark.parametrize('is_done', [False, True])
def test_callers_that_need_all_their_time_leave_none_for_others(
    *, is_done: bool
) -> None:
    """One that still reads tells as much as one that is done."""
    stop = _Stop()
    stop.read(0.1)
    assert stop.take(1.2)
    if is_done:
        stop.read(4.6)
        assert not stop.take(1.2)
        return
    due = stop.clock.elapsed() + _seconds(DEADLINE_S)
    with stop.handovers.measure(ROUTE.name, due):
        stop.clock.advance(4.6)
        assert not stop.take(1.2)
        assert stop.take(0.5)


def test_a_route_that_never_answered_is_judged_by_its_kind() -> None:
    """Downloads are large; other answers are short until one was not."""
    handovers = Handovers(ManualClock())
    assert handovers.expected(ROUTE, _seconds(3))
    assert not handovers.expected(PLAIN, _seconds(3))
    handovers.record_size(PLAIN.name, PACK_BYTES)
    assert handovers.expected(PLAIN, _seconds(3))


# Guards against LOST, in a running instance: the caller got 200 and a part.
def test_a_stop_refuses_what_it_cannot_hand_over(tmp_path: Path) -> None:
    """At once, before it is sent on; what can be handed over is served."""

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = platform.upstreams[0].respond = Pack(PACK_BYTES)
        pack.go_on.set()
        first = await platform.send('/pack/1', deadline_ms=4000)
        assert first.body == PACK
        async with PackCaller(platform) as slow:
            stopping = asyncio.create_task(platform.instances[0].stop())
            await asyncio.sleep(0.1)
            sent = platform.count_arrivals()
            loop = asyncio.get_running_loop()
            started = loop.time()
            # Its deadline is 4 s away, and the grace period lasts 2 s.
            slow.ask('r-slow')
            answer = await slow.read_rest()
            assert (answer.status, answer.body) == (503, b'stopping')
            assert loop.time() - started < 0.2
            assert platform.count_arrivals() == sent
        quick = await platform.send('/pack/2', deadline_ms=1200)
        assert quick.body == PACK
        platform.upstreams[0].respond = None
        assert (await platform.send('/read/1')).status == 200
        await stopping
        platform.instances.clear()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=1)
