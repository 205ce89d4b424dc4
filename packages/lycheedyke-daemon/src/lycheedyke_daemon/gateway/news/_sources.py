"""From which instances an instance hears news, in which order."""

import logging
from collections.abc import Callable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination import ancestors_of, first_by_link, rank_by_link
from lycheedyke.protocol import EntryRecord
from lycheedyke_daemon.gateway._registry_view import RegistryView

# A poll of a source that does not answer takes as long as its timeout; this
# pause bounds how often that happens.
SILENT_PAUSE = timedelta(seconds=2)
MILLISECOND = timedelta(milliseconds=1)

_logger = logging.getLogger(__name__)


class NewsSources:
    """The watcher of the zone, the head, and the trees below them.

    An instance that did not answer lately is passed over, and the next one
    takes its place.

    Args:
        own: this instance.
        registry_view: provides the entry instances.
        clock: the time source.

    Attributes:
        teller: the address of the peer that told last of a configuration
            whose content is not known here; '' if none did.
        longest_pause: returns the longest recent pause of this process, for
            the log.
    """

    def __init__(
        self, own: EntryRecord, registry_view: RegistryView, clock: Clock
    ) -> None:
        """Starts with sources that all answer."""
        self.teller = ''
        self.longest_pause: Callable[[], timedelta] = timedelta
        self._own = own
        self._registry_view = registry_view
        self._clock = clock
        self._silent_until: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<NewsSources of {self._own.name}>'

    @property
    def is_watcher(self) -> bool:
        """Whether this instance provides its zone with updates."""
        watcher = self._watcher()
        return watcher is None or watcher.name == self._own.name

    def source(self) -> EntryRecord | None:
        """Returns the watcher of the zone, or the head; None at the head."""
        if not self.is_watcher:
            return self._watcher()
        head = first_by_link(self._heard())
        if head is None or head.name == self._own.name:
            return None
        return head

    def ancestors(self) -> list[EntryRecord]:
        """Returns those from whom this instance receives configurations.

        The nearest in its tree comes first. An instance that has not been
        announced yet has its later place in the tree.
        """
        tree = self._watchers() if self.is_watcher else self._zone()
        if all(each.name != self._own.name for each in tree):
            tree.append(self._own)
        return ancestors_of(self._own.name, rank_by_link(tree))

    def record(self, name: str, *, answered: bool) -> None:
        """Records whether a source has answered."""
        was_silent = self._silent_until.pop(name, None) is not None
        if not answered:
            self._silent_until[name] = self._clock.elapsed() + SILENT_PAUSE
        if was_silent == answered:
            event = 'news source regained' if answered else 'news source lost'
            paused_ms = self.longest_pause() // MILLISECOND
            _logger.info(event, extra={'peer': name, 'paused_ms': paused_ms})

    def _heard(self) -> list[EntryRecord]:
        """Returns this instance and all that have answered lately."""
        now = self._clock.elapsed()
        return [
            entry
            for entry in self._registry_view.active_entries()
            if entry.name == self._own.name
            or self._silent_until.get(entry.name, now) <= now
        ]

    def _zone(self) -> list[EntryRecord]:
        zone = self._own.zone
        return [each for each in self._heard() if each.zone == zone]

    def _watcher(self) -> EntryRecord | None:
        return first_by_link(self._zone())

    def _watchers(self) -> list[EntryRecord]:
        """Returns the watchers of all zones."""
        watchers: dict[str, EntryRecord] = {}
        for entry in rank_by_link(self._heard()):
            watchers.setdefault(entry.zone, entry)
        return list(watchers.values())
