"""Keeps the replica up to date: from the registry, or else from peers.

One instance of each zone, the watcher, asks the registry; the others ask the
watcher, and the registry themselves where the watcher has no fresh news. An
instance without any news asks peers of all zones.
"""

import logging
import random
from datetime import timedelta
from typing import NamedTuple, Protocol

from lycheedyke.clock import Clock
from lycheedyke.coordination._replica import Replica
from lycheedyke.exceptions import (
    HistoryLost,
    PlatformError,
)
from lycheedyke.protocol import News, Registry

_logger = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)


class Peers(Protocol):
    """The other entry instances, as sources of news."""

    async def ask_watcher(self, after: int) -> News | None:
        """Returns the news of the zone's watcher.

        Returns:
            None if this instance is the watcher, or the watcher is silent.
        """

    async def ask_some(self, after: int) -> list[News]:
        """Returns the news of some instances of any zone."""


class FollowPauses(NamedTuple):
    """How often the registry and peers are asked.

    Attributes:
        poll: from one answer of the registry to the next question.
        wait: how long a question waits for a change.
        retry: from a failed call to the next one.
        silence: without news for that long, peers are asked.
    """

    poll: timedelta = timedelta(milliseconds=500)
    wait: timedelta = timedelta(seconds=1)
    retry: timedelta = timedelta(milliseconds=300)
    silence: timedelta = timedelta(milliseconds=1200)


DEFAULT_PAUSES = FollowPauses()


class RegistryFollower:
    """Reads a registry into a replica.

    Args:
        registry: the registry.
        replica: the copy to keep up to date.
        peers: the other entry instances.
        clock: the time.
        pauses: how often to ask.
    """

    def __init__(
        self,
        registry: Registry,
        replica: Replica,
        peers: Peers,
        clock: Clock,
        pauses: FollowPauses = DEFAULT_PAUSES,
    ) -> None:
        """Makes a follower that has read nothing."""
        self._registry = registry
        self._replica = replica
        self._peers = peers
        self._clock = clock
        self._pauses = pauses
        self._heard = clock.elapsed()
        self._is_read = False
        self._failed_since: timedelta | None = None

    @property
    def age(self) -> timedelta:
        """How long ago the registry told what is known here."""
        return self._clock.elapsed() - self._heard

    def __repr__(self) -> str:
        """Returns the replica."""
        return f'<RegistryFollower of {self._replica!r}>'

    async def follow(self) -> None:
        """Follows the registry, or the watcher, until cancelled."""
        while True:
            pause = self._pauses.poll * random.uniform(0.9, 1.1)
            if not await self._hear_watcher() and not await self._hear():
                pause = self._pauses.retry * random.uniform(0.5, 1.5)
            await self._clock.sleep(pause)

    async def follow_peers(self) -> None:
        """Asks peers while there is no news, until cancelled."""
        while True:
            await self._clock.sleep(self._pauses.retry)
            self._replica.drop_lapsed()
            if self._is_fresh(self._heard):
                continue
            for news in await self._peers.ask_some(self._replica.revision):
                self._take(news)

    async def _hear_watcher(self) -> bool:
        news = await self._peers.ask_watcher(self._replica.revision)
        return news is not None and self._take(news)

    async def _hear(self) -> bool:
        """Asks the registry; returns whether it answered."""
        try:
            await self._ask()
        except PlatformError as error:
            self._note_failure(error)
            return False
        self._note_answer()
        return True

    def _take(self, news: News) -> bool:
        """Takes in a peer's news; returns whether they are fresh."""
        told = self._clock.elapsed() - news.age_ms * MILLISECOND
        self._replica.take(news.batch)
        self._heard = max(self._heard, told)
        self._is_read = self._is_read or self._replica.revision > 0
        return self._is_fresh(told)

    def _is_fresh(self, told: timedelta) -> bool:
        return self._clock.elapsed() - told < self._pauses.silence

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
        self._failed_since = self._clock.elapsed()
        _logger.warning('registry lost: %s', error)
