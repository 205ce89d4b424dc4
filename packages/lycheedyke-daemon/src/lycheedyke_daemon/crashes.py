"""Runs suspects alone, and finds out who was in flight at a crash."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lycheedyke.protocol import NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Counters, Suspects, Verdict
from lycheedyke.transport import is_connection_refused
from lycheedyke_daemon.work import Work

PROBE_PAUSE = timedelta(milliseconds=50)
PROBE_LIMIT = timedelta(milliseconds=500)


class _Request:
    """One request in flight; its fingerprint is made where it is needed."""

    def __init__(self, work: Work) -> None:
        self._work = work
        self._fingerprint = ''

    @property
    def fingerprint(self) -> str:
        """The digest of the request, in hexadecimal."""
        if not self._fingerprint:
            self._fingerprint = self._work.fingerprint().hex()
        return self._fingerprint


class _InFlight:
    """The requests in flight at one upstream."""

    def __init__(self) -> None:
        self.requests: list[_Request] = []
        self.alone = False
        self._waiters: list[asyncio.Future[None]] = []

    def add(self, request: _Request, *, alone: bool) -> None:
        """Takes a request in."""
        self.alone = alone
        self.requests.append(request)

    def remove(self, request: _Request) -> None:
        """Lets a request out, and wakes all who wait."""
        self.requests.remove(request)
        self.alone = False
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait(self) -> None:
        """Waits until a request leaves."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter


class CrashGuard:
    """Stands between admission to an upstream and the exchange with it.

    Args:
        suspects: the suspects of this instance.
        report: tells peers of the suspects; awaited before the outcome of a
            crash is given, so that a retry elsewhere finds them known.
        counters: counts crashes and refusals.
    """

    def __init__(
        self,
        suspects: Suspects,
        report: Callable[[], Awaitable[None]],
        counters: Counters,
    ) -> None:
        """Makes a guard that has seen no request."""
        self._suspects = suspects
        self._report = report
        self._counters = counters
        self._upstreams: dict[str, _InFlight] = {}

    def __repr__(self) -> str:
        """Returns the number of upstreams seen."""
        return f'<CrashGuard over {len(self._upstreams)} upstreams>'

    async def run(
        self,
        upstream: str,
        address: str,
        work: Work,
        send: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        """Returns the outcome of an exchange with an upstream.

        A suspect waits until nothing else is in flight there, and others
        wait for its end; `send` checks the deadline after that.

        Args:
            upstream: the name of the upstream.
            address: where it listens, `ip:port`.
            work: the request.
            send: makes the exchange.
        """
        in_flight = self._upstreams.setdefault(upstream, _InFlight())
        request = _Request(work)
        while not self._may_enter(in_flight, request):
            await in_flight.wait()
        verdict = self._judge_one(request)
        if verdict is Verdict.quarantined:
            return NotRun(Reason.quarantined)
        in_flight.add(request, alone=verdict is Verdict.suspect)
        try:
            outcome = await send()
            await self._judge(upstream, address, in_flight, outcome)
        finally:
            in_flight.remove(request)
        return outcome

    def _judge_one(self, request: _Request) -> Verdict:
        if not self._suspects:
            return Verdict.clear
        return self._suspects.judge(request.fingerprint)

    def _may_enter(self, in_flight: _InFlight, request: _Request) -> bool:
        match self._judge_one(request):
            case Verdict.quarantined:
                return True
            case Verdict.suspect:
                return not in_flight.requests
        return not in_flight.alone

    async def _judge(
        self,
        upstream: str,
        address: str,
        in_flight: _InFlight,
        outcome: Outcome,
    ) -> None:
        if outcome != Unknown(Reason.upstream_broke):
            if in_flight.alone and not isinstance(outcome, NotRun):
                self._suspects.record_success(in_flight.requests[0].fingerprint)
            return
        fingerprints = tuple(each.fingerprint for each in in_flight.requests)
        if not await _is_dead(address):
            return
        self._counters.count('upstream.crashed')
        self._suspects.record_crash(fingerprints, upstream)
        await self._report()


async def _is_dead(address: str) -> bool:
    await asyncio.sleep(PROBE_PAUSE.total_seconds())
    return await is_connection_refused(address, timeout=PROBE_LIMIT)
