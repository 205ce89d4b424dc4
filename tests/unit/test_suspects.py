"""Tests that requests which crash upstreams are quarantined, and no others."""

import asyncio
from datetime import timedelta
from typing import Any

import pytest

from lycheedyke.protocol import Answered, NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Suspect, Suspects, Verdict
from lycheedyke_daemon import crashes
from lycheedyke_daemon.work import Work
from standins.clock import ManualClock
from standins.convictions import convict
from standins.guarded_instances import make_lone_guard, run_guarded
from standins.virtual_time import LoopClock, run_in_virtual_time

ANSWER = Answered(200, (), b'', 'kassa-1')
BROKE = Unknown(Reason.upstream_broke)
REPORT_SECONDS = 0.02


class _Testbed:
    """A crash guard with fake upstreams, which crash on the body `poison`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspects = Suspects(LoopClock())
        self.guard = make_lone_guard(self.suspects, self._report)
        self.down: set[str] = set()
        self.reports = 0
        self.reported: set[str] = set()
        self.concurrent: list[frozenset[bytes]] = []
        self._in_flight: dict[str, set[bytes]] = {}
        monkeypatch.setattr(crashes, '_is_dead', self._is_dead)

    async def _report(self) -> None:
        """Takes some time, like a report to many peers."""
        reported = {each.fingerprint for each in self.suspects.list()}
        self.reports += 1
        await asyncio.sleep(REPORT_SECONDS)
        self.reported |= reported

    async def _is_dead(self, address: str) -> bool:
        await asyncio.sleep(crashes.PROBE_DELAY.total_seconds())
        return address in self.down

    async def run(self, name: str, body: bytes) -> Outcome:
        work = Work('kassa', 'POST', '/', (), body, timedelta(), '')

        async def send() -> Outcome:
            in_flight = self._in_flight.setdefault(name, set())
            in_flight.add(body)
            self.concurrent.append(frozenset(in_flight))
            await asyncio.sleep(0.001 if body == b'poison' else 0.01)
            in_flight.discard(body)
            if body == b'poison':
                self.down.add(name)
            return BROKE if name in self.down else ANSWER

        return await run_guarded(self.guard, name, work, send)


def test_a_failing_zone_sends_few_reports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a report to each peer for each exchange that broke.

    Instances of a zone that lost its upstreams were busy with them for
    seconds, and sent requests by old news meanwhile.
    """
    testbed = _Testbed(monkeypatch)

    async def scenario() -> None:
        names = [f'kassa-{at}' for at in range(40)]
        testbed.down.update(names)
        outcomes = await asyncio.gather(
            *(testbed.run(name, name.encode()) for name in names * 5)
        )
        assert outcomes == [BROKE] * 200
        assert not testbed.suspects.list()

    run_in_virtual_time(scenario())
    assert testbed.reports <= 2


def test_a_crash_is_reported_before_its_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A report that started before the crash does not count for it."""
    testbed = _Testbed(monkeypatch)

    async def run(at: int) -> bool:
        await asyncio.sleep(at * REPORT_SECONDS / 5)
        name = f'kassa-{at % 3}'
        testbed.down.add(name)
        work = Work('kassa', 'POST', '/', (), b'%d' % at, timedelta(), '')
        assert await testbed.run(name, b'%d' % at) == BROKE
        return work.repeat_fingerprint().hex() in testbed.reported

    async def scenario() -> None:
        assert all(await asyncio.gather(*map(run, range(20))))

    run_in_virtual_time(scenario())
    assert testbed.reports < 20


def test_others_in_flight_are_not_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only the request that caused three crashes is refused."""
    testbed = _Testbed(monkeypatch)

    async def scenario() -> None:
        bodies = [b'one', b'two', b'poison']
        first = await asyncio.gather(
            *(testbed.run('a', body) for body in bodies)
        )
        assert first == [BROKE] * 3
        assert len(testbed.suspects.list()) == 3
        testbed.concurrent.clear()
        second = await asyncio.gather(
            *(testbed.run('b', body) for body in bodies)
        )
        assert second == [ANSWER, ANSWER, BROKE]
        assert all(len(in_flight) == 1 for in_flight in testbed.concurrent)
        assert len(testbed.suspects.list()) == 1
        third = await asyncio.gather(
            *(testbed.run('c', body) for body in bodies)
        )
        # The last one ran once more, as a trial.
        assert third == [ANSWER, ANSWER, BROKE]
        *answers, refused = await asyncio.gather(
            *(testbed.run('d', body) for body in bodies)
        )
        assert answers == [ANSWER, ANSWER]
        assert isinstance(refused, NotRun)
        assert refused.reason is Reason.quarantined
        assert testbed.down == {'a', 'b', 'c'}

    run_in_virtual_time(scenario())


def test_a_lost_answer_makes_no_suspect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A broken exchange is not a crash if the upstream still listens."""
    testbed = _Testbed(monkeypatch)

    async def report_running(*_: Any) -> bool:
        return False

    monkeypatch.setattr(crashes, '_is_dead', report_running)

    async def scenario() -> None:
        assert await testbed.run('a', b'poison') == BROKE
        assert not testbed.suspects.list()

    run_in_virtual_time(scenario())


def test_a_failing_zone_condemns_nothing() -> None:
    """Requests run at once, and need not be alone at their upstreams."""
    clock = ManualClock()
    suspects, peer = Suspects(clock), Suspects(clock)
    for number in range(5):
        suspects.record_crash(
            [f'request {number}', 'common'], f'upstream {number}'
        )
        peer.merge([Suspect('common', (f'upstream {number}',), 10_000, (0,))])
    for known in (suspects, peer):
        assert known.judge('common') is Verdict.probation
        assert not known.trial_pause('common')
        assert not known.is_isolated('common')
        assert not known.list()
    assert suspects.judge('request 0') is Verdict.clear


def test_suspects_expire_are_bounded_and_can_be_cleared() -> None:
    """Suspects are dropped on expiry, by an operator, and above the limit."""
    clock = ManualClock()
    suspects = Suspects(clock)
    convict(suspects, clock, 'crashing')
    suspects.record_crash([f'other {number}' for number in range(999)], 'c')
    assert len(suspects) == 256
    assert suspects.judge('crashing') is Verdict.quarantined
    reported = suspects.list()
    assert suspects.clear(['crashing']) == 1
    assert suspects.judge('crashing') is Verdict.clear
    suspects.merge(reported)
    assert suspects.judge('crashing') is Verdict.clear
    clock.advance(600)
    assert not suspects.list()
