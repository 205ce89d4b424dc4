"""Follows the log in the platform, as one of its zone's watchers or not."""

import logging
import random
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination._log_reader import LogReader
from lycheedyke.coordination._snapshotter import Snapshotter
from lycheedyke.exceptions import PlatformError

WATCH_WAIT = timedelta(seconds=20)
ROLE_INTERVAL = timedelta(milliseconds=500)
START_WAIT = timedelta(milliseconds=500)
START_SPREAD = timedelta(milliseconds=500)
FIRST_READ_SPREAD = timedelta(seconds=6)
SAFETY_INTERVAL = timedelta(seconds=60)
RETRY_LEAST = timedelta(milliseconds=500)
RETRY_MOST = timedelta(seconds=5)

_logger = logging.getLogger(__name__)


class TicketFollower:
    """Watches the log while it is this instance's turn.

    The other instances learn from their peers, and read the platform
    themselves about once a minute.

    Args:
        reader: brings the log up to the platform's.
        snapshotter: writes snapshots that are due.
        clock: waits.
        is_watcher: whether this instance is to watch now.
        count: called with a counter's name.
    """

    def __init__(
        self,
        reader: LogReader,
        snapshotter: Snapshotter,
        clock: Clock,
        is_watcher: Callable[[], bool],
        count: Callable[[str], None],
    ) -> None:
        """Makes a follower that has not read anything."""
        self._reader = reader
        self._snapshotter = snapshotter
        self._clock = clock
        self._is_watcher = is_watcher
        self._count = count
        self._backoff = RETRY_LEAST
        self._revision: int | None = None
        self._next_read = timedelta()

    def __repr__(self) -> str:
        """Returns the reader."""
        return f'TicketFollower({self._reader!r})'

    async def follow(self) -> None:
        """Follows the log until cancelled; backs off on failures."""
        # Peers are heard by then, so that few of many starters watch.
        await self._clock.sleep(START_WAIT + START_SPREAD * random.random())
        self._next_read = self._clock.elapsed() + (
            FIRST_READ_SPREAD * random.random()
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
                self._backoff = RETRY_LEAST

    async def step(self) -> None:
        """Reads or watches once, or waits for this instance's turn.

        Raises:
            PlatformError: the platform did not answer, or with old values.
        """
        if self._is_watcher():
            await self._watch()
        elif self._clock.elapsed() >= self._next_read:
            await self._read()
        else:
            self._revision = None
            await self._clock.sleep(ROLE_INTERVAL)

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
            SAFETY_INTERVAL * random.uniform(0.5, 1.5)
        )

    async def _back_off(self) -> None:
        await self._clock.sleep(self._backoff * random.uniform(0.5, 1))
        self._backoff = min(RETRY_MOST, self._backoff * 2)
