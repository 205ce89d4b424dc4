"""Isolates suspect requests, and finds the requests in flight at a crash."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lycheedyke.protocol import Answered, NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Counters, Suspects, Verdict
from lycheedyke.transport import is_connection_refused
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.work import Work

HTTP_SERVER_ERROR = 500
PROBE_DELAY = timedelta(milliseconds=50)
PROBE_TIMEOUT = timedelta(milliseconds=500)
# How often a request that is held looks whether a report has come.
HOLD_RECHECK = timedelta(milliseconds=20)

_logger = logging.getLogger(__name__)


class _Request:
    """A request whose fingerprint is computed on first use."""

    def __init__(self, work: Work) -> None:
        self._work = work
        self._fingerprint = ''

    @property
    def fingerprint(self) -> str:
        """The fingerprint of the request, in hexadecimal."""
        if not self._fingerprint:
            self._fingerprint = self._work.repeat_fingerprint().hex()
        return self._fingerprint


class _InFlight:
    """The requests in flight at one upstream."""

    def __init__(self) -> None:
        self.requests: list[_Request] = []
        self.alone = False
        self.users = 0
        self.check: asyncio.Task[None] | None = None
        self.checked: tuple[_Request, ...] = ()
        self._waiters: list[asyncio.Future[None]] = []

    def add(self, request: _Request, *, alone: bool) -> None:
        """Adds a request; `alone` keeps other requests out until it ends."""
        self.alone = alone
        self.requests.append(request)

    def remove(self, request: _Request) -> None:
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
    """

    def __init__(
        self,
        suspects: Suspects,
        report: Callable[[], Awaitable[None]],
        counters: Counters,
    ) -> None:
        """Initializes the guard."""
        self._suspects = suspects
        self._report = _SharedReport(report)
        self._counters = counters
        self._upstreams: dict[str, _InFlight] = {}
        self._checks = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the class and the number of upstreams used so far."""
        return f'<CrashGuard over {len(self._upstreams)} upstreams>'

    async def run(
        self,
        upstream: str,
        address: str,
        work: Work,
        send: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        """Returns the outcome of an exchange with an upstream.

        A suspect waits until no other request is in flight at the upstream,
        and other requests wait until the suspect has ended. A request that is
        held waits for the verdict, and keeps no other one waiting. `send` checks
        the deadline after this wait.

        Args:
            upstream: the name of the upstream, or of its incarnation.
            address: the address of the upstream, `ip:port`.
            work: the request.
            send: performs the exchange.
        """
        in_flight = self._upstreams.setdefault(upstream, _InFlight())
        in_flight.users += 1
        try:
            return await self._run(upstream, address, in_flight, work, send)
        finally:
            in_flight.users -= 1
            if not in_flight.users:
                self._upstreams.pop(upstream)

    async def wait_for_verdict(self, work: Work, timeout: timedelta) -> None:
        """Waits while a peer's report may still explain a request's crashes.

        Called before an upstream is chosen, so that the request takes none of
        its room meanwhile.

        Args:
            work: the request.
            timeout: the longest wait.
        """
        if not self._suspects.may_hold:
            return
        request = _Request(work)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                while self._classify(request) is Verdict.held:
                    await _pause_for_reports()

    def may_repeat(self, work: Work) -> bool:
        """Returns whether work may run again for the same attempt."""
        if not self._suspects:
            return True
        return self._suspects.may_repeat(work.repeat_fingerprint().hex())

    async def _run(
        self,
        upstream: str,
        address: str,
        in_flight: _InFlight,
        work: Work,
        send: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        request = _Request(work)
        while not self._may_enter(in_flight, request):
            await self._wait(in_flight, request)
        verdict = self._classify(request)
        if verdict is Verdict.quarantined:
            return NotRun(Reason.quarantined)
        in_flight.add(request, alone=verdict is Verdict.suspect)
        try:
            outcome = await send()
            await self._check_outcome(
                upstream, address, in_flight, request, outcome
            )
        finally:
            in_flight.remove(request)
        return outcome

    async def _wait(self, in_flight: _InFlight, request: _Request) -> None:
        if self._classify(request) is Verdict.held:
            await _pause_for_reports()
        else:
            await in_flight.wait()

    def _classify(self, request: _Request) -> Verdict:
        if not self._suspects:
            return Verdict.clear
        return self._suspects.judge(request.fingerprint)

    def _may_enter(self, in_flight: _InFlight, request: _Request) -> bool:
        match self._classify(request):
            case Verdict.quarantined:
                return True
            case Verdict.suspect:
                return not in_flight.requests
            case Verdict.held:
                return False
        return not in_flight.alone

    async def _check_outcome(
        self,
        upstream: str,
        address: str,
        in_flight: _InFlight,
        request: _Request,
        outcome: Outcome,
    ) -> None:
        if self._suspects and _is_success(outcome):
            self._suspects.record_success(request.fingerprint)
        if outcome != Unknown(Reason.upstream_broke):
            return
        # One crash breaks all exchanges, which share a check.
        if in_flight.check is None or request not in in_flight.checked:
            in_flight.checked = tuple(in_flight.requests)
            in_flight.check = self._checks.start(
                self._check_crash(
                    upstream, address, in_flight.checked, in_flight.alone
                )
            )
        # The caller may leave before the check ends; the crash counts all
        # the same.
        await asyncio.shield(in_flight.check)

    async def _check_crash(
        self,
        upstream: str,
        address: str,
        requests: tuple[_Request, ...],
        is_isolated: bool,
    ) -> None:
        if not await _is_dead(address):
            return
        fingerprints = tuple(request.fingerprint for request in requests)
        self._counters.count('upstream.crashed')
        _logger.warning(
            'upstream crashed',
            extra={'upstream': upstream, 'fingerprints': fingerprints},
        )
        self._suspects.record_crash(
            fingerprints, upstream, is_isolated=is_isolated
        )
        await self._report.send()


def _is_success(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.status < HTTP_SERVER_ERROR


async def _pause_for_reports() -> None:
    await asyncio.sleep(HOLD_RECHECK.total_seconds())


async def _is_dead(address: str) -> bool:
    """Returns whether nothing listens at an address.

    A process that ends may close its connections before its listening socket.
    """
    await asyncio.sleep(PROBE_DELAY.total_seconds())
    return await is_connection_refused(address, timeout=PROBE_TIMEOUT)
