"""Runs work on the upstreams that this instance owns."""

import functools
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.exceptions import (
    ConnectionNotMade,
    ExchangeBroken,
    ExchangeTimeout,
)
from lycheedyke.protocol import (
    LEAVING_HEADER,
    NotRun,
    Outcome,
    Phase,
    Reason,
    Service,
    Unknown,
    Upstream,
    UpstreamLoad,
)
from lycheedyke.state import (
    AdmissionRefused,
    Admitter,
    Configuration,
    Counters,
    DrainLog,
    LeavingCause,
)
from lycheedyke.transport import HttpClient
from lycheedyke_daemon.answers import read_answer
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.work import Work

MILLISECOND = timedelta(milliseconds=1)


class Runner:
    """Admits work to the owned upstreams and runs it there.

    Args:
        clock: measures deadlines and latencies.
        counters: counts outcomes.
        guard: runs suspects alone.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        guard: CrashGuard,
    ) -> None:
        """Makes a runner that owns nothing."""
        self._clock = clock
        self._counters = counters
        self._guard = guard
        self._http = HttpClient()
        self._configuration = Configuration()
        self._admitters: dict[str, Admitter] = {}
        self._left: dict[str, Upstream] = {}
        self.drains = DrainLog(clock)

    def __repr__(self) -> str:
        """Returns the owned upstreams."""
        return f'<Runner of {sorted(self._admitters)}>'

    async def close(self) -> None:
        """Closes the connections to upstreams."""
        await self._http.close()

    def own(self, configuration: Configuration, names: set[str]) -> None:
        """Takes over the named upstreams and gives up all others."""
        self._configuration = configuration
        for name in names:
            upstream = configuration.upstreams[name]
            service = configuration.services[upstream.service]
            admitter = self._admitters.get(name)
            if admitter is None:
                self._admitters[name] = Admitter(
                    upstream.slots,
                    service.queue_limit,
                    self._clock,
                )
            else:
                admitter.resize(upstream.slots)
        for name in self._admitters.keys() - names:
            self._admitters.pop(name)
        self._follow_drains()

    def loads(self) -> tuple[UpstreamLoad, ...]:
        """Returns the counts of all owned upstreams."""
        return tuple(
            UpstreamLoad(
                name,
                admitter.in_flight,
                admitter.waiting,
                0 if self.drains.find(name) else admitter.limit,
            )
            for name, admitter in self._admitters.items()
        )

    async def run(self, name: str, work: Work) -> Outcome:
        """Runs work on one upstream, waiting for a slot if it must."""
        admitter = self._admitters.get(name)
        upstream = self._configuration.upstreams.get(name)
        if admitter is None or upstream is None:
            return NotRun(Reason.no_owner)
        if self._is_leaving(name):
            return NotRun(Reason.upstream_leaving)
        service = self._configuration.services[upstream.service]
        work_class = (
            service.read_class if work.idempotent else service.write_class
        )
        try:
            await admitter.enter(work_class, work.deadline)
        except AdmissionRefused as refusal:
            return NotRun(refusal.reason)
        try:
            if self._is_leaving(name):
                return NotRun(Reason.upstream_leaving)
            return await self._guard.run(
                name,
                upstream.address,
                work,
                functools.partial(self._send, name, upstream, service, work),
            )
        finally:
            admitter.leave()
            self.drains.update(name, admitter.in_flight)

    def _is_leaving(self, name: str) -> bool:
        upstream = self._configuration.upstreams.get(name)
        if upstream is None or upstream.phase is not Phase.serving:
            return True
        return self.drains.find(name) is not None

    def _follow_drains(self) -> None:
        configuration = self._configuration
        for name, admitter in self._admitters.items():
            upstream = configuration.upstreams[name]
            if upstream.phase is not Phase.serving:
                self._start_drain(name, admitter, LeavingCause.ticket)
                continue
            drain = self.drains.find(name)
            # A ticket that names the upstream makes a new object of it.
            if drain is not None and upstream is not self._left.get(name):
                self.drains.end(name)

    def _start_drain(
        self,
        name: str,
        admitter: Admitter,
        cause: LeavingCause,
    ) -> None:
        if self.drains.find(name) is None:
            self._left[name] = self._configuration.upstreams[name]
        self.drains.start(
            name,
            cause,
            ticket=self._configuration.number,
            in_flight=admitter.in_flight,
        )

    async def _send(
        self,
        name: str,
        upstream: Upstream,
        service: Service,
        work: Work,
    ) -> Outcome:
        remaining = work.deadline - self._clock.elapsed()
        limit = min(remaining, service.run_limit_ms * MILLISECOND)
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
            )
        except ConnectionNotMade:
            return NotRun(Reason.upstream_unreachable)
        except ExchangeTimeout:
            return Unknown(Reason.upstream_timeout)
        except ExchangeBroken:
            return Unknown(Reason.upstream_broke)
        admitter = self._admitters.get(name)
        if LEAVING_HEADER in answer.headers and admitter is not None:
            self._start_drain(name, admitter, LeavingCause.upstream)
        return read_answer(name, work, answer)
