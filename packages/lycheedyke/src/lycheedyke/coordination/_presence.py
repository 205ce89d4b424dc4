"""Announces this instance in the registry, and keeps it announced."""

import asyncio
import logging
import random
from datetime import timedelta

from lycheedyke.clock import Clock, wait_for_event
from lycheedyke.exceptions import LeaseExpired, PlatformError
from lycheedyke.protocol import Announcement, EntryRecord, Registry

# A dead instance is off the look-ups well within seven seconds.
TTL = timedelta(seconds=4)
RENEWALS_PER_TTL = 3
RETRY_PAUSE = timedelta(milliseconds=500)
# Many instances may lose their announcements at one moment.
MOST_SPREAD = timedelta(milliseconds=300)

_logger = logging.getLogger(__name__)


class Presence:
    """The announcement of one entry instance.

    Args:
        registry: where it is announced.
        entry: the instance.
        clock: the time.
        ttl: how long an announcement holds without renewal.
    """

    def __init__(
        self,
        registry: Registry,
        entry: EntryRecord,
        clock: Clock,
        ttl: timedelta = TTL,
    ) -> None:
        """Announces nothing yet."""
        self._registry = registry
        self._entry = entry
        self._clock = clock
        self._ttl = ttl
        self._announcement: Announcement | None = None
        self._is_wanted = True
        self._removed = asyncio.Event()

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<Presence of {self._entry.name}>'

    async def keep_announced(self) -> None:
        """Announces the instance and renews, until cancelled."""
        while self._is_wanted:
            try:
                await self._renew()
            except PlatformError as error:
                _logger.info(
                    'announcement not renewed', extra={'error': str(error)}
                )
                pause = RETRY_PAUSE
            else:
                pause = self._ttl / RENEWALS_PER_TTL
            await self._wait(pause * random.uniform(0.9, 1.1))

    def mark_removed(self) -> None:
        """Takes in that the announcement is gone from the registry.

        It is made again at once: until then no caller is sent here.
        """
        if self._announcement is not None and self._is_wanted:
            _logger.warning('announcement lost')
            self._announcement = None
            self._removed.set()

    async def withdraw(self) -> None:
        """Removes the announcement; it is not made again."""
        self._is_wanted = False
        announcement = self._announcement
        if announcement is None:
            return
        try:
            await self._registry.withdraw(announcement)
        except PlatformError as error:
            _logger.info(
                'announcement lapses by itself', extra={'error': str(error)}
            )

    async def _wait(self, pause: timedelta) -> None:
        """Waits for a time, or until shortly after the announcement is gone."""
        await wait_for_event(self._removed, self._clock, pause)
        if self._removed.is_set():
            self._removed.clear()
            await self._clock.sleep(MOST_SPREAD * random.random())

    async def _renew(self) -> None:
        announcement = self._announcement
        if announcement is not None:
            try:
                await self._registry.renew(announcement)
            except LeaseExpired:
                self._announcement = None
            else:
                return
        self._announcement = await self._registry.announce(
            self._entry,
            self._ttl,
        )
