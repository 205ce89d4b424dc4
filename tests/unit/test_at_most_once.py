"""A keyed request runs at most once, and never runs after "not run".

The state machine drives real dispatchers, key stores, peer clients and peer
APIs. The clock, the network between instances and the upstreams are fakes. The
checks use only the runs of each key and the answers to each request.
"""

import asyncio
import tracemalloc
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lycheedyke.protocol import (
    Answered,
    IdempotencyKey,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from lycheedyke.state import KeyRefused, KeyStore
from lycheedyke_daemon.work import Work
from standins.clock import ManualClock
from standins.key_home_simulation import (
    MAX_KEY_LIFE,
    MEMORY_BYTES,
    SECOND,
    KeyHomeSimulation,
    UpstreamRun,
)

FAULTS = ('none', 'none', 'refused', 'late', 'answer lost')


class AtMostOnce(RuleBasedStateMachine):
    """Sends, resends, loses and ends requests and replaces instances."""

    @initialize()
    def prepare(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.world = KeyHomeSimulation()
        self.keys: list[IdempotencyKey] = []
        self.requests: list[
            tuple[IdempotencyKey, bytes, asyncio.Task[Any]]
        ] = []
        self.cancelled = 0

    def teardown(self) -> None:
        for run in self._open_runs():
            run.outcome.set_result(Unknown(Reason.upstream_broke))
        self._settle()
        stuck = [
            key
            for key, _, task in self.requests
            if not task.done() and self.world.instances
        ]
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._settle()
        self.loop.close()
        assert not stuck

    @rule(position=st.integers(0, 2), life=st.integers(1, 10))
    def make_key(self, position: int, life: int) -> None:
        node = self.world.instances[position]
        self.keys.append(
            IdempotencyKey(
                node.info.incarnation,
                node.key_store.age + life * SECOND,
                f'nonce-{len(self.keys):04}',
            )
        )

    @precondition(lambda self: self.keys)
    @rule(
        index=st.integers(0, 3),
        entry=st.integers(0, 2),
        body=st.sampled_from([b'one', b'one', b'one', b'two']),
        fault=st.sampled_from(FAULTS),
    )
    def send(self, index: int, entry: int, body: bytes, fault: str) -> None:
        key = self.keys[-1 - index % len(self.keys)]
        self.world.fault = fault
        deadline = self.world.clock.elapsed() + 30 * SECOND
        work = Work('kassa', 'POST', '/', (), body, deadline, '', key)
        node = self.world.instances[entry]
        task = self.loop.create_task(node.dispatcher.run(work))
        node.tasks.append(task)
        self.requests.append((key, body, task))
        self._settle()
        self.world.fault = 'none'

    @precondition(lambda self: self.keys)
    @rule(index=st.integers(0, 3), entry=st.integers(0, 2))
    def refuse_at_entry(self, index: int, entry: int) -> None:
        key = self.keys[-1 - index % len(self.keys)]
        dispatcher = self.world.instances[entry].dispatcher

        async def refuse() -> Outcome:
            return dispatcher.refuse(key, Reason.body_too_large)

        task = self.loop.create_task(refuse())
        self.requests.append((key, b'', task))
        self._settle()

    @precondition(lambda self: self._open_runs())
    @rule(
        index=st.integers(0, 9),
        how=st.sampled_from(['answered', 'not run', 'unknown', 'raised']),
    )
    def end_run(self, index: int, how: str) -> None:
        runs = self._open_runs()
        run = runs[index % len(runs)]
        match how:
            case 'answered':
                body = run.work.body
                run.outcome.set_result(Answered(200, (), body, 'kassa-1'))
            case 'not run':
                assert run.work.key is not None
                self.world.runs[run.work.key].remove(run)
                run.outcome.set_result(NotRun(Reason.upstream_refused))
            case 'unknown':
                run.outcome.set_result(Unknown(Reason.upstream_broke))
            case _:
                run.outcome.set_exception(RuntimeError('fault of the router'))
        self._settle()

    @rule(position=st.integers(0, 2), fault=st.sampled_from(FAULTS))
    def hand_over(self, position: int, fault: str) -> None:
        node = self.world.instances[position]
        if not node.stopping and fault != 'late':
            node.stopping = True
            self.world.fault = fault
            job = node.dispatcher.hand_over()
            node.tasks.append(self.loop.create_task(job))
            self._settle()
            self.world.fault = 'none'

    @rule(position=st.integers(0, 2))
    def replace(self, position: int) -> None:
        node = self.world.instances[position]
        node.ended.set()
        for task in node.tasks:
            task.cancel()
        self.world.instances[position] = self.world.start(position)
        self.world.all_instances.append(self.world.instances[position])
        self._settle()

    @precondition(lambda self: any(not t.done() for _, _, t in self.requests))
    @rule()
    def cancel_caller(self) -> None:
        task = next(task for _, _, task in self.requests if not task.done())
        task.cancel()
        self._settle()

    @precondition(lambda self: self.world.delayed)
    @rule()
    def deliver_late(self) -> None:
        node, body = self.world.delayed.pop(0)
        node.tasks.append(self.loop.create_task(node.api.serve(body)))
        self._settle()

    @rule(seconds=st.integers(1, 6))
    def pass_time(self, seconds: int) -> None:
        self.world.clock.advance(seconds)

    @invariant()
    def runs_at_most_once(self) -> None:
        for key, runs in self.world.runs.items():
            assert len(runs) <= 1, key

    @invariant()
    def answers_are_true(self) -> None:
        for key, body, outcome in self._answers():
            match outcome:
                case Answered():
                    assert outcome.body == body
                    assert [run.work.body for run in self.world.runs[key]] == [
                        body
                    ]
                case NotRun(reason) if reason is not Reason.key_reused:
                    assert not self.world.runs[key], (key, reason)

    @invariant()
    def memory_is_bounded(self) -> None:
        for node in self.world.instances:
            assert node.key_store.size <= MEMORY_BYTES + 768

    def _answers(self) -> list[tuple[IdempotencyKey, bytes, Outcome]]:
        return [
            (key, body, task.result())
            for key, body, task in self.requests
            if task.done() and not task.cancelled()
        ]

    def _open_runs(self) -> list[UpstreamRun]:
        return [
            run
            for runs in self.world.runs.values()
            for run in runs
            if not run.outcome.done()
        ]

    def _settle(self) -> None:
        async def wait() -> None:
            for _ in range(15):
                await asyncio.sleep(0)

        self.loop.run_until_complete(wait())


AtMostOnce.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None
)
TestAtMostOnce = AtMostOnce.TestCase


def open_keys(store: KeyStore, count: int, expiry: timedelta) -> int:
    """Opens keys until one is refused; returns how many were accepted."""
    for number in range(count):
        key = IdempotencyKey('h' * 32, expiry, f'{number:064}')
        try:
            store.get_or_create(key, b'f' * 16)
        except KeyRefused as refusal:
            assert refusal.reason is Reason.key_memory_full
            return number
        store.finish(key, Answered(200, (('A', 'b'),), b'x' * 99, 'kassa-1'))
    return count


def test_full_memory_forgets_no_live_key() -> None:
    """A full key store refuses new keys until records expire."""
    clock = ManualClock()
    store = KeyStore('h' * 32, clock, max_bytes=50_000, max_life=MAX_KEY_LIFE)
    accepted = open_keys(store, 100, MAX_KEY_LIFE)
    assert 0 < accepted < 100
    first = IdempotencyKey('h' * 32, MAX_KEY_LIFE, f'{0:064}')
    record, is_new = store.get_or_create(first, b'f' * 16)
    assert (record.finished, is_new) == (True, False)
    refused = IdempotencyKey('h' * 32, MAX_KEY_LIFE, f'{accepted:064}')
    assert store.get_or_create(refused, b'f' * 16)[0].outcome == NotRun(
        Reason.key_memory_full
    )
    clock.advance(MAX_KEY_LIFE.total_seconds())
    with pytest.raises(KeyRefused, match='key-expired') as caught:
        store.get_or_create(first, b'f' * 16)
    assert caught.value.outcome == Unknown(Reason.key_expired)
    assert (len(store), store.size) == (0, 0)


@pytest.mark.parametrize('count', [1000, 21_900])
def test_records_take_no_more_than_is_accounted(count: int) -> None:
    """The accounted size is at least the memory that was allocated."""
    store = KeyStore(
        'h' * 32, ManualClock(), max_bytes=10**9, max_life=MAX_KEY_LIFE
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    open_keys(store, count, MAX_KEY_LIFE)
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert allocated <= store.size


def test_a_key_stands_for_one_request() -> None:
    """Another request with the same key is refused; the first one goes on."""
    store = KeyStore('h' * 32, ManualClock(), max_life=MAX_KEY_LIFE)
    key = IdempotencyKey('h' * 32, MAX_KEY_LIFE, 'nonce-0000')
    store.get_or_create(key, b'first')
    with pytest.raises(KeyRefused) as caught:
        store.get_or_create(key, b'other')
    assert caught.value.outcome == NotRun(Reason.key_reused)
    store.finish(key, Answered(200, (), b'first', 'kassa-1'))
    record, is_new = store.get_or_create(key, b'first')
    assert (record.outcome.body, is_new) == (b'first', False)  # type: ignore[union-attr]
    assert store.refuse(key, Reason.not_ready) == Unknown(Reason.not_ready)


def test_an_answer_above_the_memory_is_not_kept() -> None:
    """A resend gets an unknown outcome if the answer was too large to keep."""
    store = KeyStore(
        'h' * 32, ManualClock(), max_bytes=5000, max_life=MAX_KEY_LIFE
    )
    key = IdempotencyKey('h' * 32, MAX_KEY_LIFE, 'nonce-0000')
    store.get_or_create(key, b'first')
    store.finish(key, Answered(200, (), b'x' * 9000, 'kassa-1'))
    assert store.get_or_create(key, b'first')[0].outcome == Unknown(
        Reason.key_memory_full
    )
    assert store.size < 5000


def test_a_handover_waits_for_the_runs() -> None:
    """A key that is in flight at the old home does not run at the new one."""

    async def job() -> None:
        world = KeyHomeSimulation()
        old, new, other = world.instances
        key = IdempotencyKey(old.info.incarnation, MAX_KEY_LIFE, 'nonce-0000')
        deadline = world.clock.elapsed() + MAX_KEY_LIFE
        work = Work('kassa', 'POST', '/', (), b'one', deadline, '', key)
        first = asyncio.create_task(old.dispatcher.run(work))
        await asyncio.sleep(0)
        old.stopping = True
        stop = asyncio.create_task(old.dispatcher.hand_over())
        for _ in range(20):
            await asyncio.sleep(0)
        again = asyncio.create_task(other.dispatcher.run(work))
        for _ in range(20):
            await asyncio.sleep(0)
        assert len(world.runs[key]) == 1
        world.runs[key][0].outcome.set_result(
            Answered(200, (), b'one', 'kassa-1')
        )
        assert await first == await again
        await stop
        old.ended.set()
        unsent = key._replace(nonce='nonce-0001')
        late = asyncio.create_task(
            other.dispatcher.run(work._replace(key=unsent))
        )
        for _ in range(40):
            await asyncio.sleep(0)
        world.runs[unsent][0].outcome.set_result(
            NotRun(Reason.upstream_refused)
        )
        assert await late == NotRun(Reason.upstream_refused)
        assert await other.dispatcher.run(work) == await first
        assert new.homes.find_store(key.home) is not None

    asyncio.run(job())
