"""Trials of several lost upstreams."""

import asyncio
import random
from datetime import timedelta

import pytest

from lycheedyke.state import (
    Counters,
    LossReason,
    Suspects,
    UpstreamState,
    UpstreamTable,
)
from lycheedyke_daemon.gateway import _lost_upstreams
from lycheedyke_daemon.gateway._lost_upstreams import (
    HASTENED_WITHIN_SECONDS,
    TRIAL_INTERVAL,
    LostUpstreams,
)
from lycheedyke_daemon.gateway._registry_view import RegistryView
from standins.clock import ManualClock
from standins.records import make_upstream

AWAY_SECONDS = 12
# A pause is at most as long as the time before it, and a quarter more.
LONGEST_PAUSE = timedelta(seconds=AWAY_SECONDS * 1.25)
# Of one upstream in that time, as if it alone were lost.
MAX_TRIALS = 4


class _Scene:
    """Upstreams whose addresses accept connections, beside sound ones."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
        monkeypatch.setattr(random, 'uniform', random.Random(seed).uniform)
        monkeypatch.setattr(_lost_upstreams, 'probe', self._accept)
        self.clock = ManualClock()
        self.table = UpstreamTable(self.clock)
        for name in ('a', 'b', 'sound'):
            self.table.apply(make_upstream(name))
        counters = Counters()
        view = RegistryView(
            self.table, Suspects(self.clock), counters, self.clock
        )
        self.lost = LostUpstreams(self.table, view, counters, self.clock)
        self.trials = 0

    def find(self, name: str) -> UpstreamState:
        state = self.table.find(name)
        assert state is not None
        return state

    async def pass_interval(self) -> None:
        """Makes the trials that are due after one interval."""
        self.clock.advance(TRIAL_INTERVAL.total_seconds())
        await self.lost.try_due()

    async def _accept(self, address: str, timeout: timedelta) -> None:
        self.trials += 1


# Guards against replaced upstreams that bring each other's trials forward, each
# of which makes the next pauses longer.
@pytest.mark.parametrize('seed', range(20))
def test_replaced_upstreams_do_not_hasten_each_other(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Other upstreams accept the connections, and answer requests with 421."""

    async def _check() -> None:
        scene = _Scene(monkeypatch, seed)
        states = [scene.find('a'), scene.find('b')]
        for _ in range(round(AWAY_SECONDS / TRIAL_INTERVAL.total_seconds())):
            for state in states:
                state.mark_lost(LossReason.replaced)
            await scene.pass_interval()
        for state in states:
            state.mark_lost(LossReason.replaced)
            assert state.loss is not None
            pause = state.loss.retry_at - scene.clock.elapsed()
            assert pause <= LONGEST_PAUSE
        assert scene.trials <= 2 * MAX_TRIALS

    asyncio.run(_check())


@pytest.mark.parametrize('seed', range(5))
def test_an_upstream_that_answers_hastens_the_others(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """They may be back as well; a connection alone does not tell that."""

    async def _check() -> None:
        scene = _Scene(monkeypatch, seed)
        first, second = scene.find('a'), scene.find('b')
        for _ in range(5):
            second.mark_lost(LossReason.refused)
            second.end_loss(timedelta())
        second.mark_lost(LossReason.refused)
        first.mark_lost(LossReason.refused)
        while first.is_lost:
            await scene.pass_interval()
        assert second.loss is not None
        planned = second.loss.retry_at
        await scene.pass_interval()
        assert second.loss.retry_at == planned
        first.record_identity()
        await scene.pass_interval()
        assert second.loss is not None
        wait = second.loss.retry_at - scene.clock.elapsed()
        assert wait <= timedelta(seconds=HASTENED_WITHIN_SECONDS)

    asyncio.run(_check())
