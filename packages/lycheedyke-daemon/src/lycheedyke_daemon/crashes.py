"""Isolates suspect requests, and finds the requests in flight at a crash."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lycheedyke.protocol import Answered, NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Counters, Suspects, Verdict
from lycheedyke.transport import is_connection_refused
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.work import Work

PROBE_DELAY = timedelta(milliseconds=50)
PROBE_TIMEOUT = timedelta(milliseconds=500)

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


class CrashGuard:
    """Isolates suspect requests, and detects crashes of upstreams.

    The guard runs between the admission to an upstream and the exchange
    with it.

    Args:
        suspects: the suspects that this instance knows.
        report: sends the suspects to peers. It is awaited before the
            outcome of a crash is returned, so that peers know the suspects
            before a retry reaches them.
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
        self._report = report
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
        and other requests wait until the suspect has ended. `send` checks
        the deadline after this wait.

        Args:
            upstream: the name of the upstream.
            address: the address of the upstream, `ip:port`.
            work: the request.
            send: performs the exchange.
        """
        in_flight = self._upstreams.setdefault(upstream, _InFlight())
        request = _Request(work)
        while not self._may_enter(in_flight, request):
            await in_flight.wait()
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

    def may_repeat(self, work: Work) -> bool:
        """Returns whether work may run again for the same attempt."""
        if not self._suspects:
            return True
        return self._suspects.may_repeat(work.repeat_fingerprint().hex())

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
        return not in_flight.alone

    async def _check_outcome(
        self,
        upstream: str,
        address: str,
        in_flight: _InFlight,
        request: _Request,
        outcome: Outcome,
    ) -> None:
        if isinstance(outcome, Answered) and self._suspects:
            self._suspects.record_success(request.fingerprint)
        if outcome != Unknown(Reason.upstream_broke):
            return
        fingerprints = tuple(each.fingerprint for each in in_flight.requests)
        # The caller may leave before the check ends; the crash counts all
        # the same.
        await self._checks.run(
            self._check_crash(upstream, address, fingerprints)
        )

    async def _check_crash(
        self, upstream: str, address: str, fingerprints: tuple[str, ...]
    ) -> None:
        if not await _is_dead(address):
            return
        self._counters.count('upstream.crashed')
        _logger.warning(
            'upstream crashed',
            extra={'upstream': upstream, 'fingerprints': fingerprints},
        )
        self._suspects.record_crash(fingerprints, upstream)
        await self._report()


async def _is_dead(address: str) -> bool:
    """Returns whether nothing listens at an address.

    A process that ends may close its connections before its listening socket.
    """
    if await is_connection_refused(address, timeout=PROBE_TIMEOUT):
        return True
    await asyncio.sleep(PROBE_DELAY.total_seconds())
    return await is_connection_refused(address, timeout=PROBE_TIMEOUT)
