"""This instance's copy of the registry's items.

Each item carries the registry's revision of its last change. So items from
the registry and from peers can be merged in any order to the same state.
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

# Removed items are kept as tombstones, so that peers get the removal too.
MAX_TOMBSTONES = 2_048

OnChange = Callable[[RegistryItem, RegistryRecord | None], None]


class Replica:
    """Items by key; records that lapse in an outage stay for a while.

    A record lapses if it is not renewed, and the reason may be that the
    registry was unreachable. So a record that is removed during an outage or
    shortly after it stays in effect until its owner has had the time to
    write it again.

    Args:
        clock: measures the time since an outage.
        reappearance: how long after an outage a record may be written again.
        on_change: called with each effective change and the previous record.
    """

    def __init__(
        self,
        clock: Clock,
        reappearance: timedelta,
        on_change: OnChange,
    ) -> None:
        """Initializes the replica without items."""
        self.revision = 0
        self._clock = clock
        self._reappearance = reappearance
        self._on_change = on_change
        self._items: dict[str, RegistryItem] = {}
        self._lapsed: dict[str, RegistryItem] = {}
        self._removals_deferred_until = timedelta()

    def __repr__(self) -> str:
        """Returns the revision and the number of items."""
        return f'<Replica {self.revision} with {len(self._items)} items>'

    def record_outage(self) -> None:
        """Records that the registry is unreachable or has just recovered."""
        self._removals_deferred_until = (
            self._clock.elapsed() + self._reappearance
        )

    def merge(self, batch: ItemBatch) -> int:
        """Merges changes; returns how many were new.

        Args:
            batch: the changes, which are complete up to its revision.
        """
        count = sum(self._merge(item) for item in batch.items)
        self.revision = max(self.revision, batch.revision)
        self._drop_old_tombstones()
        return count

    def merge_full_state(self, batch: ItemBatch) -> None:
        """Merges the full state; known items that it lacks are removed.

        Args:
            batch: all items; they are complete at its revision, and may
                include later changes.
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
        """Removes records that lapsed in an outage and were not renewed."""
        if self._clock.elapsed() < self._removals_deferred_until:
            return
        lapsed = self._lapsed
        self._lapsed = {}
        for key, last in lapsed.items():
            self._on_change(self._items[key], last.record)

    def records(self) -> Iterable[RegistryRecord]:
        """Yields all records in effect."""
        for key, item in self._items.items():
            kept = self._lapsed.get(key, item)
            if kept.record is not None:
                yield kept.record

    def _merge(self, item: RegistryItem) -> bool:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._items[item.key] = item
        last = self._lapsed.pop(item.key, known)
        record = last.record if last is not None else None
        if (
            item.record is None
            and last is not None
            and self._is_removal_deferred(record)
        ):
            self._lapsed[item.key] = last
            return True
        self._on_change(item, record)
        return True

    def _drop_old_tombstones(self) -> None:
        """Drops the older half of the tombstones once there are too many."""
        tombstones = sorted(
            item.revision
            for key, item in self._items.items()
            if item.record is None and key not in self._lapsed
        )
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        oldest = tombstones[len(tombstones) // 2]
        self._items = {
            key: item
            for key, item in self._items.items()
            if item.record is not None
            or item.revision >= oldest
            or key in self._lapsed
        }

    def _is_removal_deferred(self, record: RegistryRecord | None) -> bool:
        if not isinstance(record, UpstreamRecord | EntryRecord):
            return False
        return self._clock.elapsed() < self._removals_deferred_until
