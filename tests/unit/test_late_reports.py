"""Requests wait for their trial, whatever reports are on their way."""

import asyncio
import contextlib
from datetime import timedelta

import pytest

from lycheedyke.protocol import Answered, NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Verdict
from lycheedyke_daemon import crashes
from lycheedyke_daemon.work import Work
from standins.convictions import LONG_PAUSE_S, PAUSE_S
from standins.guarded_instances import (
    DELAY_SECONDS,
    GuardedInstance,
    connect,
    run_guarded,
)
from standins.virtual_time import run_in_virtual_time

ANSWER = Answered(200, (), b'', 'kassa-1')
BROKE = Unknown(Reason.upstream_broke)
POISON = b'poison'
VICTIM = b'victim'
CRASH_SECONDS = 0.005
RUN_SECONDS = 0.01
# The reports of soak seed 17 came up to 41 ms after the verdict.
LATE_SECONDS = 0.041
# No request waits longer for its trial.
MAX_WAIT_SECONDS = 2.0


def _make_work(body: bytes) -> Work:
    """Returns a request that differs from others by its body."""
    return Work('kassa', 'POST', '/', (), body, timedelta(), '')


class _Upstreams:
    """Upstreams that crash on the body `poison`, and log what they ran."""

    def __init__(self) -> None:
        self.ran: list[tuple[str, bytes]] = []
        self._crashed: dict[str, asyncio.Event] = {}

    async def run(self, name: str, body: bytes) -> Outcome:
        """Runs a request; a crash breaks all exchanges with the upstream."""
        self.ran.append((name, body))
        crashed = self._crashed.setdefault(name, asyncio.Event())
        if body == POISON:
            await asyncio.sleep(CRASH_SECONDS)
            crashed.set()
        try:
            async with asyncio.timeout(RUN_SECONDS):
                await crashed.wait()
        except TimeoutError:
            return ANSWER
        return BROKE

    def crash(self, name: str) -> None:
        """Crashes an upstream."""
        self._crashed.setdefault(name, asyncio.Event()).set()

    async def is_dead(self, name: str) -> bool:
        """Probes an upstream."""
        await asyncio.sleep(crashes.PROBE_DELAY.total_seconds())
        return self._crashed[name].is_set()


class _Testbed:
    """Three instances; the second one sends the victim, the first the cause."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.upstreams = _Upstreams()
        self.instances = [GuardedInstance() for _ in range(3)]
        connect(self.instances)
        monkeypatch.setattr(crashes, '_is_dead', self.upstreams.is_dead)

    async def send(self, at: int, name: str, body: bytes) -> Outcome:
        """Sends a request to an upstream through one of the instances."""
        return await run_guarded(
            self.instances[at].guard,
            name,
            _make_work(body),
            lambda: self.upstreams.run(name, body),
        )

    async def meet(self, name: str) -> None:
        """Ends an upstream; returns once the victim's instance knows it."""
        cause = asyncio.create_task(self.send(0, name, POISON))
        assert await self.send(1, name, VICTIM) == BROKE
        if self.instances[0].delay == DELAY_SECONDS:
            assert await cause == BROKE


@pytest.fixture(name='testbed')
def _make_testbed(monkeypatch: pytest.MonkeyPatch) -> _Testbed:
    return _Testbed(monkeypatch)


# Guards against a sound request that is refused as quarantined while the
# report of the request that caused its crashes is on its way.
@pytest.mark.parametrize('sender', [1, 2])
def test_a_late_report_of_the_cause_refuses_no_victim(
    testbed: _Testbed, sender: int
) -> None:
    """Neither at the instance of the victim, nor at one without a crash."""

    async def _scene() -> None:
        cause, *_ = testbed.instances
        await testbed.meet('a')
        cause.delay = LATE_SECONDS
        await testbed.meet('b')
        assert await testbed.send(sender, 'c', VICTIM) == ANSWER
        # The answer leaves the other one on probation.
        assert await testbed.send(sender, 'd', POISON) == BROKE
        assert _is_refused(await testbed.send(sender, 'e', POISON))
        assert ('e', POISON) not in testbed.upstreams.ran

    run_in_virtual_time(_scene())


# Guards against further upstreams that a crashing request ends, and against
# others that wait, while its trial is awaited.
def test_equal_requests_have_one_trial_and_block_nobody(
    testbed: _Testbed,
) -> None:
    """One of them runs, at one of all instances; others run meanwhile."""

    async def _scene() -> None:
        loop = asyncio.get_running_loop()
        for name in ('a', 'b'):
            await testbed.send(0, name, POISON)
        known = loop.time()
        waiting = [
            asyncio.create_task(testbed.send(at, 'c', POISON))
            for at in range(3)
        ]
        await asyncio.sleep(RUN_SECONDS)
        for at in range(3):
            assert await testbed.send(at, 'c', b'other') == ANSWER
        assert not any(each.done() for each in waiting)
        outcomes = await asyncio.gather(*waiting)
        assert outcomes.count(BROKE) == 1
        assert sum(map(_is_refused, outcomes)) == 2
        assert loop.time() < known + MAX_WAIT_SECONDS
        assert testbed.upstreams.ran.count(('c', POISON)) == 1
        await asyncio.sleep(LONG_PAUSE_S)
        waiting = [
            asyncio.create_task(testbed.send(at % 3, 'd', POISON))
            for at in range(6)
        ]
        outcomes = await asyncio.gather(*waiting)
        assert outcomes.count(BROKE) == 1
        assert sum(map(_is_refused, outcomes)) == 5
        for each in testbed.instances:
            assert each.suspects.settled()

    run_in_virtual_time(_scene())


# Guards against a waiting request that outstays its own deadline, or that is
# not told when to come back.
def test_the_wait_for_a_trial_ends_with_its_time(
    testbed: _Testbed,
) -> None:
    """It is refused at once if its time ends before the pause."""

    async def _scene() -> None:
        loop = asyncio.get_running_loop()
        guard = testbed.instances[0].guard
        for name in ('a', 'b'):
            await testbed.send(0, name, POISON)
        started = loop.time()
        left = timedelta(seconds=LATE_SECONDS)
        async with guard.admit(_make_work(b'other'), left) as admission:
            assert admission.refusal is None
        async with guard.admit(_make_work(POISON), left) as admission:
            assert admission.refusal is not None
            back = admission.refusal.retry_after.total_seconds()
        assert loop.time() == started
        assert LATE_SECONDS < back <= PAUSE_S
        left = timedelta(seconds=10)
        async with guard.admit(_make_work(POISON), left) as admission:
            assert admission.refusal is None
        assert loop.time() < started + MAX_WAIT_SECONDS
        fingerprint = _make_work(POISON).repeat_fingerprint().hex()
        suspects = testbed.instances[0].suspects
        assert suspects.judge(fingerprint) is Verdict.probation

    run_in_virtual_time(_scene())


# Guards against sound requests that are refused because the caller of the one
# that had the trial has left (soak seed 421).
def test_a_trial_whose_caller_left_soon_ends(
    testbed: _Testbed,
) -> None:
    """Others wait until its upstream has dropped it, and not longer."""

    async def _scene() -> None:
        _put_on_probation(testbed, VICTIM)
        await asyncio.sleep(PAUSE_S)
        left = asyncio.create_task(testbed.send(1, 'c', VICTIM))
        await asyncio.sleep(RUN_SECONDS / 2)
        left.cancel()
        await asyncio.wait([left])
        assert await testbed.send(2, 'c', VICTIM) == ANSWER

    run_in_virtual_time(_scene())


# Guards against a request whose callers leave, or whose time ends, before it has
# crashed its upstream, so that no crash of a trial is ever noticed.
@pytest.mark.parametrize('has_left', [True, False])
def test_the_crash_of_a_trial_counts_though_it_was_given_up(
    testbed: _Testbed, *, has_left: bool
) -> None:
    """Its upstream is probed all the same."""

    async def _give_up() -> None:
        guard = testbed.instances[1].guard
        work = _make_work(POISON)
        async with guard.admit(work, timedelta(seconds=2)) as admission:
            run = guard.run(
                'c',
                'c',
                admission,
                lambda: testbed.upstreams.run('c', POISON),
            )
            try:
                await asyncio.wait_for(run, CRASH_SECONDS / 2)
            except TimeoutError:
                if has_left:
                    raise

    async def _scene() -> None:
        _put_on_probation(testbed, POISON)
        await asyncio.sleep(PAUSE_S)
        with contextlib.suppress(TimeoutError):
            await _give_up()
        testbed.upstreams.crash('c')
        await asyncio.sleep(1)
        fingerprint = _make_work(POISON).repeat_fingerprint().hex()
        for each in testbed.instances:
            assert len(each.suspects.describe(fingerprint).trials) == 1

    run_in_virtual_time(_scene())


# Guards against a request that can't run again because an instance ended while
# it had its trial.
def test_a_trial_whose_end_is_never_told_ends_with_its_time(
    testbed: _Testbed,
) -> None:
    """Another one is granted after the time that it had."""

    async def _scene() -> None:
        _put_on_probation(testbed, VICTIM)
        await asyncio.sleep(PAUSE_S)
        lost = testbed.instances[1].guard
        left = timedelta(seconds=3)
        async with lost.admit(_make_work(VICTIM), left) as admission:
            assert admission.trial.is_granted
            # The instance ends here.
            admission.trial.fingerprint = ''
        assert _is_refused(await testbed.send(2, 'c', VICTIM))
        await asyncio.sleep(1)
        assert await testbed.send(2, 'c', VICTIM) == ANSWER

    run_in_virtual_time(_scene())


# Guards against a sound request whose later runs all count as trials, since a
# trial has cleared it at another instance.
def test_a_request_that_a_trial_has_cleared_is_on_probation_nowhere(
    testbed: _Testbed,
) -> None:
    """An instance learns of it as it asks for a trial."""

    async def _scene() -> None:
        fingerprint = _make_work(VICTIM).repeat_fingerprint().hex()
        for at, each in enumerate(testbed.instances):
            each.suspects.record_crash([fingerprint], f'a{at}')
            each.suspects.record_crash([fingerprint], f'b{at}')
        await asyncio.sleep(PAUSE_S)
        assert await testbed.send(1, 'c', VICTIM) == ANSWER
        await asyncio.sleep(LATE_SECONDS)
        last = testbed.instances[2]
        assert last.suspects.judge(fingerprint) is Verdict.probation
        left = timedelta(seconds=1)
        async with last.guard.admit(_make_work(VICTIM), left) as admission:
            assert admission.refusal is None
            assert not admission.trial.is_granted
        assert last.suspects.judge(fingerprint) is Verdict.clear

    run_in_virtual_time(_scene())


def _put_on_probation(testbed: _Testbed, body: bytes) -> None:
    fingerprint = _make_work(body).repeat_fingerprint().hex()
    for each in testbed.instances:
        for name in ('a', 'b'):
            each.suspects.record_crash([fingerprint], name)


def _is_refused(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and (
        outcome.reason is Reason.quarantined
    )
