"""Admission to one upstream: slots, order, floor, pace and outages."""

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


class Gate:
    """An admitter whose slots a test sets, at full pace."""

    def __init__(self, slots: int, queue_limit: int = 16) -> None:
        self.clock = ManualClock()
        self.slots = slots
        self.pace = ConcurrencyLimiter(16, self.clock)
        for _ in range(16):
            self.pace.record_answer()
        self.admitter = AdmissionController(
            lambda: self.slots, self.pace, queue_limit, self.clock
        )
        self.turns: list[str] = []

    async def start(
        self, name: str, work_class: WorkClass, deadline: timedelta = LATER
    ) -> asyncio.Task[None]:
        async def enter() -> None:
            await self.admitter.acquire(work_class, deadline)
            self.turns.append(name)

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
    """In flight never rises above the slots, and all slots get used."""

    async def scenario() -> None:
        gate = Gate(3)
        tasks: list[asyncio.Task[None]] = []
        for step in run:
            before = gate.admitter.in_flight
            match step:
                case 'leave' if before:
                    gate.admitter.release(10 * MS)
                case 'cancel' if tasks:
                    tasks.pop(len(tasks) // 2).cancel()
                case WorkClass():
                    tasks.append(await gate.start('', step))
                case int():
                    gate.slots = step
                    gate.admitter.admit_waiting()
            await _settle()
            now = gate.admitter.in_flight
            assert now <= max(before, gate.slots)
            assert not gate.admitter.waiting or now >= gate.slots
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    _run(scenario)


def test_order_by_class_then_deadline_with_a_floor() -> None:
    """Urgent work goes first, and one turn in eight to the oldest batch."""

    async def scenario() -> None:
        gate = Gate(1)
        await gate.start('first', INTERACTIVE)
        await gate.start('batch', BATCH)
        await gate.start('order', DEFERRED)
        for index in range(8):
            await gate.start(str(index), INTERACTIVE, LATER - index * MS)
        for _ in range(10):
            gate.admitter.release(MS)
            await _settle()
        assert gate.turns == ['first', *'7654321', 'batch', '0', 'order']

    _run(scenario)


def test_urgent_newcomer_displaces_the_last_of_a_full_queue() -> None:
    """Each refusal has its own reason."""

    async def scenario() -> None:
        gate = Gate(1, queue_limit=2)
        await gate.start('first', INTERACTIVE)
        order = await gate.start('order', DEFERRED)
        batch = await gate.start('batch', BATCH)
        await gate.start('look-up', INTERACTIVE)
        late = await gate.start('late', DEFERRED)
        assert _reason(batch) is Reason.displaced
        assert _reason(late) is Reason.queue_full
        assert not order.done()
        gate.slots = 0
        gate.admitter.admit_waiting()
        await _settle()
        assert _reason(order) is Reason.no_owner

    _run(scenario)


def test_expired_work_is_dropped_unrun() -> None:
    """A waiter whose deadline passed gets no slot."""

    async def scenario() -> None:
        gate = Gate(1)
        await gate.start('first', INTERACTIVE)
        now = gate.clock.elapsed()
        task = await gate.start('late', INTERACTIVE, now + 5000 * MS)
        gate.clock.pass_time((5000 * MS).total_seconds())
        gate.admitter.release(MS)
        await _settle()
        assert _reason(task) is Reason.deadline_passed
        assert not gate.admitter.in_flight

    _run(scenario)


def test_lowered_owner_writes_nothing_above_its_slots() -> None:
    """The check before the write sees slots that fell after admission."""

    async def scenario() -> None:
        gate = Gate(9)
        for _ in range(9):
            await gate.start('', INTERACTIVE)
        gate.slots = 5
        for _ in range(4):
            with pytest.raises(AdmissionRefused, match='owner-lowered'):
                gate.admitter.check_slots()
            gate.admitter.release()
        gate.admitter.check_slots()

    _run(scenario)


def test_retry_after_grows_with_the_queue_and_differs() -> None:
    """Callers are told to come back at different times."""

    async def scenario() -> None:
        waits = []
        for length in (0, 16):
            gate = Gate(1, queue_limit=length)
            for _ in range(1 + length):
                await gate.start('', INTERACTIVE)
            times = []
            for _ in range(9):
                error = (await gate.start('', INTERACTIVE)).exception()
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
    """No answer raises the limit by more than one."""
    pace = ConcurrencyLimiter(slots, ManualClock())
    assert pace.limit == 1
    actions = {
        'a': pace.record_answer,
        's': pace.record_overload,
        'f': pace.record_failure,
    }
    for outcome in outcomes:
        before = pace.limit
        actions[outcome]()
        assert 1 <= pace.limit <= min(slots, before + 1)


def test_shed_answers_lower_the_limit_once_an_interval() -> None:
    """Refusals of one overload count once."""
    gate = Gate(16)
    for expected in (11, 11):
        gate.pace.record_overload()
        assert gate.pace.limit == expected
    gate.clock.pass_time((100 * MS).total_seconds())
    gate.pace.record_overload()
    assert gate.pace.limit == 7


def test_failing_upstream_is_out_and_comes_back_by_one_trial() -> None:
    """The time out doubles with each failed trial; return starts slow."""
    gate = Gate(16)
    for _ in range(3):
        assert gate.pace.usable
        gate.pace.record_failure()
    assert not gate.pace.usable
    assert (gate.pace.limit, gate.pace.may_queue) == (1, False)
    gate.clock.pass_time((500 * MS).total_seconds())
    assert gate.pace.usable
    gate.pace.record_failure()
    gate.clock.pass_time((499 * MS).total_seconds())
    assert not gate.pace.usable
    gate.clock.pass_time((501 * MS).total_seconds())
    gate.pace.record_answer()
    assert (gate.pace.limit, gate.pace.may_queue) == (2, True)


@given(st.lists(st.booleans(), max_size=30))
def test_a_third_of_a_service_stays_in_use(usable: list[bool]) -> None:
    """However many fail; usable ones are never left out."""
    loads = [
        UpstreamLoad(f'kassa-{index}', 0, 0, 1, is_usable)
        for index, is_usable in enumerate(usable)
    ]
    kept = keep_in_use(loads)
    assert len(kept) * 3 >= len(loads)
    assert {load for load in loads if load.usable} <= set(kept)
