"""Runs suspects alone, and finds out who was in flight at a crash."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lycheedyke.protocol import NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Counters, Suspects, Verdict
from lycheedyke_daemon.work import Work

PROBE_PAUSE = timedelta(milliseconds=50)
PROBE_LIMIT = timedelta(milliseconds=500)


class _Flight:
    """The requests in flight at one upstream."""

    def __init__(self) -> None:
        self.fingerprints: list[str] = []
        self.alone = False
        self.changed = asyncio.Condition()


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
        self._flights: dict[str, _Flight] = {}

    def __repr__(self) -> str:
        """Returns the number of upstreams seen."""
        return f'<CrashGuard over {len(self._flights)} upstreams>'

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
        fingerprint = work.fingerprint().hex()
        flight = self._flights.setdefault(upstream, _Flight())
        async with flight.changed:
            await flight.changed.wait_for(
                lambda: self._may_enter(flight, fingerprint),
            )
            verdict = self._suspects.judge(fingerprint)
            if verdict is Verdict.quarantined:
                return NotRun(Reason.quarantined)
            flight.alone = verdict is Verdict.suspect
            flight.fingerprints.append(fingerprint)
        try:
            outcome = await send()
            await self._judge(upstream, address, flight, outcome)
        finally:
            await asyncio.shield(self._leave(flight, fingerprint))
        return outcome

    def _may_enter(self, flight: _Flight, fingerprint: str) -> bool:
        match self._suspects.judge(fingerprint):
            case Verdict.quarantined:
                return True
            case Verdict.suspect:
                return not flight.fingerprints
        return not flight.alone

    async def _leave(self, flight: _Flight, fingerprint: str) -> None:
        async with flight.changed:
            flight.fingerprints.remove(fingerprint)
            flight.alone = False
            flight.changed.notify_all()

    async def _judge(
        self,
        upstream: str,
        address: str,
        flight: _Flight,
        outcome: Outcome,
    ) -> None:
        if outcome != Unknown(Reason.upstream_broke):
            if flight.alone and not isinstance(outcome, NotRun):
                self._suspects.acquit(flight.fingerprints[0])
            return
        accused = tuple(flight.fingerprints)
        if not await _is_dead(address):
            return
        self._counters.count('upstream.crashed')
        self._suspects.accuse(accused, upstream)
        await self._report()


async def _is_dead(address: str) -> bool:
    host, _, port = address.rpartition(':')
    await asyncio.sleep(PROBE_PAUSE.total_seconds())
    try:
        async with asyncio.timeout(PROBE_LIMIT.total_seconds()):
            _, writer = await asyncio.open_connection(host.strip('[]'), port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False
