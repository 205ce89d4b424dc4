"""A sound request whose upstreams crash for other reasons is served."""

import asyncio
import random
from datetime import timedelta

import pytest

from lycheedyke.protocol import Answered, NotRun, Outcome, Reason, Unknown
from lycheedyke_daemon import crashes
from lycheedyke_daemon.work import Work
from standins.guarded_instances import GuardedInstance, connect
from standins.virtual_time import run_in_virtual_time

ANSWER = Answered(200, (), b'', 'kassa-1')
BROKE = Unknown(Reason.upstream_broke)
INSTANCES = 6
SENT_EVERY_S = 0.3
DURATION_S = 60.0
RUN_S = 0.1
LEFT = timedelta(seconds=1.2)


async def _send_for_a_minute(
    rng: random.Random, crash_odds: float
) -> list[Outcome]:
    """Sends one request through all instances; returns its outcomes."""
    instances = [GuardedInstance() for _ in range(INSTANCES)]
    connect(instances)
    outcomes: list[Outcome] = []
    work = Work('kassa', 'GET', '/cups/7', (), b'', timedelta(), '')

    async def _run() -> Outcome:
        await asyncio.sleep(RUN_S)
        return BROKE if rng.random() < crash_odds else ANSWER

    async def _send(number: int) -> None:
        guard = rng.choice(instances).guard
        async with guard.admit(work, LEFT) as admission:
            outcome: Outcome | None = admission.refusal
            if outcome is None:
                name = f'kassa-{number}'
                outcome = await guard.run(name, name, admission, _run)
        outcomes.append(outcome)

    sent = []
    for number in range(int(DURATION_S / SENT_EVERY_S)):
        sent.append(asyncio.create_task(_send(number)))
        await asyncio.sleep(SENT_EVERY_S)
    await asyncio.gather(*sent)
    return outcomes


# Guards against a sound request that is refused for minutes, because upstreams
# crashed twice in a row while it was the only request there.
@pytest.mark.parametrize('seed', range(20))
def test_a_sound_request_beside_crashes_by_chance_is_not_refused(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """One of fifty runs meets a crash; the others are answered."""

    async def _is_dead(address: str) -> bool:
        await asyncio.sleep(crashes.PROBE_DELAY.total_seconds())
        return True

    monkeypatch.setattr(crashes, '_is_dead', _is_dead)

    async def _scene() -> None:
        outcomes = await _send_for_a_minute(random.Random(seed), 0.02)
        refused = [each for each in outcomes if isinstance(each, NotRun)]
        assert not refused

    run_in_virtual_time(_scene())
