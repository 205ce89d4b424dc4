"""Tests of what a choice among many upstreams costs."""

import sys
from collections import Counter
from datetime import timedelta
from types import FrameType

import pytest

from lycheedyke.protocol import RoutePart
from lycheedyke.state import (
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
)
from standins.clock import ManualClock
from standins.records import make_route, make_upstream

REGIONS = {'pnw-a': 'pnw', 'pnw-b': 'pnw', 'nc-a': 'nc', 'nc-b': 'nc'}
UPSTREAMS_PER_ZONE = 60
OBJECTS = 335
MAX_CALLS_PER_UPSTREAM = 25
MAX_CLOCK_READINGS = 4


class _CountingClock(ManualClock):
    def __init__(self) -> None:
        super().__init__()
        self.readings = 0

    def elapsed(self) -> timedelta:
        self.readings += 1
        return super().elapsed()


class _Testbed:
    """Upstreams in four zones, all of which have answered before."""

    def __init__(
        self,
        *,
        lost_zone: str = '',
        pace_percent: int | None = None,
        max_homes: int = 1,
    ) -> None:
        self.clock = _CountingClock()
        self.upstreams = UpstreamTable(self.clock)
        self.selector = UpstreamSelector(
            self.upstreams,
            RunTimeStats(),
            Location('nc-a', 'nc', REGIONS),
            Distances(),
            PermitSources(
                WarmupLimiter('edge-1', self.clock),
                PermitBook(self.clock, Counters()),
            ),
            cold_rate=lambda service: 7.1,
            instances=lambda: 4,
        )
        self.selector.set_max_homes(max_homes)
        for zone in REGIONS:
            for at in range(UPSTREAMS_PER_ZONE):
                record = make_upstream(f'{zone}-{at}', zone=zone)
                self.upstreams.apply(record)
        for state in self.upstreams.all():
            state.record_load(2, 1, pace_percent)
            state.record_slowness(timedelta(seconds=2), timedelta(seconds=1))
            if state.record.zone == lost_zone:
                state.mark_lost()

    def choose(self, object_key: str = 'x') -> None:
        """Chooses the upstream of one request."""
        route = make_route('/', RoutePart('desk', 1))
        request = Request(route, 'desk', object_key)
        assert self.selector.choose(request) is not None


@pytest.mark.parametrize('lost_zone', ['', 'nc-a'])
@pytest.mark.parametrize('pace_percent', [None, 250])
@pytest.mark.parametrize('max_homes', [0, 1, 8])
def test_a_choice_costs_few_calls_for_each_upstream(
    lost_zone: str, pace_percent: int | None, max_homes: int
) -> None:
    """Guards against sending by old news while a lost zone keeps it busy.

    When a zone loses its upstreams, each request there is sent elsewhere at
    once, and nothing else happens at its instances meanwhile.
    """
    testbed = _Testbed(
        lost_zone=lost_zone, pace_percent=pace_percent, max_homes=max_homes
    )
    calls: Counter[str] = Counter()

    def count(_frame: FrameType, event: str, _argument: object) -> None:
        calls[event] += 1

    sys.setprofile(count)
    try:
        testbed.choose()
    finally:
        sys.setprofile(None)
    upstreams = UPSTREAMS_PER_ZONE * len(REGIONS)
    total = calls['call'] + calls['c_call']
    assert total <= MAX_CALLS_PER_UPSTREAM * upstreams


def test_homes_are_assigned_at_the_cost_of_few_choices() -> None:
    """Guards against choices that wait while homes are assigned.

    The first assignment ranks the upstreams for each object, later ones only
    for new objects.
    """
    testbed = _Testbed(max_homes=8)
    calls: Counter[str] = Counter()

    def count(_frame: FrameType, event: str, _argument: object) -> None:
        calls[event] += 1

    for _ in range(2):
        for number in range(OBJECTS):
            testbed.choose(str(number))
        testbed.clock.advance(6)
    sys.setprofile(count)
    try:
        testbed.choose('0')
    finally:
        sys.setprofile(None)
    upstreams = UPSTREAMS_PER_ZONE * len(REGIONS)
    total = calls['call'] + calls['c_call']
    assert total <= MAX_CALLS_PER_UPSTREAM * upstreams + 20 * OBJECTS


def test_a_choice_is_made_at_one_time() -> None:
    """Guards against a system call and a new time for each upstream."""
    testbed = _Testbed(lost_zone='nc-a')
    testbed.clock.readings = 0
    testbed.choose()
    assert testbed.clock.readings <= MAX_CLOCK_READINGS
