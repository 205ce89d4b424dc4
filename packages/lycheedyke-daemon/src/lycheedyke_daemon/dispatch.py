"""Runs idempotent work anywhere, and keyed work at its home only."""

import asyncio

from lycheedyke.coordination import Members
from lycheedyke.protocol import NotRun, Outcome, Reason, Unknown
from lycheedyke.state import KeyLedger, KeyRefused
from lycheedyke_daemon.forward import PeerClient
from lycheedyke_daemon.routing import Router
from lycheedyke_daemon.work import Work


class Dispatcher:
    """Runs idempotent work anywhere, and keyed work at its home only.

    Args:
        router: runs the work.
        ledger: the records of the keys whose home is here.
        members: the live instances.
        peers: forwards work to other homes.
    """

    def __init__(
        self,
        router: Router,
        ledger: KeyLedger,
        members: Members,
        peers: PeerClient,
    ) -> None:
        """Makes a dispatcher over the parts of one instance."""
        self._router = router
        self._ledger = ledger
        self._members = members
        self._peers = peers
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        """Returns the number of keyed runs in flight."""
        return f'<Dispatcher with {len(self._tasks)} keyed runs>'

    async def run(self, work: Work) -> Outcome:
        """Returns the outcome of a caller's request."""
        if work.idempotent:
            return await self._router.run(work)
        if work.key is None:
            return NotRun(Reason.key_missing)
        if work.key.home == self._members.own.incarnation:
            return await self._run_once(work)
        home = self._members.find(work.key.home)
        if home is None:
            return Unknown(Reason.home_gone)
        return await self._peers.run(home.info, work)

    async def close(self) -> None:
        """Waits for all keyed runs."""
        await asyncio.gather(*self._tasks)

    async def _run_once(self, work: Work) -> Outcome:
        if work.key is None:
            return NotRun(Reason.key_missing)
        try:
            record, is_new = self._ledger.open(work.key, work.fingerprint())
        except KeyRefused as refusal:
            if refusal.may_have_run:
                return Unknown(refusal.reason)
            return NotRun(refusal.reason)
        if is_new:
            task = asyncio.create_task(self._finish(work))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await record.wait()

    async def _finish(self, work: Work) -> None:
        outcome = await self._router.run(work)
        if work.key is not None:
            self._ledger.finish(work.key, outcome)
