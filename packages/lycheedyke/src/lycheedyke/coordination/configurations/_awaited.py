"""The configurations that are known to exist and whose content is missing."""

import asyncio
import logging
from collections.abc import Iterable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.protocol import ConfigurationNotice

_logger = logging.getLogger(__name__)


class AwaitedConfigurations:
    """The newest configuration of each key, until its content is here.

    Args:
        clock: the time source.
    """

    def __init__(self, clock: Clock) -> None:
        """Starts with nothing awaited."""
        self._clock = clock
        self._notices: dict[tuple[str, bool], ConfigurationNotice] = {}
        self._since = timedelta()
        self._changed = asyncio.Event()

    def __repr__(self) -> str:
        """Returns the number of configurations."""
        return f'<AwaitedConfigurations: {len(self._notices)}>'

    @property
    def notices(self) -> tuple[ConfigurationNotice, ...]:
        """The configurations whose content is missing."""
        return tuple(self._notices.values())

    @property
    def waited(self) -> timedelta:
        """How long this instance has known of a configuration it lacks."""
        if not self._notices:
            return timedelta()
        return self._clock.elapsed() - self._since

    def revision_before(self, revision: int) -> int:
        """Returns up to which revision the items are complete.

        Args:
            revision: the revision up to which they are, but for what is
                awaited.
        """
        missing = (
            notice.revision - 1
            for notice in self._notices.values()
            if not notice.is_held
        )
        return min((revision, *missing))

    def revision_of(self, key: str) -> int | None:
        """Returns the revision of the awaited item of a key."""
        notice = self._notices.get((key, False))
        return None if notice is None else notice.revision

    def add(self, notice: ConfigurationNotice) -> None:
        """Awaits a configuration, unless a newer one of its key is."""
        key = (notice.key, notice.is_held)
        known = self._notices.get(key)
        if known is not None and _rank(known) >= _rank(notice):
            return
        if not self._notices:
            self._since = self._clock.elapsed()
        self._notices[key] = notice
        self._changed.set()
        _logger.info(
            'configuration awaited',
            extra={'version': notice.number, 'revision': notice.revision},
        )

    def resolve(self, key: str, revision: int) -> None:
        """Ends the wait for an item whose content or successor has come."""
        awaited = self.revision_of(key)
        if awaited is not None and awaited <= revision:
            del self._notices[(key, False)]

    def resolve_held(self, notice: ConfigurationNotice) -> None:
        """Ends the wait for a held configuration."""
        if self._notices.get((notice.key, True)) == notice:
            del self._notices[(notice.key, True)]

    def resolve_until(self, revision: int) -> None:
        """Ends the wait for all items up to a revision."""
        for key, _ in list(self._notices):
            self.resolve(key, revision)

    def replace(self, notices: Iterable[ConfigurationNotice]) -> None:
        """Awaits these configurations only."""
        self._notices.clear()
        for notice in notices:
            self.add(notice)

    async def wait(self) -> ConfigurationNotice:
        """Waits until a configuration is awaited, and returns one."""
        while not self._notices:
            self._changed.clear()
            await self._changed.wait()
        return next(iter(self._notices.values()))


def _rank(notice: ConfigurationNotice) -> tuple[int, int]:
    """Returns by what a notice is compared with others of its key.

    Revisions of held configurations may be of other generations, so these are
    compared by their numbers.
    """
    if notice.is_held:
        return notice.number, 0
    return notice.revision, notice.number
