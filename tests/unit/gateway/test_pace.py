"""Tests of the load and the pace that upstreams report with their answers."""

from datetime import timedelta
from pathlib import Path

import pytest

from lycheedyke.protocol import RoutePart
from lycheedyke.state import (
    Candidate,
    Counters,
    Distances,
    Location,
    PermitBook,
    PermitSources,
    Request,
    RunTimeStats,
    UpstreamSelector,
    UpstreamTable,
    WarmupLimiter,
    record_run_time,
)
from lycheedyke_daemon.gateway._answer_headers import ReportedLoad, parse_load
from standins.clock import ManualClock
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.records import make_route, make_upstream

MS = timedelta(milliseconds=1)


class _Testbed:
    """One instance with two upstreams of its zone."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.upstreams = UpstreamTable(self.clock)
        self.times = RunTimeStats()
        for name in ('i-0', 'i-1'):
            self.upstreams.apply(make_upstream(name, zone='nc-a'))
        self._selector = UpstreamSelector(
            self.upstreams,
            self.times,
            Location('nc-a', 'nc', {'nc-a': 'nc'}),
            Distances(),
            PermitSources(
                WarmupLimiter('edge-1', self.clock),
                PermitBook(self.clock, Counters()),
            ),
            cold_rate=lambda service: 7.1,
            instances=lambda: 4,
        )
        self.request = Request(
            make_route('/', RoutePart('desk', 1)), 'desk', ''
        )

    def choose(self) -> Candidate:
        """Returns the upstream of a request without an object."""
        candidate = self._selector.choose(self.request)
        assert candidate is not None
        return candidate


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        ('4,2,9', ReportedLoad(4, 2)),
        ('4,2,9,250', ReportedLoad(4, 2, 250)),
        (' 4, 2, 9, 112.5, 7', ReportedLoad(4, 2, 112.5)),
        ('4,2,9,fast', ReportedLoad(4, 2)),
        ('4,2,many', ReportedLoad(4, 2)),
        ('9' * 300 + ',2,9', ReportedLoad(1_000_000, 2)),
        ('4,2', None),
        ('4,x,9,250', None),
        ('-4,2,9', None),
        ('', None),
    ],
)
def test_a_load_has_three_figures_or_more(
    text: str, load: ReportedLoad | None
) -> None:
    """Guards against knowing no load where upstreams report four figures."""
    assert parse_load(text) == load


def test_an_answer_with_four_figures_tells_load_and_pace(
    tmp_path: Path,
) -> None:
    """Guards against a header that no instance records."""

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        upstream.load = '5,1,9,250'
        assert (await platform.send('/read/1')).status == 200
        (state,) = platform.instances[0]._upstream_table.all()
        assert 4 < state.load <= 5
        assert 2 < state.delay <= 2.5

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)


def test_the_pace_counts_in_run_and_wait() -> None:
    """A request goes to the upstream that works at its usual pace."""
    testbed = _Testbed()
    state = testbed.choose().state
    for _ in range(state.record.slots + 1):
        state.begin_request('')
    before = testbed.choose()
    assert before.state is not state
    for each in testbed.upstreams.all():
        each.record_load(6, 0, 100)
    usual = testbed.choose()
    for each in testbed.upstreams.all():
        each.record_load(6, 0, 250)
    slow = testbed.choose()
    assert slow.run / usual.run == pytest.approx(2.5, rel=0.001)
    assert slow.wait / usual.wait == pytest.approx(2.5, rel=0.001)


def test_an_old_report_of_the_pace_means_little() -> None:
    """Guards against avoiding an upstream that is fast again."""
    testbed = _Testbed()
    state = testbed.choose().state
    usual = testbed.choose().run
    state.record_load(0, 0, 250)
    assert testbed.choose().state is not state
    testbed.clock.advance(0.6)
    assert 1.5 < state.delay_at(testbed.clock.elapsed()) < 1.6
    testbed.clock.advance(6)
    assert testbed.choose().run < usual * 1.001


def test_a_report_without_a_pace_leaves_the_last_one() -> None:
    """Without any report of it, the pace changes no estimate."""
    testbed = _Testbed()
    state = testbed.choose().state
    state.record_load(1, 0)
    assert state.delay_at(testbed.clock.elapsed()) == 1
    state.record_load(1, 0, 250)
    state.record_load(1, 0)
    assert state.delay_at(testbed.clock.elapsed()) == 2.5


def test_the_pace_is_no_slowness_and_no_run_time() -> None:
    """Guards against counting the pace twice in estimates."""
    testbed = _Testbed()
    candidate = testbed.choose()
    first = testbed.times.of_route(testbed.request.route, 'desk').cold
    for _ in range(50):
        candidate.state.record_load(0, 0, 250)
        took = first * candidate.state.pace.mean_factor(
            first * 2, testbed.clock.elapsed()
        )
        record_run_time(testbed.times, testbed.request, candidate, took)
    after = testbed.times.of_route(testbed.request.route, 'desk').cold
    assert after == pytest.approx(first, rel=0.1)
    assert candidate.state.slowness < 1.1


def test_an_upstream_that_is_always_slow_has_a_slowness() -> None:
    """The pace corrects only what the upstream reports."""
    testbed = _Testbed()
    candidate = testbed.choose()
    first = testbed.times.of_route(testbed.request.route, 'desk').cold
    for _ in range(20):
        record_run_time(testbed.times, testbed.request, candidate, first)
    for _ in range(3):
        candidate.state.record_load(0, 0, 100)
        record_run_time(testbed.times, testbed.request, candidate, first * 3)
    assert candidate.state.slowness > 1.3
