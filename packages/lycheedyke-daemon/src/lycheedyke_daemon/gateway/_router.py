"""Runs a caller's request at upstreams, and repeats it where that is safe."""

import asyncio
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
    Candidate,
    RepeatBudget,
    RepeatLimit,
    Request,
    RunTimeStats,
    UpstreamSelector,
    UpstreamState,
    estimate_retry_after,
    is_admissible,
    record_run_time,
    response_timeout,
)
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.gateway._decision_log import Telemetry
from lycheedyke_daemon.gateway._upstream_client import UpstreamClient
from lycheedyke_daemon.work import Work

HTTP_FAILURES = 500
GUARD_MARGIN = timedelta(milliseconds=100)
MILLISECOND = timedelta(milliseconds=1)
# Sends that never reached an upstream are not attempts; this bounds them.
MOST_SENDS = 4
# Nothing was sent, so the upstream got no attempt.
_NOT_SENT = frozenset((Reason.upstream_unreachable, Reason.quarantined))
_FINAL = frozenset((Reason.deadline_passed, Reason.quarantined))


class _Story:
    """What has become of a request so far."""

    def __init__(self, started: timedelta) -> None:
        self.started = started
        self.tried: set[str] = set()
        self.attempts = 0
        self.outcome: Outcome | None = None
        self.pick: Candidate | None = None

    def add(self, upstream: str, outcome: Outcome) -> None:
        """Takes in the outcome at one upstream.

        Only if all say so, the request has not run.
        """
        self.tried.add(upstream)
        if not _is_not_sent(outcome):
            self.attempts += 1
        if not isinstance(outcome, NotRun) or self.outcome is None:
            self.outcome = outcome


class GatewayRouter:
    """Runs work at the upstream where it is expected to end first.

    Args:
        choice: compares the upstreams.
        times: learns how long requests run.
        exchange: sends to upstreams.
        guard: runs suspects alone.
        repeats: the bound on repeats.
        instruments: counts repeats by reason and tells of each attempt.
        max_instances: returns the most instances that share the budget.
    """

    def __init__(
        self,
        choice: UpstreamSelector,
        times: RunTimeStats,
        exchange: UpstreamClient,
        guard: CrashGuard,
        repeats: RepeatLimit,
        instruments: Telemetry,
        *,
        max_instances: Callable[[], int],
    ) -> None:
        """Makes a router over the parts of one instance."""
        self._choice = choice
        self._times = times
        self._exchange = exchange
        self._guard = guard
        self._clock = instruments.clock
        self._counters = instruments.counters
        self._decisions = instruments.decision_log
        self._instances = max_instances
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
        story = _Story(self._clock.elapsed())
        while pick := self._next(request, work, story):
            patience = self._time_to_give_up(request, pick, work, story)
            outcome = await self._attempt(request, pick, work, patience)
            story.add(pick.state.record.name, outcome)
            if not _may_repeat(work, outcome):
                break
        if story.outcome is None or isinstance(story.outcome, NotRun):
            # Without a send the last choice was among all upstreams.
            pick = self._choice.choose(request) if story.tried else story.pick
            return self._refuse(request, work, pick, story.outcome)
        return story.outcome

    def _next(
        self,
        request: Request,
        work: Work,
        story: _Story,
    ) -> Candidate | None:
        """Returns where to send next; None if it is sent no more."""
        is_used_up = story.attempts >= request.route.attempts
        if is_used_up or len(story.tried) >= MOST_SENDS:
            return None
        pick = self._choice.choose(request, story.tried)
        story.pick = pick
        if pick is None:
            return None
        if not self._is_let_in(request, pick, work, story.started):
            return None
        if story.tried and not self._may_repeat_now(request):
            return None
        return pick

    def _is_let_in(
        self,
        request: Request,
        pick: Candidate,
        work: Work,
        started: timedelta,
    ) -> bool:
        now = self._clock.elapsed()
        ends_in_time = now + pick.expected < work.deadline
        return ends_in_time and is_admissible(request, pick, now - started)

    def _may_repeat_now(self, request: Request) -> bool:
        if self._budgets[request.service].acquire(self._instances()):
            self._counters.count('repeat')
            return True
        self._counters.count('repeat.no-budget')
        return False

    async def _attempt(
        self,
        request: Request,
        pick: Candidate,
        work: Work,
        patience: timedelta | None,
    ) -> Outcome:
        state = pick.state
        self._choice.acquire_permit(state)
        state.begin_request(request.object_key)
        started = self._clock.elapsed()
        try:
            outcome = await self._run_guarded(state, work, patience)
        finally:
            state.end_request()
        took = self._clock.elapsed() - started
        self._tell(pick, work, outcome, took)
        if isinstance(outcome, Answered) and outcome.status < HTTP_FAILURES:
            record_run_time(self._times, request, pick, took)
        return outcome

    def _time_to_give_up(
        self,
        request: Request,
        pick: Candidate,
        work: Work,
        story: _Story,
    ) -> timedelta | None:
        """Returns how long a silent upstream is waited for, None to the end."""
        if not work.idempotent or story.attempts + 1 >= request.route.attempts:
            return None
        if not self._budgets[request.service].remaining(self._instances()):
            return None
        left = work.deadline - self._clock.elapsed()
        return response_timeout(request, pick, self._times, left)

    async def _run_guarded(
        self,
        state: UpstreamState,
        work: Work,
        patience: timedelta | None,
    ) -> Outcome:
        """Returns the outcome, also where the guard lets nobody in in time.

        The exchange ends by itself at the deadline; this bounds the wait
        before it, in which a suspect is kept until it can run alone, and the
        wait for an upstream that answers nothing.
        """
        started = self._clock.elapsed()
        left = work.deadline - started + GUARD_MARGIN
        watch: asyncio.TimerHandle | None = None
        reason = Reason.upstream_timeout
        try:
            async with asyncio.timeout(left.total_seconds()) as timer:
                if patience is not None:
                    watch = asyncio.get_running_loop().call_later(
                        patience.total_seconds(),
                        _end_if_silent,
                        timer,
                        state,
                        started,
                    )
                return await self._guard.run(
                    state.record.name,
                    state.record.address,
                    work,
                    lambda: self._exchange.run(state, work),
                )
        except TimeoutError:
            if self._clock.elapsed() < work.deadline:
                state.record_failure()
                reason = Reason.upstream_silent
            return Unknown(reason)
        finally:
            if watch is not None:
                watch.cancel()

    def _tell(
        self,
        pick: Candidate,
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

    def _refuse(
        self,
        request: Request,
        work: Work,
        pick: Candidate | None,
        outcome: NotRun | None,
    ) -> NotRun:
        """Returns the refusal, with a time at which there may be room."""
        reason = Reason.no_upstream if pick is None else Reason.no_room
        if outcome is not None:
            reason = outcome.reason
        refusal = NotRun(reason, estimate_retry_after(request, pick))
        if pick is not None:
            self._decisions.write(
                'request refused',
                work.request_id,
                refusal,
                best=pick.state.record.name,
                load=round(pick.load, 1),
                slots=pick.state.record.slots,
                wait_ms=pick.wait // MILLISECOND,
                run_ms=pick.run // MILLISECOND,
                trip_ms=pick.round_trip // MILLISECOND,
                goal_ms=request.route.goal // MILLISECOND,
                patience=request.wait_share,
                budget_left=self._budgets[request.service].remaining(
                    self._instances(),
                ),
            )
        return refusal


def _end_if_silent(
    timer: asyncio.Timeout,
    state: UpstreamState,
    since: timedelta,
) -> None:
    if state.answered_at < since and not timer.expired():
        timer.reschedule(asyncio.get_running_loop().time())


def _is_not_sent(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason in _NOT_SENT


def _may_repeat(work: Work, outcome: Outcome) -> bool:
    match outcome:
        case Answered(status):
            return work.idempotent and status >= HTTP_FAILURES
        case NotRun(reason):
            return reason not in _FINAL
        case Unknown(reason):
            return work.idempotent and reason is not Reason.upstream_timeout
