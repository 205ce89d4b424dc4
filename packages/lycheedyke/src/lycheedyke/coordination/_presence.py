"""Announces this instance in the registry and renews the announcement."""

import asyncio
import logging
import random
from datetime import timedelta

from lycheedyke.clock import Clock, wait_for_event
from lycheedyke.exceptions import LeaseExpired, PlatformError
from lycheedyke.protocol import Announcement, EntryRecord, Registry

# The lookups leave an ended instance out well within seven seconds.
ANNOUNCEMENT_TTL = timedelta(seconds=4)
RENEWALS_PER_TTL = 3
RETRY_DELAY = timedelta(milliseconds=500)
# Many instances may lose their announcements at the same moment; the random
# delay spreads the new announcements.
MAX_REANNOUNCE_DELAY = timedelta(milliseconds=300)
# All instances lose theirs when the registry comes back from an older copy,
# and the registry's other writers write then too.
MAX_RESTORE_DELAY = timedelta(seconds=1)

_logger = logging.getLogger(__name__)


class Presence:
    """The announcement of one entry instance in the registry.

    Args:
        registry: the registry in which the instance is announced.
        entry: the record of the instance.
        clock: waits between renewals.
        ttl: how long an announcement stays valid without renewal.
    """

    def __init__(
        self,
        registry: Registry,
        entry: EntryRecord,
        clock: Clock,
        ttl: timedelta = ANNOUNCEMENT_TTL,
    ) -> None:
        """Initializes the presence without an announcement."""
        self._registry = registry
        self._entry = entry
        self._clock = clock
        self._ttl = ttl
        self._announcement: Announcement | None = None
        self._is_wanted = True
        self._generation = 0
        self._removed = asyncio.Event()
        self._max_delay = MAX_REANNOUNCE_DELAY

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<Presence of {self._entry.name}>'

    async def keep_announced(self) -> None:
        """Announces the instance and renews it, until cancelled or withdrawn."""
        while self._is_wanted:
            try:
                await self._renew()
            except PlatformError as error:
                _logger.info(
                    'announcement not renewed', extra={'error': str(error)}
                )
                pause = RETRY_DELAY
            else:
                pause = self._ttl / RENEWALS_PER_TTL
            await self._wait_or_removal(pause * random.uniform(0.9, 1.1))

    def mark_removed(self) -> None:
        """Marks the announcement as removed from the registry.

        The announcement is made again at once, since callers are not
        directed to this instance until then.
        """
        if self._announcement is not None and self._is_wanted:
            _logger.warning('announcement lost')
            self._announce_again(MAX_REANNOUNCE_DELAY)

    def mark_restored(self, generation: int) -> None:
        """Marks the registry as restored from an older copy.

        The announcement is made again, also if the copy holds it: its lease
        may have been given to another instance.
        """
        self._generation = max(self._generation, generation)
        if self._is_outdated(self._announcement) and self._is_wanted:
            self._announce_again(MAX_RESTORE_DELAY)

    async def withdraw(self) -> None:
        """Removes the announcement; it is not made again."""
        self._is_wanted = False
        announcement = self._announcement
        if announcement is None or self._is_outdated(announcement):
            return
        try:
            await self._registry.withdraw(announcement)
        except PlatformError as error:
            _logger.info(
                'announcement lapses by itself', extra={'error': str(error)}
            )

    async def _wait_or_removal(self, pause: timedelta) -> None:
        """Waits for a time, or until shortly after a removal is marked."""
        await wait_for_event(self._removed, self._clock, pause)
        if self._removed.is_set():
            self._removed.clear()
            await self._clock.sleep(self._max_delay * random.random())

    def _announce_again(self, max_delay: timedelta) -> None:
        self._announcement = None
        self._max_delay = max_delay
        self._removed.set()

    def _is_outdated(self, announcement: Announcement | None) -> bool:
        if announcement is None:
            return False
        return announcement.generation < self._generation

    async def _renew(self) -> None:
        announcement = self._announcement
        if announcement is not None and not self._is_outdated(announcement):
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
