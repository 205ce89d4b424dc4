"""Keeps the replica up to date: from the registry, or else from peers."""

import logging
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.coordination._replica import Replica
from lycheedyke.exceptions import (
    HistoryLost,
    LycheedykeError,
    PlatformError,
)
from lycheedyke.protocol import ItemBatch, Registry

_logger = logging.getLogger(__name__)

AskPeers = Callable[[int], Awaitable[list[ItemBatch]]]


class FollowPauses(NamedTuple):
    """How often the registry and peers are asked.

    Attributes:
        poll: from one answer of the registry to the next question.
        wait: how long a question waits for a change.
        retry: from a failed call to the next one.
        silence: without news for that long, peers are asked.
        reread: from one reading of everything to the next.
    """

    poll: timedelta = timedelta(milliseconds=500)
    wait: timedelta = timedelta(seconds=1)
    retry: timedelta = timedelta(milliseconds=300)
    silence: timedelta = timedelta(milliseconds=1200)
    reread: timedelta = timedelta(seconds=20)


DEFAULT_PAUSES = FollowPauses()


class RegistryFollower:
    """Reads a registry into a replica.

    Args:
        registry: the registry.
        replica: the copy to keep up to date.
        ask_peers: returns what live peers know after a revision.
        clock: the time.
        pauses: how often to ask.
    """

    def __init__(
        self,
        registry: Registry,
        replica: Replica,
        ask_peers: AskPeers,
        clock: Clock,
        pauses: FollowPauses = DEFAULT_PAUSES,
    ) -> None:
        """Makes a follower that has read nothing."""
        self.is_in_touch = False
        self._registry = registry
        self._replica = replica
        self._ask_peers = ask_peers
        self._clock = clock
        self._pauses = pauses
        self._heard = clock.elapsed()
        self._is_read = False
        self._failed_since: timedelta | None = None

    def __repr__(self) -> str:
        """Returns the replica."""
        return f'<RegistryFollower of {self._replica!r}>'

    async def follow(self) -> None:
        """Follows the registry until cancelled."""
        while True:
            try:
                await self._ask()
            except PlatformError as error:
                self._note_failure(error)
                pause = self._pauses.retry * random.uniform(0.5, 1.5)
            else:
                self._note_answer()
                pause = self._pauses.poll * random.uniform(0.9, 1.1)
            await self._clock.sleep(pause)

    async def follow_peers(self) -> None:
        """Asks peers while the registry is silent, until cancelled."""
        pause = self._pauses.retry
        while True:
            await self._clock.sleep(pause)
            self._replica.drop_lapsed()
            if self._clock.elapsed() - self._heard < self._pauses.silence:
                continue
            try:
                batches = await self._ask_peers(self._replica.revision)
            except LycheedykeError as error:
                _logger.debug('peers have no news: %s', error)
                continue
            for batch in batches:
                self._replica.take(batch)

    async def _ask(self) -> None:
        if not self._is_read:
            self._replica.take_all(await self._registry.read())
            self._is_read = True
            return
        try:
            batch = await self._registry.changes(
                self._replica.revision,
                self._pauses.wait,
            )
        except HistoryLost:
            self._is_read = False
            _logger.info(
                'history lost',
                extra={'revision': self._replica.revision},
            )
            await self._ask()
            return
        self._replica.take(batch)

    def _note_answer(self) -> None:
        now = self._clock.elapsed()
        self._heard = now
        self.is_in_touch = True
        if self._failed_since is None:
            return
        away = now - self._failed_since
        self._failed_since = None
        self._replica.note_outage()
        _logger.info(
            'registry regained',
            extra={'away_s': away.total_seconds()},
        )

    def _note_failure(self, error: PlatformError) -> None:
        self._replica.note_outage()
        if self._failed_since is not None:
            return
        self.is_in_touch = False
        self._failed_since = self._clock.elapsed()
        _logger.warning('registry lost: %s', error)
