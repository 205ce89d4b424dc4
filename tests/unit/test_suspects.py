"""Suspects run alone; those that crash upstreams are refused, others not."""

import asyncio
from datetime import timedelta
from typing import Any

import pytest

from lycheedyke.protocol import Answered, NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Counters, Suspect, Suspects, Verdict
from lycheedyke_daemon import crashes
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.work import Work
from standins.clock import ManualClock

ANSWER = Answered(200, (), b'', 'kassa-1')
BROKE = Unknown(Reason.upstream_broke)


class Zone:
    """A guard over fake upstreams; bodies `poison` take them down."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspects = Suspects(ManualClock())
        self.guard = CrashGuard(self.suspects, self._report, Counters())
        self.down: set[str] = set()
        self.together: list[frozenset[bytes]] = []
        self._in_flight: dict[str, set[bytes]] = {}
        monkeypatch.setattr(crashes, '_is_dead', self._is_dead)

    async def _report(self) -> None:
        """There are no peers."""

    async def _is_dead(self, address: str) -> bool:
        return address in self.down

    async def run(self, name: str, body: bytes) -> Outcome:
        work = Work('kassa', 'POST', '/', (), body, timedelta(), '')

        async def send() -> Outcome:
            flying = self._in_flight.setdefault(name, set())
            flying.add(body)
            self.together.append(frozenset(flying))
            await asyncio.sleep(0.001 if body == b'poison' else 0.01)
            flying.discard(body)
            if body == b'poison':
                self.down.add(name)
            return BROKE if name in self.down else ANSWER

        return await self.guard.run(name, name, work, send)


def test_others_in_flight_are_not_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two upstreams are lost, the crashing request is refused, the others get through."""
    zone = Zone(monkeypatch)

    async def job() -> None:
        bodies = [b'one', b'two', b'poison']
        first = await asyncio.gather(*(zone.run('a', body) for body in bodies))
        assert first == [BROKE] * 3
        assert len(zone.suspects.list()) == 3
        zone.together.clear()
        second = await asyncio.gather(*(zone.run('b', body) for body in bodies))
        assert second == [ANSWER, ANSWER, BROKE]
        assert all(len(flying) == 1 for flying in zone.together)
        assert len(zone.suspects.list()) == 1
        third = await asyncio.gather(*(zone.run('c', body) for body in bodies))
        assert third == [ANSWER, ANSWER, NotRun(Reason.quarantined)]
        assert zone.down == {'a', 'b'}

    asyncio.run(job())


def test_a_lost_answer_makes_no_suspect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A broken exchange with an upstream that still listens is no crash."""
    zone = Zone(monkeypatch)

    async def job(*_: Any) -> bool:
        return False

    monkeypatch.setattr(crashes, '_is_dead', job)
    assert asyncio.run(zone.run('a', b'poison')) == BROKE
    assert not zone.suspects.list()


def test_a_failing_zone_condemns_nothing() -> None:
    """More upstreams lost at once than one request can take clear all."""
    clock = ManualClock()
    suspects, peer = Suspects(clock), Suspects(clock)
    for number in range(5):
        suspects.record_crash(
            [f'request {number}', 'common'], f'upstream {number}'
        )
        peer.merge([Suspect('common', (f'upstream {number}',), 10_000)])
    for known in (suspects, peer):
        assert known.judge('common') is Verdict.clear
        assert not known.list()


def test_suspects_expire_are_bounded_and_can_be_cleared() -> None:
    """The record forgets in time, at an operator's word, and when full."""
    clock = ManualClock()
    suspects = Suspects(clock)
    suspects.record_crash(['crashing'], 'a')
    suspects.record_crash(['crashing'], 'b')
    suspects.record_crash([f'other {number}' for number in range(999)], 'c')
    assert len(suspects) == 256
    assert suspects.judge('crashing') is Verdict.quarantined
    told = suspects.list()
    assert suspects.clear(['crashing']) == 1
    assert suspects.judge('crashing') is Verdict.clear
    suspects.merge(told)
    assert suspects.judge('crashing') is Verdict.clear
    clock.pass_time(600)
    assert not suspects.list()
