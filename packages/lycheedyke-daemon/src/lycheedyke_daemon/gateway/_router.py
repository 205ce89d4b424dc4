"""Sends a request to upstreams, and repeats it where that is safe."""

import functools
from collections import defaultdict
from datetime import timedelta

from lycheedyke.protocol import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Route,
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
    record_run_time,
    response_timeout,
)
from lycheedyke.state.fairness import SlotAllocation
from lycheedyke.timers import pause_tolerant_timeout
from lycheedyke_daemon.admissions import Admission
from lycheedyke_daemon.cancellation import is_cancelled
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.gateway._decision_log import Telemetry
from lycheedyke_daemon.gateway._instance_status import InstanceStatus
from lycheedyke_daemon.gateway._refusals import explain_hold
from lycheedyke_daemon.gateway._request_progress import (
    RequestProgress,
    is_repeatable,
)
from lycheedyke_daemon.gateway._silence_watch import SilenceWatch
from lycheedyke_daemon.gateway._upstream_client import Sending, UpstreamClient
from lycheedyke_daemon.gateway.bodies import was_held_up
from lycheedyke_daemon.work import Work

HTTP_SERVER_ERROR = 500
GUARD_MARGIN = timedelta(milliseconds=100)
MILLISECOND = timedelta(milliseconds=1)
# Also bounds sends that never reached an upstream, which are not attempts.
MAX_SENDS = 4
# A run counts as a run time if pauses of this process took at most this share
# of it.
MAX_PAUSED_SHARE = 0.5


class GatewayRouter:
    """Runs work at the upstream where it is expected to end first.

    Args:
        selector: selects an upstream for each request.
        times: records how long requests run.
        client: sends work to upstreams.
        guard: runs suspects on their own.
        repeats: the bounds on repeats.
        telemetry: counts repeats and logs each attempt.
        status: the status of the instance.
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        times: RunTimeStats,
        client: UpstreamClient,
        guard: CrashGuard,
        repeats: RepeatLimit,
        telemetry: Telemetry,
        status: InstanceStatus,
    ) -> None:
        """Initializes the router."""
        self._selector = selector
        self._times = times
        self._client = client
        self._guard = guard
        self._clock = telemetry.clock
        self._counters = telemetry.counters
        self._decision_log = telemetry.decision_log
        self._max_instances = status.max_instances
        self._is_stopping = status.is_stopping
        self._may_take = status.may_take
        self._paused_within = status.paused_within
        self._news_age = status.news_age
        self._wait_permit = status.wait_permit
        self._allocation = SlotAllocation(
            telemetry.clock, telemetry.counters, status.tenant_use
        )
        self._budgets: defaultdict[str, RepeatBudget] = defaultdict(
            lambda: RepeatBudget(repeats, telemetry.clock),
        )

    def __repr__(self) -> str:
        """Returns the selector of upstreams."""
        return f'<GatewayRouter with {self._selector!r}>'

    def expected_run(self, route: Route, service: str) -> timedelta:
        """Returns the mean run time of requests for unknown objects."""
        return self._times.of_route(route, service).cold

    async def run(
        self, request: Request, work: Work, sent_to: list[str]
    ) -> Outcome:
        """Sends a request to upstreams and returns its outcome.

        Args:
            request: the route, service and object key.
            work: the work to send; its deadline includes the route's timeout.
            sent_to: the name of each upstream is added once it is tried.
        """
        self._budgets[request.service].add_request()
        request = self._allocation.record_arrival(request, self._times)
        left = work.deadline - self._clock.elapsed()
        async with self._guard.admit(work, left) as admission:
            if admission.refusal is not None:
                return admission.refusal
            return await self._run_admitted(request, work, sent_to, admission)

    async def _run_admitted(
        self,
        request: Request,
        work: Work,
        sent_to: list[str],
        admission: Admission,
    ) -> Outcome:
        progress = RequestProgress(self._clock.elapsed(), admission)
        limited_home = self._selector.request_permit(request)
        if limited_home is not None:
            await self._wait_permit(limited_home)
        while candidate := self._next(request, work, progress):
            sent_to.append(candidate.state.record.name)
            outcome = await self._attempt(request, candidate, work, progress)
            progress.add(candidate.state.record.name, outcome)
            if is_cancelled() or not self._may_repeat(work, outcome):
                break
        if progress.outcome is None or isinstance(progress.outcome, NotRun):
            if admission.refusal is not None:
                return admission.refusal
            # Without a send, the last candidate was chosen from all upstreams.
            candidate = (
                self._selector.choose(request)
                if progress.tried
                else progress.candidate
            )
            return self._refuse(request, work, candidate, progress)
        return progress.outcome

    def _next(
        self,
        request: Request,
        work: Work,
        progress: RequestProgress,
    ) -> Candidate | None:
        """Returns the next upstream, or None if there is no further send."""
        if progress.next_candidate is not None:
            return progress.take_next_candidate()
        is_used_up = progress.attempts >= request.route.attempts
        if is_used_up or len(progress.tried) >= MAX_SENDS:
            return None
        candidate = self._selector.choose(request, progress.tried)
        progress.candidate = candidate
        if candidate is None:
            return None
        if not self._is_admitted(request, candidate, work, progress):
            return None
        if progress.tried and not self._acquire_repeat(request):
            return None
        return candidate

    def _may_repeat(self, work: Work, outcome: Outcome) -> bool:
        if not is_repeatable(work, outcome):
            return False
        return isinstance(outcome, NotRun) or self._guard.may_repeat(work)

    def _is_admitted(
        self,
        request: Request,
        candidate: Candidate,
        work: Work,
        progress: RequestProgress,
    ) -> bool:
        now = self._clock.elapsed()
        progress.refusal = Reason.no_room
        ends_in_time = now + candidate.expected < work.deadline
        if not ends_in_time or not self._may_take(candidate.expected):
            return False
        progress.refusal = self._allocation.judge(
            request, candidate, now - progress.started
        )
        return progress.refusal is None

    def _acquire_repeat(self, request: Request) -> bool:
        if self._budgets[request.service].acquire(self._max_instances()):
            self._counters.count('repeat')
            return True
        self._counters.count('repeat.no-budget')
        return False

    async def _attempt(
        self,
        request: Request,
        candidate: Candidate,
        work: Work,
        progress: RequestProgress,
    ) -> Outcome:
        state = candidate.state
        sending = Sending(self._selector.acquire_permits(request, state))
        progress.sending = sending
        state.begin_request(request.object_key, request.body_bytes)
        started = self._clock.elapsed()
        silence = SilenceWatch(
            state,
            started,
            self._silence_limit(request, candidate, work, progress),
            functools.partial(self._find_other, request, work, progress),
        )
        try:
            outcome = await self._run_guarded(state, work, silence, progress)
        finally:
            silence.close()
            self._end_request(request, state, sending)
        took = self._clock.elapsed() - started
        self._log_attempt(candidate, work, outcome, took, progress)
        is_success = (
            isinstance(outcome, Answered) and outcome.status < HTTP_SERVER_ERROR
        )
        # An answer that arrived in a pause took an unknown part of it; one that
        # its caller held up took the time of the caller.
        is_paused = self._paused_within(took) > took * MAX_PAUSED_SHARE
        if is_success and not is_paused and not was_held_up(work):
            record_run_time(self._times, request, candidate, took)
        return outcome

    def _end_request(
        self, request: Request, state: UpstreamState, sending: Sending
    ) -> None:
        state.end_request(request.body_bytes)
        if sending.permit is not None and sending.written_at is None:
            self._selector.give_back(sending.permit)

    def _silence_limit(
        self,
        request: Request,
        candidate: Candidate,
        work: Work,
        progress: RequestProgress,
    ) -> timedelta | None:
        """Returns how long to wait for a silent upstream; None for no limit."""
        if (
            not work.idempotent
            or progress.attempts + 1 >= request.route.attempts
        ):
            return None
        if not self._budgets[request.service].remaining(self._max_instances()):
            return None
        left = work.deadline - self._clock.elapsed()
        return response_timeout(request, candidate, self._times, left)

    def _find_other(
        self,
        request: Request,
        work: Work,
        progress: RequestProgress,
        silent: str,
    ) -> bool:
        """Returns whether another upstream is found to run a request now.

        A planned stop may leave too little time for a second run.
        """
        if self._is_stopping() or not self._guard.may_repeat(work):
            return False
        progress.tried.add(silent)
        progress.next_candidate = self._next(request, work, progress)
        return progress.next_candidate is not None

    async def _run_guarded(
        self,
        state: UpstreamState,
        work: Work,
        silence: SilenceWatch,
        progress: RequestProgress,
    ) -> Outcome:
        """Returns the outcome, even if the guard admits no request in time.

        The exchange with the upstream ends by itself at the deadline. The
        timeout here also bounds the wait before the exchange, in which a
        suspect waits until it can run on its own, and the wait for an
        upstream that does not answer.
        """
        started = self._clock.elapsed()
        left = work.deadline - started + GUARD_MARGIN
        reason = Reason.upstream_timeout
        try:
            async with pause_tolerant_timeout(left) as timer:
                silence.watch(timer)
                return await self._guard.run(
                    state.record.incarnation,
                    state.record.address,
                    progress.admission,
                    functools.partial(
                        self._send, state, work, progress, started
                    ),
                )
        except TimeoutError:
            if self._clock.elapsed() < work.deadline:
                reason = Reason.upstream_silent
            return Unknown(reason)

    async def _send(
        self,
        state: UpstreamState,
        work: Work,
        progress: RequestProgress,
        chosen: timedelta,
    ) -> Outcome:
        progress.waited = self._clock.elapsed() - chosen
        progress.news_age = self._news_age()
        return await self._client.run(state, work, progress.sending)

    def _log_attempt(
        self,
        candidate: Candidate,
        work: Work,
        outcome: Outcome,
        took: timedelta,
        progress: RequestProgress,
    ) -> None:
        record = candidate.state.record
        self._decision_log.write(
            'attempt ended',
            work.request_id,
            outcome,
            **work.describe(),
            sent_to=record.name,
            upstream_zone=record.zone,
            expected_ms=candidate.expected // MILLISECOND,
            took_ms=took // MILLISECOND,
            known=candidate.known,
            load=round(candidate.load, 1),
            slowness=round(candidate.state.slowness, 2),
            time_left_ms=(work.deadline - self._clock.elapsed()) // MILLISECOND,
            waited_ms=progress.waited // MILLISECOND,
            news_ms=progress.news_age // MILLISECOND,
        )

    def _refuse(
        self,
        request: Request,
        work: Work,
        candidate: Candidate | None,
        progress: RequestProgress,
    ) -> NotRun:
        """Returns the refusal, with a time until capacity may be available."""
        retry_after = self._allocation.retry_after(
            request, candidate, progress.refusal
        )
        reason = progress.refusal or Reason.no_room
        if candidate is None:
            hold = self._selector.hold(request)
            retry_after, reason = explain_hold(hold, retry_after)
        if isinstance(progress.outcome, NotRun):
            reason = progress.outcome.reason
            self._allocation.record_not_run(request)
        refusal = NotRun(reason, retry_after)
        if candidate is not None:
            self._decision_log.write(
                'request refused',
                work.request_id,
                refusal,
                best=candidate.state.record.name,
                load=round(candidate.load, 1),
                slots=candidate.state.record.slots,
                wait_ms=candidate.wait // MILLISECOND,
                run_ms=candidate.run // MILLISECOND,
                trip_ms=candidate.round_trip // MILLISECOND,
                goal_ms=request.route.goal // MILLISECOND,
                patience=request.wait_share,
                reserved=round(request.reserved_share, 2),
                budget_left=self._budgets[request.service].remaining(
                    self._max_instances(),
                ),
            )
        return refusal
