"""Keeps the replica up to date: from the registry, or else from peers.

One instance of all, the head, asks the registry. One instance of each zone,
its watcher, asks the head, and the others ask their watcher; so the calls to
the registry grow neither with instances nor with zones. Whoever hears nothing
fresh that way asks the registry itself. An instance without any news asks
peers of all zones.
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
from lycheedyke.protocol import Registry, RegistryUpdate

_logger = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)
MOST_DOUBLINGS = 8


class UpdateSources(Protocol):
    """The other entry instances, as sources of news."""

    @property
    def is_watcher(self) -> bool:
        """Whether this instance tells its zone the news."""

    async def poll_source(self, after: int) -> RegistryUpdate | None:
        """Returns the news of the zone's watcher, or of the head.

        Returns:
            None if this instance is the head, or its source is silent.
        """

    async def poll_sample(self, after: int) -> list[RegistryUpdate]:
        """Returns the news of some instances of any zone."""


class FollowIntervals(NamedTuple):
    """How often the registry and peers are asked.

    The ages that add up on the way from the registry over the head and a
    watcher stay below `silence`. Twice `silence` is less than the 2.5 s in
    which the users' instances have to follow a record.

    Attributes:
        registry: between two questions to the registry.
        wait: how long such a question waits for a change.
        head: between two questions of a watcher to the head.
        watcher: between two questions to the zone's watcher.
        retry: from a failed call of the registry to the next one.
        max_retry: the same for those that others tell the news, after some
            failures.
        silence: without news for that long, peers are asked.
    """

    registry: timedelta = timedelta(milliseconds=250)
    wait: timedelta = timedelta(milliseconds=250)
    head: timedelta = timedelta(milliseconds=200)
    watcher: timedelta = timedelta(milliseconds=400)
    retry: timedelta = timedelta(milliseconds=300)
    max_retry: timedelta = timedelta(seconds=3)
    silence: timedelta = timedelta(milliseconds=1200)


DEFAULT_INTERVALS = FollowIntervals()


class RegistryFollower:
    """Reads a registry into a replica.

    Args:
        registry: the registry.
        replica: the copy to keep up to date.
        peers: the other entry instances.
        clock: the time.
        intervals: how often to ask.
    """

    def __init__(
        self,
        registry: Registry,
        replica: Replica,
        peers: UpdateSources,
        clock: Clock,
        intervals: FollowIntervals = DEFAULT_INTERVALS,
    ) -> None:
        """Makes a follower that has read nothing."""
        self._registry = registry
        self._replica = replica
        self._peers = peers
        self._clock = clock
        self._pauses = intervals
        self._heard = clock.elapsed()
        self._is_read = False
        self._failed_since: timedelta | None = None
        self._failures = 0
        self._retry_at = timedelta()

    @property
    def age(self) -> timedelta:
        """How long ago the registry told what is known here.

        While the registry turns this instance away, it is no less than the
        age at which others ask the registry themselves.
        """
        age = self._clock.elapsed() - self._heard
        if self._failed_since is None:
            return age
        return max(age, self._pauses.silence)

    def __repr__(self) -> str:
        """Returns the replica."""
        return f'<RegistryFollower of {self._replica!r}>'

    async def follow(self) -> None:
        """Follows the registry, or a peer that does, until cancelled."""
        while True:
            await self._clock.sleep(await self._hear())

    async def follow_peers(self) -> None:
        """Asks peers while there is no news, until cancelled."""
        while True:
            await self._clock.sleep(self._pauses.retry)
            self._replica.remove_lapsed()
            if self._is_fresh(self._heard):
                continue
            # Records may lapse that nobody could renew.
            self._replica.record_outage()
            for news in await self._peers.poll_sample(self._replica.revision):
                self._take(news)

    async def _hear(self) -> timedelta:
        """Asks for news; returns the pause until the next time."""
        news = await self._peers.poll_source(self._replica.revision)
        if news is not None and self._take(news):
            self._note_regained()
            return self._poll_pause * random.uniform(0.9, 1.1)
        asked = self._clock.elapsed()
        if asked < self._retry_at:
            return min(self._poll_pause, self._retry_at - asked)
        try:
            await self._ask()
        except PlatformError as error:
            self._note_failure(error)
            return min(self._poll_pause, self._retry_at - self._clock.elapsed())
        self._note_answer()
        took = self._clock.elapsed() - asked
        return max(self._pauses.registry - took, MILLISECOND)

    @property
    def _poll_pause(self) -> timedelta:
        if self._peers.is_watcher:
            return self._pauses.head
        return self._pauses.watcher

    def _take(self, news: RegistryUpdate) -> bool:
        """Takes in a peer's news; returns whether they are fresh."""
        told = self._clock.elapsed() - news.age_ms * MILLISECOND
        self._replica.merge(news.batch)
        self._heard = max(self._heard, told)
        self._is_read = self._is_read or self._replica.revision > 0
        return self._is_fresh(told)

    def _is_fresh(self, told: timedelta) -> bool:
        return self._clock.elapsed() - told < self._pauses.silence

    async def _ask(self) -> None:
        if not self._is_read:
            self._replica.merge_full_state(await self._registry.read_all())
            self._is_read = True
            return
        try:
            batch = await self._registry.watch(
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
        self._replica.merge(batch)

    def _note_answer(self) -> None:
        self._heard = self._clock.elapsed()
        self._note_regained()

    def _note_regained(self) -> None:
        if self._failed_since is None:
            return
        away = self._clock.elapsed() - self._failed_since
        self._failures = 0
        self._failed_since = None
        self._replica.record_outage()
        _logger.info(
            'registry regained',
            extra={'away_s': away.total_seconds()},
        )

    def _note_failure(self, error: PlatformError) -> None:
        self._replica.record_outage()
        pause = self._pauses.retry
        if not self._peers.is_watcher:
            pause *= 2 ** min(self._failures, MOST_DOUBLINGS)
            pause = min(pause, self._pauses.max_retry)
        self._retry_at = self._clock.elapsed() + (
            pause * random.uniform(0.5, 1.5)
        )
        self._failures += 1
        if self._failed_since is not None:
            return
        self._failed_since = self._clock.elapsed()
        _logger.warning('registry lost', extra={'error': str(error)})
