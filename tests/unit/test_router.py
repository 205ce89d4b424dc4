"""Retries of the router stay within their budget; rerouting costs none."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import (
    Answered,
    InstanceInfo,
    NotRun,
    Outcome,
    Reason,
    Unknown,
    UpstreamLoad,
)
from lycheedyke.state import Counters
from lycheedyke.state._budgets import RETRY_FLOOR
from lycheedyke_daemon.placement import ClientLocation
from lycheedyke_daemon.routing import Router
from lycheedyke_daemon.routing_table import Target
from lycheedyke_daemon.work import Work
from standins.clock import ManualClock

OWN = InstanceInfo('norr-a-0', 'i' * 8, 'norr-a', 'norr', '', '', '')
UPSTREAMS = [f'kassa-{number}' for number in range(6)]
FAILURES = st.sampled_from(
    [
        NotRun(Reason.upstream_refused),
        NotRun(Reason.queue_full),
        Unknown(Reason.upstream_broke),
    ],
)


class _Runner:
    """A fake runner that fails on some upstreams, always in the same way."""

    def __init__(self, failures: dict[str, Outcome]) -> None:
        """Initializes the runner without runs."""
        self.runs: Counter[str] = Counter()
        self.full: set[str] = set()
        self._failures = failures

    async def run(self, upstream: str, work: Work) -> Outcome:
        """Returns the outcome on an upstream."""
        if work.may_wait or upstream not in self.full:
            self.runs[upstream] += 1
        else:
            return NotRun(Reason.no_room)
        return self._failures.get(upstream, Answered(200, (), b'', upstream))


def _route(
    runner: _Runner,
    share: float,
    methods: list[str],
    destination: str = 'norr',
) -> list[Outcome]:
    location = ClientLocation('10.0.0.0/24', 'norr')
    targets = {
        region: [
            Target(name, OWN, UpstreamLoad(name, 0, 0, 9)) for name in names
        ]
        for region, names in (('norr', UPSTREAMS), ('vast', ['away']))
    }
    clock = ManualClock()
    placement: Any = SimpleNamespace(
        locate=lambda client: location,
        destination=lambda service, found: destination,
        refuse=lambda service, found: NotRun(Reason.no_upstream),
    )
    table: Any = SimpleNamespace(
        targets=lambda service, region: targets[region],
        retry_share=lambda service: share,
    )
    fake: Any = runner
    router = Router(
        OWN,
        placement,
        table,
        fake,
        fake,
        clock,
        Counters(),
    )

    async def run_all() -> list[Outcome]:
        deadline = clock.elapsed() * 2
        return [
            await router.run(
                Work('kassa', method, '/', (), b'', deadline, ''),
            )
            for method in methods
        ]

    return asyncio.run(run_all())


@given(FAILURES, st.floats(0, 0.5), st.integers(1, 200))
def test_failing_third_does_not_amplify(
    failure: Outcome,
    share: float,
    first_attempts: int,
) -> None:
    """There are no more attempts than the retry budget allows."""
    runner = _Runner(dict.fromkeys(UPSTREAMS[:2], failure))
    _route(runner, share, ['GET'] * first_attempts)
    attempts = sum(runner.runs.values())
    assert (
        attempts <= first_attempts + share * first_attempts + RETRY_FLOOR + 1e-6
    )


@given(st.lists(st.sampled_from(['GET', 'POST']), max_size=50))
def test_work_that_may_have_run_is_not_repeated(methods: list[str]) -> None:
    """Only idempotent work is retried after an unknown outcome."""
    failure = Unknown(Reason.upstream_broke)
    runner = _Runner(dict.fromkeys(UPSTREAMS, failure))
    outcomes = _route(runner, 0, methods)
    retried = min(RETRY_FLOOR, 2 * methods.count('GET'))
    assert outcomes == [failure] * len(methods)
    assert sum(runner.runs.values()) == len(methods) + retried


def test_leaving_upstreams_cost_no_retries() -> None:
    """Work refused by a leaving upstream runs elsewhere without a retry."""
    leaving = NotRun(Reason.upstream_leaving)
    runner = _Runner(dict.fromkeys(UPSTREAMS[:5], leaving))
    outcomes = _route(runner, 0, ['GET', 'POST'] * 20)
    assert {type(outcome) for outcome in outcomes} == {Answered}


def test_work_above_the_owners_share_runs_at_home() -> None:
    """Work that is refused by the cap of a shift runs in its home region."""
    runner = _Runner({'away': NotRun(Reason.shift_cap)})
    outcomes = _route(runner, 0, ['GET', 'POST'] * 20, destination='vast')
    assert {type(outcome) for outcome in outcomes} == {Answered}
    assert runner.runs['away'] == len(outcomes)


def test_work_waits_only_where_no_slot_is_found() -> None:
    """A free upstream is found among busy ones without a retry token."""
    runner = _Runner({})
    runner.full = set(UPSTREAMS[:2])
    outcomes = _route(runner, 0, ['GET', 'POST'] * 20)
    assert {type(outcome) for outcome in outcomes} == {Answered}
    assert not runner.full & runner.runs.keys()
    runner.full = set(UPSTREAMS)
    outcomes = _route(runner, 0, ['GET', 'POST'] * 20)
    assert {type(outcome) for outcome in outcomes} == {Answered}
