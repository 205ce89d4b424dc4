"""Follows the ticket log in the platform: by watching or by rare reads."""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination._log_reader import LogReader
from lycheedyke.coordination._snapshotter import Snapshotter
from lycheedyke.exceptions import PlatformError

WATCH_WAIT = timedelta(seconds=20)
ROLE_CHECK_INTERVAL = timedelta(milliseconds=500)
START_WAIT = timedelta(milliseconds=500)
START_JITTER = timedelta(milliseconds=500)
FIRST_READ_JITTER = timedelta(seconds=6)
UNWATCHED_READ_INTERVAL = timedelta(seconds=60)
MIN_BACKOFF = timedelta(milliseconds=500)
MAX_BACKOFF = timedelta(seconds=5)

_logger = logging.getLogger(__name__)


class TicketFollower:
    """Watches the log while this instance is one of its zone's watchers.

    The other instances get tickets from their peers, and read the platform
    themselves about once a minute.

    Args:
        reader: reads newer tickets from the platform into the log.
        snapshotter: writes a snapshot when one is due.
        clock: measures time and waits.
        is_watcher: returns whether this instance should watch now.
        count: increments the counter of a name.
    """

    def __init__(
        self,
        reader: LogReader,
        snapshotter: Snapshotter,
        clock: Clock,
        is_watcher: Callable[[], bool],
        count: Callable[[str], None],
    ) -> None:
        """Initializes the follower; the first read is a full one."""
        self._reader = reader
        self._snapshotter = snapshotter
        self._clock = clock
        self._is_watcher = is_watcher
        self._count = count
        self._backoff = MIN_BACKOFF
        self._revision: int | None = None
        self._next_read = timedelta()

    def __repr__(self) -> str:
        """Returns the reader."""
        return f'TicketFollower({self._reader!r})'

    async def follow(self) -> None:
        """Follows the log until cancelled, with a backoff after failures."""
        # Peers are known after this wait, so that only few of many instances
        # that start at once watch the platform.
        await self._clock.sleep(START_WAIT + START_JITTER * random.random())
        self._next_read = self._clock.elapsed() + (
            FIRST_READ_JITTER * random.random()
        )
        while True:
            try:
                await self.step()
            except PlatformError as error:
                self._count('platform.failed')
                _logger.info('platform call failed: %s', error)
                self._revision = None
                await self._back_off()
            else:
                self._backoff = MIN_BACKOFF

    async def step(self) -> None:
        """Watches once, reads if that is due, or else waits for a short time.

        Raises:
            PlatformError: the platform did not answer, or its values are
                out of date.
        """
        if self._is_watcher():
            await self._watch()
        elif self._clock.elapsed() >= self._next_read:
            await self._read()
        else:
            self._revision = None
            await self._clock.sleep(ROLE_CHECK_INTERVAL)

    async def _watch(self) -> None:
        if self._revision is None:
            await self._read()
        else:
            self._revision = await self._reader.watch(
                self._revision,
                WATCH_WAIT * random.uniform(0.5, 1),
            )
        await self._snapshotter.step()

    async def _read(self) -> None:
        self._revision = await self._reader.read()
        self._next_read = self._clock.elapsed() + (
            UNWATCHED_READ_INTERVAL * random.uniform(0.5, 1.5)
        )

    async def _back_off(self) -> None:
        await self._clock.sleep(self._backoff * random.uniform(0.5, 1))
        self._backoff = min(MAX_BACKOFF, self._backoff * 2)
