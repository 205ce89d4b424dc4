"""Isolates suspect requests, and finds the requests in flight at a crash."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AbstractAsyncContextManager
from datetime import timedelta

from lycheedyke.protocol import Answered, Outcome, Reason, Unknown
from lycheedyke.state import Counters, Suspects
from lycheedyke.transport import is_connection_refused
from lycheedyke_daemon.admissions import Admission, Admissions
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.trials import TrialClient
from lycheedyke_daemon.work import Work

HTTP_SERVER_ERROR = 500
PROBE_DELAY = timedelta(milliseconds=50)
PROBE_TIMEOUT = timedelta(milliseconds=500)
# When the upstream of a trial that was given up is probed, before others may try.
ABANDONED_DELAY = timedelta(milliseconds=300)
# The requests in flight at a crash that its log line names.
MAX_LOGGED_REQUESTS = 16

_logger = logging.getLogger(__name__)


class _InFlight:
    """The requests in flight at one upstream."""

    def __init__(self) -> None:
        self.requests: list[Admission] = []
        self.alone = False
        self.users = 0
        self.check: asyncio.Task[None] | None = None
        self.checked: tuple[Admission, ...] = ()
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def trials(self) -> tuple[str, ...]:
        """The digests of the requests that run as trials."""
        return tuple(
            fingerprint
            for request in self.requests
            for fingerprint in request.tried
        )

    def add(self, request: Admission, *, alone: bool) -> None:
        """Adds a request; `alone` keeps other requests out until it ends."""
        self.alone = alone
        self.requests.append(request)

    def remove(self, request: Admission) -> None:
        """Removes a request, and wakes all waiting requests."""
        self.requests.remove(request)
        self.alone = False
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait(self) -> None:
        """Waits until a request is removed."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter


class _SharedReport:
    """Sends one report at a time, for all requests that wait for one.

    When a zone fails, many exchanges break at the same moment. A request waits
    for a report that starts after its crash was recorded; so all that break
    while a report is being sent share the next one.
    """

    def __init__(self, send: Callable[[], Awaitable[None]]) -> None:
        self._send = send
        self._next: asyncio.Task[None] | None = None
        self._sending = asyncio.Lock()
        self._tasks = DetachedTasks()

    async def send(self) -> None:
        """Waits until a report has been sent that starts after this call."""
        if self._next is None:
            self._next = self._tasks.start(self._send_next())
        await asyncio.shield(self._next)

    async def _send_next(self) -> None:
        async with self._sending:
            self._next = None
            await self._send()


class CrashGuard:
    """Isolates suspect requests, and detects crashes of upstreams.

    The guard runs between the admission to an upstream and the exchange
    with it.

    Args:
        suspects: the suspects that this instance knows.
        report: sends the suspects to peers. It is awaited before the
            outcome of a crash is returned, so that peers know the suspects
            before a retry reaches them. Crashes at the same time share it.
        counters: counts crashes and refusals.
        trials: asks for the trials of requests on probation.
    """

    def __init__(
        self,
        suspects: Suspects,
        report: Callable[[], Awaitable[None]],
        counters: Counters,
        trials: TrialClient,
    ) -> None:
        """Initializes the guard."""
        self._suspects = suspects
        self._report = _SharedReport(report)
        self._counters = counters
        self._admissions = Admissions(suspects, trials)
        self._upstreams: dict[str, _InFlight] = {}
        self._checks = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the class and the number of upstreams used so far."""
        return f'<CrashGuard over {len(self._upstreams)} upstreams>'

    def admit(
        self, work: Work, timeout: timedelta
    ) -> AbstractAsyncContextManager[Admission]:
        """Admits or refuses a request, before an upstream is chosen for it.

        A request on probation waits for its trial, and takes no room of an
        upstream meanwhile.

        Args:
            work: the request.
            timeout: the time that is left to it.
        """
        return self._admissions.admit(work, timeout)

    async def run(
        self,
        upstream: str,
        address: str,
        admission: Admission,
        send: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        """Returns the outcome of an exchange with an upstream.

        A suspect waits until no other request is in flight at the upstream,
        and other requests wait until the suspect has ended. `send` checks the
        deadline after this wait.

        Args:
            upstream: the name of the upstream, or of its incarnation.
            address: the address of the upstream, `ip:port`.
            admission: the admission of the request.
            send: performs the exchange.
        """
        in_flight = self._upstreams.setdefault(upstream, _InFlight())
        in_flight.users += 1
        try:
            return await self._run(
                upstream, address, in_flight, admission, send
            )
        finally:
            in_flight.users -= 1
            if not in_flight.users:
                self._upstreams.pop(upstream)

    def may_repeat(self, work: Work) -> bool:
        """Returns whether work may run again for the same attempt."""
        if not self._suspects:
            return True
        digests = (work.shared_fingerprint(), work.repeat_fingerprint())
        return all(self._suspects.may_repeat(each.hex()) for each in digests)

    async def _run(
        self,
        upstream: str,
        address: str,
        in_flight: _InFlight,
        request: Admission,
        send: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        await self._enter(in_flight, request)
        if request.refusal is not None:
            return request.refusal
        try:
            outcome = await send()
            await self._check_outcome(
                upstream, address, in_flight, request, outcome
            )
        except asyncio.CancelledError:
            if request.trial.is_granted:
                self._checks.start(
                    self._check_abandoned(
                        upstream, address, request, request.tried
                    )
                )
            raise
        finally:
            in_flight.remove(request)
        return outcome

    async def _enter(self, in_flight: _InFlight, request: Admission) -> None:
        """Waits until a request may be sent; it may be refused meanwhile."""
        while True:
            await self._admissions.decide(request)
            if request.refusal is not None:
                return
            if self._may_enter(in_flight, request):
                break
            await in_flight.wait()
        in_flight.add(request, alone=self._is_isolated(request))

    def _may_enter(self, in_flight: _InFlight, request: Admission) -> bool:
        if self._is_isolated(request):
            return not in_flight.requests
        return not in_flight.alone

    def _is_isolated(self, request: Admission) -> bool:
        return bool(self._suspects) and any(
            map(self._suspects.is_isolated, request.fingerprints)
        )

    async def _check_outcome(
        self,
        upstream: str,
        address: str,
        in_flight: _InFlight,
        request: Admission,
        outcome: Outcome,
    ) -> None:
        if self._suspects and _is_success(outcome):
            self._record_success(request)
        if outcome != Unknown(Reason.upstream_broke):
            return
        # One crash breaks all exchanges, which share a check.
        if in_flight.check is None or request not in in_flight.checked:
            in_flight.checked = tuple(in_flight.requests)
            in_flight.check = self._checks.start(
                self._check_crash(
                    upstream, address, in_flight.checked, in_flight.trials
                )
            )
        # The caller may leave before the check ends; the crash counts all
        # the same.
        await asyncio.shield(in_flight.check)

    def _record_success(self, request: Admission) -> None:
        for fingerprint in request.fingerprints:
            self._suspects.record_success(
                fingerprint,
                is_trial=fingerprint in request.tried,
                caller=request.fingerprint,
            )

    async def _check_abandoned(
        self,
        upstream: str,
        address: str,
        request: Admission,
        tried: tuple[str, ...],
    ) -> None:
        """Checks whether an upstream crashes on a trial whose caller left.

        The trial itself may have ended meanwhile.
        """
        await asyncio.sleep(ABANDONED_DELAY.total_seconds())
        await self._check_crash(upstream, address, (request,), tried)

    async def _check_crash(
        self,
        upstream: str,
        address: str,
        requests: tuple[Admission, ...],
        trials: tuple[str, ...],
    ) -> None:
        if not await _is_dead(address):
            return
        callers = _group_callers(requests)
        fingerprints = (
            *callers,
            *dict.fromkeys(each.fingerprint for each in requests),
        )
        self._counters.count('upstream.crashed')
        _logger.warning(
            'upstream crashed',
            extra={
                'upstream': upstream,
                'fingerprints': fingerprints,
                'trials': trials,
                'requests': [
                    request.describe()
                    for request in requests[:MAX_LOGGED_REQUESTS]
                ],
            },
        )
        self._suspects.record_crash(
            fingerprints, upstream, trials=trials, callers=callers
        )
        await self._report.send()


def _group_callers(requests: Iterable[Admission]) -> dict[str, set[str]]:
    """Returns the digests of each request's callers, by the common digest."""
    callers: defaultdict[str, set[str]] = defaultdict(set)
    for request in requests:
        callers[request.shared_fingerprint].add(request.fingerprint)
    return dict(callers)


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.status < HTTP_SERVER_ERROR


async def _is_dead(address: str) -> bool:
    """Returns whether nothing listens at an address.

    A process that ends may close its connections before its listening socket.
    """
    await asyncio.sleep(PROBE_DELAY.total_seconds())
    return await is_connection_refused(address, timeout=PROBE_TIMEOUT)
