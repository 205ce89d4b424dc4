"""Tests admission to one upstream: slots, order, limit and ejection."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import Reason, UpstreamLoad, WorkClass
from lycheedyke.state import (
    AdmissionController,
    AdmissionRefused,
    ConcurrencyLimiter,
    keep_in_use,
)
from standins.clock import ManualClock

MS = timedelta(milliseconds=1)
LATER = timedelta(hours=2)
INTERACTIVE, DEFERRED, BATCH = WorkClass


class _Testbed:
    """An admission controller with settable slots and the highest limit."""

    def __init__(self, slots: int, queue_limit: int = 16) -> None:
        self.clock = ManualClock()
        self.slots = slots
        self.limiter = ConcurrencyLimiter(16, self.clock)
        for _ in range(16):
            self.limiter.record_answer()
        self.controller = AdmissionController(
            lambda: self.slots, self.limiter, queue_limit, self.clock
        )
        self.admitted: list[str] = []

    async def start(
        self, name: str, work_class: WorkClass, deadline: timedelta = LATER
    ) -> asyncio.Task[None]:
        async def enter() -> None:
            await self.controller.acquire(work_class, deadline)
            self.admitted.append(name)

        task = asyncio.create_task(enter())
        await _settle()
        return task


async def _settle() -> None:
    for _ in range(4):
        await asyncio.sleep(0)


def _run(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(scenario())


def _reason(task: asyncio.Task[None]) -> Reason:
    error = task.exception()
    assert isinstance(error, AdmissionRefused)
    assert 50 * MS <= error.retry_after <= timedelta(seconds=10)
    return error.reason


steps = st.lists(
    st.one_of(
        st.sampled_from(['leave', 'cancel']),
        st.sampled_from(list(WorkClass)),
        st.integers(0, 9),
    ),
    max_size=60,
)


@given(steps)
def test_slots_are_exact_and_none_are_lost(run: list[Any]) -> None:
    """Requests in flight never exceed the slots, and all slots get used."""

    async def scenario() -> None:
        testbed = _Testbed(3)
        tasks: list[asyncio.Task[None]] = []
        for step in run:
            before = testbed.controller.in_flight
            match step:
                case 'leave' if before:
                    testbed.controller.release(10 * MS)
                case 'cancel' if tasks:
                    tasks.pop(len(tasks) // 2).cancel()
                case WorkClass():
                    tasks.append(await testbed.start('', step))
                case int():
                    testbed.slots = step
                    testbed.controller.admit_waiting()
            await _settle()
            now = testbed.controller.in_flight
            assert now <= max(before, testbed.slots)
            assert not testbed.controller.waiting or now >= testbed.slots
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    _run(scenario)


def test_order_by_class_then_deadline_with_a_floor() -> None:
    """Urgent requests go first, but every eighth slot to the oldest batch."""

    async def scenario() -> None:
        testbed = _Testbed(1)
        await testbed.start('first', INTERACTIVE)
        await testbed.start('batch', BATCH)
        await testbed.start('order', DEFERRED)
        for index in range(8):
            await testbed.start(str(index), INTERACTIVE, LATER - index * MS)
        for _ in range(10):
            testbed.controller.release(MS)
            await _settle()
        assert testbed.admitted == ['first', *'7654321', 'batch', '0', 'order']

    _run(scenario)


def test_urgent_newcomer_displaces_the_last_of_a_full_queue() -> None:
    """Each kind of refusal has its own reason."""

    async def scenario() -> None:
        testbed = _Testbed(1, queue_limit=2)
        await testbed.start('first', INTERACTIVE)
        order = await testbed.start('order', DEFERRED)
        batch = await testbed.start('batch', BATCH)
        await testbed.start('look-up', INTERACTIVE)
        late = await testbed.start('late', DEFERRED)
        assert _reason(batch) is Reason.displaced
        assert _reason(late) is Reason.queue_full
        assert not order.done()
        testbed.slots = 0
        testbed.controller.admit_waiting()
        await _settle()
        assert _reason(order) is Reason.no_owner

    _run(scenario)


def test_expired_work_is_dropped_unrun() -> None:
    """A waiting request whose deadline has passed gets no slot."""

    async def scenario() -> None:
        testbed = _Testbed(1)
        await testbed.start('first', INTERACTIVE)
        now = testbed.clock.elapsed()
        task = await testbed.start('late', INTERACTIVE, now + 5000 * MS)
        testbed.clock.advance((5000 * MS).total_seconds())
        testbed.controller.release(MS)
        await _settle()
        assert _reason(task) is Reason.deadline_passed
        assert not testbed.controller.in_flight

    _run(scenario)


def test_lowered_owner_writes_nothing_above_its_slots() -> None:
    """The check before the write detects slots lost after admission."""

    async def scenario() -> None:
        testbed = _Testbed(9)
        for _ in range(9):
            await testbed.start('', INTERACTIVE)
        testbed.slots = 5
        for _ in range(4):
            with pytest.raises(AdmissionRefused, match='owner-lowered'):
                testbed.controller.check_slots()
            testbed.controller.release()
        testbed.controller.check_slots()

    _run(scenario)


def test_retry_after_grows_with_the_queue_and_differs() -> None:
    """Callers are told to retry at different times."""

    async def scenario() -> None:
        waits = []
        for length in (0, 16):
            testbed = _Testbed(1, queue_limit=length)
            for _ in range(1 + length):
                await testbed.start('', INTERACTIVE)
            times = []
            for _ in range(9):
                error = (await testbed.start('', INTERACTIVE)).exception()
                assert isinstance(error, AdmissionRefused)
                times.append(error.retry_after)
            assert len(set(times)) > 1
            waits.append(max(times))
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
        assert waits[0] < waits[1]

    _run(scenario)


@given(st.integers(1, 16), st.lists(st.sampled_from('asf'), max_size=40))
def test_pace_starts_at_one_and_stays_within_slots(
    slots: int, outcomes: list[str]
) -> None:
    """The limit stays within the slots, and rises by one at a time."""
    limiter = ConcurrencyLimiter(slots, ManualClock())
    assert limiter.limit == 1
    actions = {
        'a': limiter.record_answer,
        's': limiter.record_overload,
        'f': limiter.record_failure,
    }
    for outcome in outcomes:
        before = limiter.limit
        actions[outcome]()
        assert 1 <= limiter.limit <= min(slots, before + 1)


def test_shed_answers_lower_the_limit_once_an_interval() -> None:
    """Refusals within one interval lower the limit only once."""
    testbed = _Testbed(16)
    for expected in (11, 11):
        testbed.limiter.record_overload()
        assert testbed.limiter.limit == expected
    testbed.clock.advance((100 * MS).total_seconds())
    testbed.limiter.record_overload()
    assert testbed.limiter.limit == 7


def test_failing_upstream_is_out_and_comes_back_by_one_trial() -> None:
    """The ejection doubles with each failed trial; recovery starts slowly."""
    testbed = _Testbed(16)
    for _ in range(3):
        assert testbed.limiter.usable
        testbed.limiter.record_failure()
    assert not testbed.limiter.usable
    assert (testbed.limiter.limit, testbed.limiter.may_queue) == (1, False)
    testbed.clock.advance((500 * MS).total_seconds())
    assert testbed.limiter.usable
    testbed.limiter.record_failure()
    testbed.clock.advance((499 * MS).total_seconds())
    assert not testbed.limiter.usable
    testbed.clock.advance((501 * MS).total_seconds())
    testbed.limiter.record_answer()
    assert (testbed.limiter.limit, testbed.limiter.may_queue) == (2, True)


@given(st.lists(st.booleans(), max_size=30))
def test_a_third_of_a_service_stays_in_use(usable: list[bool]) -> None:
    """At least a third stays in use, and all usable upstreams do."""
    loads = [
        UpstreamLoad(f'kassa-{index}', 0, 0, 1, is_usable)
        for index, is_usable in enumerate(usable)
    ]
    kept = keep_in_use(loads)
    assert len(kept) * 3 >= len(loads)
    assert {load for load in loads if load.usable} <= set(kept)
