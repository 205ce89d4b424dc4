"""Runs a caller's request at upstreams, and repeats it where that is safe."""

from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.protocol import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from lycheedyke.state import (
    Pick,
    RepeatBudget,
    RepeatTerms,
    Request,
    UpstreamChoice,
    WorkTimes,
    learn,
)
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.gateway._decisions import Instruments
from lycheedyke_daemon.gateway._exchange import UpstreamExchange
from lycheedyke_daemon.work import Work

HTTP_FAILURES = 500
MILLISECOND = timedelta(milliseconds=1)
# Sends that never reached an upstream are not attempts; this bounds them.
MOST_SENDS = 4
LEAST_RETRY_AFTER = timedelta(milliseconds=100)
MOST_RETRY_AFTER = timedelta(seconds=2)
# Nothing was sent, so the upstream got no attempt.
_NOT_SENT = frozenset((Reason.upstream_unreachable, Reason.quarantined))
_FINAL = frozenset((Reason.deadline_passed, Reason.quarantined))


class GatewayRouter:
    """Runs work at the upstream where it is expected to end first.

    Args:
        choice: compares the upstreams.
        times: learns how long requests run.
        exchange: sends to upstreams.
        guard: runs suspects alone.
        repeats: the bound on repeats.
        instruments: counts repeats by reason and tells of each attempt.
        instances: returns the most instances that share the budget.
    """

    def __init__(
        self,
        choice: UpstreamChoice,
        times: WorkTimes,
        exchange: UpstreamExchange,
        guard: CrashGuard,
        repeats: RepeatTerms,
        instruments: Instruments,
        *,
        instances: Callable[[], int],
    ) -> None:
        """Makes a router over the parts of one instance."""
        self._choice = choice
        self._times = times
        self._exchange = exchange
        self._guard = guard
        self._clock = instruments.clock
        self._counters = instruments.counters
        self._decisions = instruments.decisions
        self._instances = instances
        self._budgets: defaultdict[str, RepeatBudget] = defaultdict(
            lambda: RepeatBudget(repeats, instruments.clock),
        )

    def __repr__(self) -> str:
        """Returns the choice."""
        return f'<GatewayRouter with {self._choice!r}>'

    async def run(self, request: Request, work: Work) -> Outcome:
        """Returns the outcome of a request.

        Args:
            request: its route, service and object.
            work: what is sent; its deadline covers the route's timeout.
        """
        self._budgets[request.service].add_request()
        outcome: Outcome | None = None
        tried: set[str] = set()
        attempts = 0
        while attempts < request.route.attempts and len(tried) < MOST_SENDS:
            pick = self._pick(request, work, tried)
            if pick is None:
                break
            found = await self._attempt(request, pick, work)
            tried.add(pick.state.record.name)
            attempts += _is_sent(found)
            outcome = _combine(outcome, found)
            if not _may_repeat(work, found):
                break
        return outcome or self._refuse(request)

    def _pick(
        self,
        request: Request,
        work: Work,
        tried: set[str],
    ) -> Pick | None:
        """Returns where to send next; None if that is not worth it."""
        pick = self._choice.choose(request, tried)
        if pick is None or not self._ends_in_time(pick, work):
            return None
        if not tried:
            return pick
        if self._budgets[request.service].take(self._instances()):
            self._counters.count('repeat')
            return pick
        self._counters.count('repeat.no-budget')
        return None

    async def _attempt(
        self,
        request: Request,
        pick: Pick,
        work: Work,
    ) -> Outcome:
        state = pick.state
        self._choice.take_turn(state)
        state.start(request.thing)
        started = self._clock.elapsed()
        try:
            outcome = await self._guard.run(
                state.record.name,
                state.record.address,
                work,
                lambda: self._exchange.run(state, work),
            )
        finally:
            state.end()
        took = self._clock.elapsed() - started
        self._tell(pick, work, outcome, took)
        if isinstance(outcome, Answered) and outcome.status < HTTP_FAILURES:
            learn(self._times, request, pick, took)
        return outcome

    def _tell(
        self,
        pick: Pick,
        work: Work,
        outcome: Outcome,
        took: timedelta,
    ) -> None:
        record = pick.state.record
        self._decisions.write(
            'attempt ended',
            work.request_id,
            outcome,
            sent_to=record.name,
            upstream_zone=record.zone,
            expected_ms=pick.expected // MILLISECOND,
            took_ms=took // MILLISECOND,
            known=pick.known,
            load=round(pick.load, 1),
            slowness=round(pick.state.slowness, 2),
            time_left_ms=(work.deadline - self._clock.elapsed()) // MILLISECOND,
        )

    def _ends_in_time(self, pick: Pick, work: Work) -> bool:
        return self._clock.elapsed() + pick.expected < work.deadline

    def _refuse(self, request: Request) -> NotRun:
        pick = self._choice.choose(request)
        if pick is None:
            return NotRun(Reason.no_upstream, MOST_RETRY_AFTER / 4)
        wait = min(MOST_RETRY_AFTER, max(LEAST_RETRY_AFTER, pick.expected))
        return NotRun(Reason.no_room, wait)


def _is_sent(outcome: Outcome) -> bool:
    return not (isinstance(outcome, NotRun) and outcome.reason in _NOT_SENT)


def _combine(before: Outcome | None, outcome: Outcome) -> Outcome:
    """Returns what may be said after both: "not run" only if both say so."""
    if before is None or isinstance(before, NotRun):
        return outcome
    if isinstance(outcome, NotRun):
        return before
    return outcome


def _may_repeat(work: Work, outcome: Outcome) -> bool:
    match outcome:
        case Answered(status):
            return work.idempotent and status >= HTTP_FAILURES
        case NotRun(reason):
            return reason not in _FINAL
        case Unknown(reason):
            return work.idempotent and reason is not Reason.upstream_timeout
