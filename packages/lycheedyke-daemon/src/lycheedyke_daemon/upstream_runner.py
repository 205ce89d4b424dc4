"""Runs work on the upstreams that this instance may use."""

import functools
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination import SlotAllowance, UpstreamLimits
from lycheedyke.exceptions import (
    ConnectError,
    ConnectionRefusedByHost,
    ExchangeBroken,
    WriteTooLate,
)
from lycheedyke.protocol import (
    LEAVING_HEADER,
    NotRun,
    Outcome,
    Phase,
    Reason,
    Upstream,
    UpstreamLoad,
)
from lycheedyke.state import (
    AdmissionRefused,
    Configuration,
    Counters,
    DrainLog,
    LeavingCause,
)
from lycheedyke.transport import ExchangeChecks, HttpClient
from lycheedyke_daemon.admissions import Admission
from lycheedyke_daemon.answers import outcome_of_answer
from lycheedyke_daemon.attempts import Attempt, OwnedUpstream
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.failures import outcome_of_error
from lycheedyke_daemon.work import Work

MILLISECOND = timedelta(milliseconds=1)


class UpstreamRunner:
    """Admits work to upstreams of the zone and runs it there.

    Args:
        zone: the zone whose upstreams this instance may use.
        allowance: the slots that this instance may use.
        clock: measures deadlines and run times.
        counters: counts outcomes.
        guard: isolates suspect requests.
    """

    def __init__(
        self,
        zone: str,
        allowance: SlotAllowance,
        clock: Clock,
        counters: Counters,
        guard: CrashGuard,
    ) -> None:
        """Initializes the runner without upstreams."""
        self._zone = zone
        self._allowance = allowance
        self._clock = clock
        self._counters = counters
        self._guard = guard
        self._http = HttpClient()
        self._configuration = Configuration()
        self._owned: dict[str, OwnedUpstream] = {}
        self._is_ready = False
        self._draining: dict[str, Upstream] = {}
        self.drains = DrainLog(clock)

    def __repr__(self) -> str:
        """Returns the class and the names of the upstreams in use."""
        return f'<UpstreamRunner of {sorted(self._owned)}>'

    @property
    def ready(self) -> bool:
        """Whether all upstreams of the zone have had owners since the start."""
        return self._is_ready

    async def close(self) -> None:
        """Closes the connections to upstreams."""
        await self._http.close()

    def upstream_limits(self) -> dict[str, UpstreamLimits]:
        """Returns the limits of all upstreams of the zone."""
        return {
            name: self._limits_of(upstream)
            for name, upstream in self._configuration.upstreams.items()
            if upstream.zone == self._zone
        }

    def in_flight(self, name: str) -> int:
        """Returns how many requests from here an upstream may be running."""
        owned = self._owned.get(name)
        return owned.admission.in_flight if owned else 0

    def refresh(self, configuration: Configuration) -> None:
        """Applies the configuration and the slots allowed now."""
        self._configuration = configuration
        all_limits = self.upstream_limits()
        for name, limits in all_limits.items():
            self._refresh_one(name, limits)
        for name in self._owned.keys() - all_limits.keys():
            if not self.in_flight(name):
                self._owned.pop(name)
        if configuration.number:
            owned = self._allowance.record.pairs.keys()
            self._is_ready = self._is_ready or all_limits.keys() <= owned
        self._update_drains()

    def loads(self) -> tuple[UpstreamLoad, ...]:
        """Returns the loads of all upstreams in use by this instance.

        Upstreams that are drained have the limit 0.
        """
        loads = [
            UpstreamLoad(name, load.in_flight, load.waiting, 0, load.usable)
            if self.drains.find(name)
            else load
            for name, load in self._all_loads()
        ]
        return tuple(load for load in loads if load.limit or load.in_flight)

    async def run(self, name: str, work: Work) -> Outcome:
        """Returns the outcome of work on one upstream.

        If no slot is free, the work waits for one, unless it may not wait.
        """
        left = work.deadline - self._clock.elapsed()
        async with self._guard.admit(work, left) as admission:
            if admission.refusal is not None:
                return admission.refusal
            return await self._run_admitted(name, work, admission)

    async def _run_admitted(
        self, name: str, work: Work, admission: Admission
    ) -> Outcome:
        owned = self._owned.get(name)
        upstream = self._configuration.upstreams.get(name)
        if owned is None or upstream is None:
            return NotRun(Reason.no_owner)
        if self._is_leaving(name):
            return NotRun(Reason.upstream_leaving)
        service = self._configuration.services[upstream.service]
        work_class = (
            service.read_class if work.idempotent else service.write_class
        )
        try:
            await owned.admission.acquire(
                work_class,
                work.deadline,
                may_wait=work.may_wait,
            )
        except AdmissionRefused as refusal:
            return NotRun(refusal.reason, refusal.retry_after)
        limit = self._run_limit(upstream, work)
        attempt = Attempt(owned.admission, limit, self._clock)
        try:
            if self._is_leaving(name):
                return NotRun(Reason.upstream_leaving)
            return await self._guard.run(
                name,
                upstream.address,
                admission,
                functools.partial(self._send, name, upstream, work, attempt),
            )
        finally:
            attempt.release()
            self.drains.update(name, owned.admission.in_flight)

    def _all_loads(self) -> list[tuple[str, UpstreamLoad]]:
        return [(name, owned.load) for name, owned in self._owned.items()]

    def _is_leaving(self, name: str) -> bool:
        upstream = self._configuration.upstreams.get(name)
        if upstream is None or upstream.phase is not Phase.serving:
            return True
        return self.drains.find(name) is not None

    def _update_drains(self) -> None:
        configuration = self._configuration
        for name, owned in self._owned.items():
            upstream = configuration.upstreams.get(name)
            if upstream is None or upstream.phase is not Phase.serving:
                self._start_drain(name, owned, LeavingCause.ticket)
                self.drains.update(name, owned.admission.in_flight)
                continue
            drain = self.drains.find(name)
            # A ticket that names the upstream creates a new object for it; if
            # the upstream is to serve, this ends the drain.
            if drain is not None and upstream is not self._draining.get(name):
                self.drains.end(name)

    def _start_drain(
        self,
        name: str,
        owned: OwnedUpstream,
        cause: LeavingCause,
    ) -> None:
        upstream = self._configuration.upstreams.get(name)
        if self.drains.find(name) is None and upstream is not None:
            self._draining[name] = upstream
        self.drains.start(
            name,
            cause,
            ticket=self._configuration.number,
            in_flight=owned.admission.in_flight,
        )

    async def _send(
        self,
        name: str,
        upstream: Upstream,
        work: Work,
        attempt: Attempt,
    ) -> Outcome:
        limit = self._run_limit(upstream, work)
        if limit < MILLISECOND:
            return NotRun(Reason.deadline_passed)
        try:
            answer = await self._http.send(
                work.method,
                f'http://{upstream.address}{work.target}',
                timeout=limit,
                headers=work.upstream_headers(limit),
                body=work.body or None,
                reuse=work.idempotent,
                checks=ExchangeChecks(attempt.before_write),
            )
        except AdmissionRefused as refusal:
            return NotRun(refusal.reason, refusal.retry_after)
        except WriteTooLate as late:
            return outcome_of_error(late)
        except (ConnectError, ExchangeBroken) as error:
            attempt.limiter.record_failure(
                is_down=isinstance(error, ConnectionRefusedByHost),
            )
            return outcome_of_error(error)
        attempt.is_finished = True
        if LEAVING_HEADER in answer.headers:
            self._start_drain(name, self._owned[name], LeavingCause.upstream)
        outcome = outcome_of_answer(name, work, answer)
        if isinstance(outcome, NotRun):
            attempt.limiter.record_overload()
        else:
            attempt.limiter.record_answer()
        return outcome

    def _run_limit(self, upstream: Upstream, work: Work) -> timedelta:
        service = self._configuration.services[upstream.service]
        remaining = work.deadline - self._clock.elapsed()
        return min(remaining, service.run_limit_ms * MILLISECOND)

    def _refresh_one(self, name: str, limits: UpstreamLimits) -> None:
        upstream = self._configuration.upstreams[name]
        queue_limit = self._configuration.services[upstream.service].queue_limit
        owned = self._owned.get(name)
        if owned is None and self._allowance.usable_slots(name, limits):
            owned = OwnedUpstream(
                name,
                limits,
                self._allowance.usable_slots,
                queue_limit,
                self._clock,
            )
            self._owned[name] = owned
        if owned is not None:
            owned.refresh(limits, queue_limit)

    def _limits_of(self, upstream: Upstream) -> UpstreamLimits:
        service = self._configuration.services[upstream.service]
        return UpstreamLimits(
            upstream.slots, service.run_limit_ms * MILLISECOND
        )
