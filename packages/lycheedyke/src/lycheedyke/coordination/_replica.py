"""This instance's copy of what a registry tells.

Each item carries the registry's revision of its last change, so copies from
the registry and from peers merge in any order to the same state.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.protocol import (
    EntryRecord,
    ItemBatch,
    RegistryItem,
    RegistryRecord,
    UpstreamRecord,
)

# Traces of removed items that are kept, so that peers learn of the removal.
MOST_TRACES = 2_048

Follow = Callable[[RegistryItem, RegistryRecord | None], None]


class Replica:
    """Items by key, with those that lapsed in an outage kept for a while.

    Records that lapse by silence may do so because the registry was away.
    So what is removed until shortly after an outage is kept until its owner
    has had the time to write it again.

    Args:
        clock: the time.
        reappearance: how long after an outage a record may be back.
        on_change: called with each change that counts, and the record before.
    """

    def __init__(
        self,
        clock: Clock,
        reappearance: timedelta,
        on_change: Follow,
    ) -> None:
        """Starts without items."""
        self.revision = 0
        self._clock = clock
        self._reappearance = reappearance
        self._follow = on_change
        self._items: dict[str, RegistryItem] = {}
        self._lapsed: dict[str, RegistryItem] = {}
        self._suspicious_until = timedelta()

    def __repr__(self) -> str:
        """Returns the revision and the number of items."""
        return f'<Replica {self.revision} with {len(self._items)} items>'

    def record_outage(self) -> None:
        """Takes in that the registry is away, or has just come back."""
        self._suspicious_until = self._clock.elapsed() + self._reappearance

    def merge(self, batch: ItemBatch) -> int:
        """Takes in changes; returns how many were new.

        Args:
            batch: the changes, complete up to its revision.
        """
        count = sum(self._take(item) for item in batch.items)
        self.revision = max(self.revision, batch.revision)
        self._drop_traces()
        return count

    def merge_full_state(self, batch: ItemBatch) -> None:
        """Takes in the whole state: what it lacks is removed.

        Args:
            batch: all items; they are complete at its revision, and may
                hold later ones.
        """
        present = {item.key for item in batch.items}
        missing = [
            RegistryItem(key, batch.revision)
            for key, item in self._items.items()
            if key not in present
            and item.record is not None
            and item.revision <= batch.revision
        ]
        self.merge(ItemBatch(batch.revision, (*batch.items, *missing)))

    def changes_after(self, revision: int) -> ItemBatch:
        """Returns the items that changed after a revision."""
        return ItemBatch(
            self.revision,
            tuple(
                item
                for item in self._items.values()
                if item.revision > revision
            ),
        )

    def remove_lapsed(self) -> None:
        """Removes what lapsed in an outage and did not come back."""
        if self._clock.elapsed() < self._suspicious_until:
            return
        lapsed = self._lapsed
        self._lapsed = {}
        for key, last in lapsed.items():
            self._follow(self._items[key], last.record)

    def records(self) -> Iterable[RegistryRecord]:
        """Yields all records that count."""
        for key, item in self._items.items():
            kept = self._lapsed.get(key, item)
            if kept.record is not None:
                yield kept.record

    def _take(self, item: RegistryItem) -> bool:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._items[item.key] = item
        last = self._lapsed.pop(item.key, known)
        record = last.record if last is not None else None
        if item.record is None and last is not None and self._is_kept(record):
            self._lapsed[item.key] = last
            return True
        self._follow(item, record)
        return True

    def _drop_traces(self) -> None:
        """Forgets the older half of the traces once there are too many."""
        traces = sorted(
            item.revision
            for key, item in self._items.items()
            if item.record is None and key not in self._lapsed
        )
        if len(traces) <= MOST_TRACES:
            return
        oldest = traces[len(traces) // 2]
        self._items = {
            key: item
            for key, item in self._items.items()
            if item.record is not None
            or item.revision >= oldest
            or key in self._lapsed
        }

    def _is_kept(self, record: RegistryRecord | None) -> bool:
        if not isinstance(record, UpstreamRecord | EntryRecord):
            return False
        return self._clock.elapsed() < self._suspicious_until
