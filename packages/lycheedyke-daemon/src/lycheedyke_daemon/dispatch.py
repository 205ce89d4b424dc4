"""Decides at which instance a request runs.

Idempotent requests run at any instance. A request with an idempotency key runs
only at the home of its key.
"""

import asyncio
import logging

from lycheedyke.clock import Clock
from lycheedyke.coordination import Members
from lycheedyke.protocol import (
    IdempotencyKey,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from lycheedyke.state import KeyRecord, KeyRefused, KeyStore, KeyStoreSealed
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.forward import ANSWER_MARGIN, PeerClient
from lycheedyke_daemon.handover import KeyHomes
from lycheedyke_daemon.routing import Router
from lycheedyke_daemon.work import Work

_logger = logging.getLogger(__name__)


class Dispatcher:
    """Runs idempotent work here, and keyed work at the home of its key.

    Args:
        router: runs the work.
        homes: the key stores of this instance and the successors of others.
        members: the live instances.
        peers: forwards work to the homes of other keys.
        clock: measures the deadlines.
    """

    def __init__(
        self,
        router: Router,
        homes: KeyHomes,
        members: Members,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        """Initializes the dispatcher."""
        self._router = router
        self._homes = homes
        self._members = members
        self._peers = peers
        self._clock = clock
        self._runs = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the class and the number of keyed runs in flight."""
        return f'<Dispatcher with {len(self._runs)} keyed runs>'

    async def run(self, work: Work) -> Outcome:
        """Returns the outcome of the request of a caller."""
        if work.idempotent:
            return await self._router.run(work)
        if work.key is None:
            return NotRun(Reason.key_missing)
        if self._homes.find_store(work.key.home) is not None:
            return await self.run_as_home(work, work.key)
        successor = self._homes.find_successor(work.key.home)
        if successor is not None:
            return await self._peers.run(successor, work)
        home = self._members.find(work.key.home)
        if home is None:
            return Unknown(Reason.home_gone)
        return await self._peers.run(home.info, work)

    async def run_as_home(self, work: Work, key: IdempotencyKey) -> Outcome:
        """Returns the outcome of keyed work whose home is this instance."""
        store = self._homes.find_store(key.home)
        if store is None:
            return Unknown(Reason.home_gone)
        try:
            record, is_new = store.get_or_create(key, work.fingerprint())
        except KeyRefused as refusal:
            return refusal.outcome
        except KeyStoreSealed:
            return await self._run_at_successor(work, key)
        if is_new:
            self._runs.start(self._finish(work, key, store))
        return await self._wait(record, work)

    def refuse(self, key: IdempotencyKey | None, reason: Reason) -> Outcome:
        """Returns the outcome of a request that is refused before it runs.

        Only the home of a key can tell that the key did not run; at other
        instances the outcome is unknown.
        """
        if key is None:
            return NotRun(reason)
        store = self._homes.find_store(key.home)
        if store is None:
            return Unknown(reason)
        try:
            return store.refuse(key, reason)
        except KeyStoreSealed:
            return Unknown(reason)

    async def hand_over(self) -> None:
        """Waits for all keyed runs, and hands the keys to another instance.

        This method runs in a planned stop, while this instance still serves
        requests. Requests with new keys wait from the start of the handover,
        and are forwarded to the successor at its end.
        """
        self._homes.seal()
        await self._runs.close()
        await self._homes.hand_over()

    async def close(self) -> None:
        """Waits for all keyed runs."""
        await self._runs.close()

    async def _run_at_successor(
        self,
        work: Work,
        key: IdempotencyKey,
    ) -> Outcome:
        successor = await self._homes.wait_for_successor(key.home)
        if successor is None:
            return Unknown(Reason.stopping)
        return await self._peers.run(successor, work)

    async def _wait(self, record: KeyRecord, work: Work) -> Outcome:
        remaining = work.deadline + ANSWER_MARGIN - self._clock.elapsed()
        try:
            return await asyncio.wait_for(
                record.wait(),
                max(0, remaining.total_seconds()),
            )
        except TimeoutError:
            return Unknown(Reason.deadline_passed)

    async def _finish(
        self,
        work: Work,
        key: IdempotencyKey,
        store: KeyStore,
    ) -> None:
        outcome: Outcome = Unknown(Reason.internal_error)
        try:
            outcome = await self._router.run(work)
        except Exception:
            _logger.exception('request with an idempotency key failed')
        finally:
            store.finish(key, outcome)
