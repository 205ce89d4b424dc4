"""Tests the rules by which competing requests get slots."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import Reason, Tenant
from lycheedyke.state import (
    Candidate,
    Counters,
    Request,
    RunTimeStats,
    UpstreamState,
    is_admissible,
    wait_share_of,
)
from lycheedyke.state._goal_admission import MAX_RETRY_AFTER, MIN_RETRY_AFTER
from lycheedyke.state.fairness import FixedUse, SlotAllocation
from lycheedyke.state.fairness._allocation import MAX_SERVICES
from lycheedyke.state.fairness._minimum_share import MAX_NAMES
from lycheedyke.state.fairness._tenant_use import MAX_TENANTS
from standins.clock import ManualClock
from standins.records import make_route, make_upstream

SLOTS = 3
RUN = timedelta(milliseconds=100)
GOAL = timedelta(milliseconds=250)
NO_TIME = timedelta()


class _Scene:
    """One instance and one upstream."""

    def __init__(self, uses: dict[str, float] | None = None) -> None:
        self.clock = ManualClock()
        self.counters = Counters()
        self.allocation = SlotAllocation(
            self.clock, self.counters, FixedUse(uses or {})
        )
        self._state = UpstreamState(make_upstream('i-1'), self.clock)
        self._times = RunTimeStats()

    def send(
        self,
        priority: int,
        load: int,
        tenant: str = 'shop',
        waited: timedelta = NO_TIME,
        kind: str = '',
    ) -> Reason | None:
        """Returns why a request is refused, for an upstream with a load."""
        request = Request(
            make_route(kind or f'/{priority}/', goal=GOAL, priority=priority),
            'desk',
            'o-1',
            wait_share_of(priority),
            Tenant(tenant),
            urgency=priority,
        )
        request = self.allocation.record_arrival(request, self._times)
        usable = request.usable_slots(SLOTS)
        wait = max(0, load - usable + 1) / usable * RUN
        candidate = Candidate(self._state, wait, RUN, NO_TIME, 1, load)
        return self.allocation.judge(request, candidate, waited)

    def drain_guarantee(self, priority: int, load: int) -> None:
        """Spends the part that is guaranteed to a kind and its tenant."""
        for _ in range(3):
            self.send(priority, load)


def test_nothing_is_reserved_for_nobody() -> None:
    """Guards against idle slots while no urgent request arrives."""
    scene = _Scene()
    assert scene.send(1, SLOTS - 1) is None
    scene.send(0, 0)
    scene.clock.advance(5)
    assert scene.send(1, SLOTS - 1) is None
    assert not scene.counters.counts


def test_slots_are_reserved_while_urgent_requests_wait() -> None:
    """Guards against less urgent requests in the slot of a waiting one."""
    scene = _Scene()
    scene.drain_guarantee(1, 0)
    assert scene.send(0, SLOTS) is None
    assert scene.send(1, SLOTS - 1) is Reason.slots_reserved
    assert scene.send(1, 0) is None
    assert scene.send(0, SLOTS - 1) is None


def test_a_late_request_gives_way_to_a_useful_one() -> None:
    """Guards against slots that go to requests without use to the caller."""
    scene = _Scene()
    scene.drain_guarantee(0, 0)
    assert scene.send(0, 0, waited=GOAL) is None
    scene.send(0, SLOTS)
    assert scene.send(0, 0, waited=GOAL) is Reason.too_late
    scene.clock.advance(1.1)
    assert scene.send(0, 0, waited=GOAL) is None


def test_a_tenant_above_its_share_is_refused_only_under_contention() -> None:
    """Guards against a tenant whose excess takes the slots of others."""
    scene = _Scene({'large': 50.0, 'a': 0.6, 'b': 0.6})
    for tenant in ('a', 'b', 'large', 'large', 'large'):
        assert scene.send(0, 0, tenant) is None
    scene.send(0, 9, 'a')
    assert scene.send(0, 0, 'a') is None
    refused = [scene.send(0, 0, 'large') for _ in range(50)]
    assert refused.count(Reason.over_share) > 25
    scene.clock.advance(5)
    assert scene.send(0, 0, 'large') is None


def test_a_few_requests_say_nothing_of_a_share() -> None:
    """Guards against refusals by chance where each instance sees little."""
    scene = _Scene()
    for tenant in ('a', 'b', 'c', 'c', 'c'):
        scene.send(0, 0, tenant)
    scene.send(0, 9, 'a')
    assert all(scene.send(0, 0, 'c') is None for _ in range(2))


def test_a_large_quota_is_a_large_share() -> None:
    """Guards against limits on a tenant that sends more by its quota."""
    allocation = _Scene().allocation
    service = allocation._service('desk')
    now = timedelta(seconds=1)
    large, small = Tenant('large', rate=200), Tenant('small', rate=2)
    for _ in range(100):
        service.shares.record(large, now)
    service.shares.record(small, now)
    assert service.shares.fair_part(large, now) == 1
    assert service.shares.fair_part(small, now) == 1


@pytest.mark.parametrize('requests', [4, 40])
def test_a_part_is_guaranteed_over_many_instances(requests: int) -> None:
    """Guards against a kind that no instance serves.

    Load: 200 instances that see few requests of a kind, which all find their
    slots reserved.
    """
    served = 0
    for _ in range(200):
        scene = _Scene()
        for _ in range(requests):
            scene.send(0, SLOTS)
            served += scene.send(1, SLOTS - 1, 'other') is None
    # Half of all requests are admitted, and the kind's own besides.
    assert served >= 0.25 * 0.5 * 200 * requests
    assert served <= 0.5 * 200 * requests


def test_urgent_callers_come_back_first() -> None:
    """Guards against a common time at which all callers come back."""
    scene = _Scene()
    waits: list[list[timedelta]] = []
    for priority in (0, 1):
        request = Request(
            make_route('/read/', priority=priority),
            'desk',
            '',
            wait_share_of(priority),
            urgency=priority,
        )
        waits.append(
            [
                scene.allocation.retry_after(request, None, Reason.no_room)
                for _ in range(200)
            ]
        )
    urgent, others = waits
    assert sum(urgent, NO_TIME) < 0.8 * sum(others, NO_TIME)
    assert max(others) - min(others) > max(urgent) - min(urgent)
    assert min(urgent) >= MIN_RETRY_AFTER * 0.75
    assert max(others) <= MAX_RETRY_AFTER


def test_the_state_is_bounded() -> None:
    """Guards against memory that grows with names."""
    scene = _Scene()
    for number in range(MAX_NAMES + 9):
        scene.send(number % 40, 0, f't-{number}', kind=f'/{number}/')
    service = scene.allocation._service('desk')
    assert len(service.minimum._kinds) == MAX_NAMES
    assert len(service.minimum._tenants) == MAX_NAMES
    assert len(service.shares._asked.all_at(NO_TIME)) == MAX_TENANTS
    assert len(service.shares._quotas) == MAX_TENANTS
    for number in range(2 * MAX_SERVICES):
        scene.allocation._service(str(number))
    assert len(scene.allocation._services) == MAX_SERVICES


@given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 9)), max_size=30),
)
def test_without_tenants_nothing_changes(sent: list[tuple[int, int]]) -> None:
    """Guards against other decisions where no tenants are configured."""
    clock = ManualClock()
    counters = Counters()
    allocation = SlotAllocation(clock, counters)
    state = UpstreamState(make_upstream('i-1'), clock)
    for priority, load in sent:
        request = Request(
            make_route('/read/', goal=GOAL, priority=priority),
            'desk',
            'o-1',
            wait_share_of(priority),
        )
        assert allocation.record_arrival(request, RunTimeStats()) is request
        wait = max(0, load - SLOTS + 1) / SLOTS * RUN
        candidate = Candidate(state, wait, RUN, NO_TIME, 1, load)
        is_admitted = is_admissible(request, candidate, NO_TIME)
        reason = allocation.judge(request, candidate, NO_TIME)
        assert reason is (None if is_admitted else Reason.no_room)
    assert not counters.counts
