"""This instance's copy of the registry's items.

Each item carries the registry's revision of its last change. So items from
the registry and from peers can be merged in any order to the same state.
Revisions compare within one generation of the registry only; the first batch
of a later generation holds all its items and takes the place of all others.
"""

import logging
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination._holds import (
    Hold,
    HoldReason,
    compare_with_copy,
    count_dropped,
    count_kept,
    is_written_late,
    replaces_configuration,
)
from lycheedyke.coordination._record_history import (
    RecordHistory,
    leaves_for_good,
)
from lycheedyke.coordination._removal_deferral import (
    PeerDeferral,
    RemovalDeferral,
)
from lycheedyke.coordination._replica_items import (
    describe_keys,
    missing_items,
    without_old_tombstones,
)
from lycheedyke.coordination.configurations._awaited import (
    AwaitedConfigurations,
)
from lycheedyke.protocol import (
    ConfigurationNotice,
    EntryRecord,
    EvacuationRecord,
    ItemBatch,
    Position,
    RegistryItem,
    RegistryRecord,
    RoutingRecord,
    UpstreamRecord,
)

# A record that is back with a copy although its owner has ended lapses in the
# registry within this many times the time to write a record again.
RETURNED_PERIODS = 3
# An evacuation must be in force everywhere 5 s after it was written. One that
# was written under the revision of an earlier one can't be told from it.
MAX_EVACUATION_HOLD = timedelta(milliseconds=3500)

OnChange = Callable[[RegistryItem, RegistryRecord | None], None]
OnRestore = Callable[[Position], None]

_logger = logging.getLogger(__name__)


class Replica:
    """Items by key; records that the registry has lost stay for a while.

    A record lapses if it is not renewed, and the reason may be that the
    registry was unreachable. So a record that is removed during an outage or
    shortly after it stays in effect until its owner has had the time to
    write it again. The same holds for records that are missing or older in a
    copy from which the registry came back. A record that was removed since
    the copy does not take effect again unless the registry keeps it.

    Args:
        clock: measures the time since an outage.
        reappearance: how long after an outage a record may be written again.
        on_change: called with each effective change and the previous record.
        on_restore: called when the registry has come back from a copy.

    Attributes:
        position: the revision up to which the items are complete, but for
            what is awaited.
        awaited: the configurations whose content is missing.
    """

    def __init__(
        self,
        clock: Clock,
        reappearance: timedelta,
        on_change: OnChange,
        on_restore: OnRestore | None = None,
    ) -> None:
        """Initializes the replica without items."""
        self.position = Position(0, 0)
        self.awaited = AwaitedConfigurations(clock)
        self._clock = clock
        self._reappearance = reappearance
        self._on_change = on_change
        self._on_restore = on_restore
        self._items: dict[str, RegistryItem] = {}
        self._held: dict[str, Hold] = {}
        self._deferral = RemovalDeferral(clock, reappearance)
        self._history = RecordHistory()
        self._returned_at = timedelta()

    def __repr__(self) -> str:
        """Returns the position and the number of items."""
        return f'<Replica {self.position} with {len(self._items)} items>'

    @property
    def revision(self) -> int:
        """The registry's revision up to which the items are complete."""
        return self.position.revision

    @property
    def deferral(self) -> RemovalDeferral:
        """How long removals of records that may lapse are deferred."""
        return self._deferral

    def record_outage(self, lasted: timedelta) -> None:
        """Records that the registry answers again after an outage.

        Args:
            lasted: how long the registry answered nobody.
        """
        self._deferral.start('own calls', lasted)

    def merge_deferral(self, told: PeerDeferral, generation: int) -> None:
        """Merges what a peer told of outages in a generation.

        A peer that noticed the registry's return earlier has told when.
        """
        if generation != self.position.generation:
            return
        self._deferral.merge(told)
        steady_since = self._clock.elapsed() - self._deferral.steady
        self._returned_at = min(self._returned_at, steady_since)

    def merge(
        self,
        batch: ItemBatch,
        notices: Iterable[ConfigurationNotice] = (),
    ) -> int:
        """Merges changes; returns how many were new.

        Args:
            batch: the changes, which are complete up to its revision; all
                items if its generation is later than the one known here. The
                first state that a process reads is no return of the registry,
                whatever its generation.
            notices: configurations among the changes without their contents,
                which are then awaited.
        """
        if batch.generation < self.position.generation:
            return 0
        if batch.generation > self.position.generation and self.revision:
            self.awaited.replace(
                notice for notice in notices if not notice.is_held
            )
            self._restore(batch)
            count = len(batch.items)
        else:
            count = self.merge_some(batch)
            self.position = max(self.position, batch.position)
        for notice in notices:
            self._await_configuration(notice)
        return count

    def merge_some(self, batch: ItemBatch) -> int:
        """Merges items of the present generation, others are left out.

        Args:
            batch: the items; there may be others up to its revision.
        """
        if batch.generation != self.position.generation and self.revision:
            return 0
        held = set(self._held)
        count = sum(self._merge(item) for item in batch.items)
        self._drop_old_tombstones()
        self._report_deferred(self._held.keys() - held)
        return count

    def take_configuration(
        self, notice: ConfigurationNotice, record: RoutingRecord
    ) -> None:
        """Merges a configuration whose notice was known before."""
        item = RegistryItem(notice.key, notice.revision, record, notice.created)
        if notice.is_held:
            self.awaited.resolve_held(notice)
            self.adopt_configurations((item,))
        elif notice in self.awaited.notices or self._has_later(notice):
            self._merge(item)

    def merge_full_state(self, batch: ItemBatch) -> None:
        """Merges the full state; known items that it lacks are removed.

        Args:
            batch: all items; they are complete at its revision, and may
                include later changes.
        """
        if batch.generation != self.position.generation:
            self.merge(batch)
            return
        missing = missing_items(self._items, batch)
        items = (*batch.items, *missing)
        self.merge(ItemBatch(batch.revision, items, batch.generation))
        self.awaited.resolve_until(batch.revision)

    def changes_after(self, position: Position) -> ItemBatch:
        """Returns the items that changed after a position.

        These are all items if the position is of an earlier generation, and
        none if it is of a later one.
        """
        if position.generation < self.position.generation:
            found = tuple(self._items.values())
        elif position.generation > self.position.generation:
            found = ()
        else:
            found = tuple(
                item
                for item in self._items.values()
                if item.revision > position.revision
            )
        return ItemBatch(self.revision, found, self.position.generation)

    def held_configurations(self) -> tuple[RegistryItem, ...]:
        """Returns the configuration in force if the registry has lost it."""
        return tuple(
            hold.item
            for hold in self._held.values()
            if hold.reason is HoldReason.unwritten
        )

    def adopt_configurations(self, held: Iterable[RegistryItem]) -> None:
        """Adopts a newer configuration that a peer holds."""
        for item in held:
            known = self._effective_items().get(item.key)
            if not replaces_configuration(item, known):
                continue
            self._items.setdefault(item.key, RegistryItem(item.key, 0))
            self._held[item.key] = Hold(item, HoldReason.unwritten)
            self._on_change(item, known.record if known is not None else None)

    def remove_lapsed(self, answered: timedelta) -> None:
        """Ends the holds whose time is over; the registry's items count.

        Args:
            answered: the time of the registry's last known answer. A hold
                does not end while the registry is away.
        """
        ended = {
            key: hold
            for key, hold in self._held.items()
            if answered >= self._held_until(key, hold.reason)
        }
        for key, hold in ended.items():
            self._held.pop(key)
            item = self._items[key]
            if item.record != hold.item.record:
                self._on_change(item, hold.item.record)
        if ended:
            _logger.info('deferral ended', extra=describe_keys(ended))

    def records(self) -> Iterable[RegistryRecord]:
        """Yields all records in effect."""
        for item in self._effective_items().values():
            if item.record is not None:
                yield item.record

    def _report_deferred(self, keys: Collection[str]) -> None:
        if not keys:
            return
        _logger.info(
            'removal deferred',
            extra={
                **describe_keys(keys),
                'reason': 'may have lapsed in an outage',
                'until': self._deferral.describe_end(),
            },
        )

    def _await_configuration(self, notice: ConfigurationNotice) -> None:
        if notice.is_held:
            effective = self._effective_items().get(notice.key)
            record = effective.record if effective else None
            number = record.number if isinstance(record, RoutingRecord) else 0
            if notice.number > number:
                self.awaited.add(notice)
            return
        known = self._items.get(notice.key)
        if known is None or known.revision < notice.revision:
            self.awaited.add(notice)

    def _has_later(self, notice: ConfigurationNotice) -> bool:
        """Returns whether a later configuration of the key is awaited."""
        awaited = self.awaited.revision_of(notice.key)
        return awaited is not None and awaited > notice.revision

    def _merge(self, item: RegistryItem) -> bool:
        self.awaited.resolve(item.key, item.revision)
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._items[item.key] = item
        left = self._history.last_record(item.key)
        self._history.remember(item)
        hold = self._held.pop(item.key, None)
        if hold is not None:
            known = hold.item
        before = known.record if known is not None else None
        if hold is not None and (
            is_written_late(before, item.record)
            or leaves_for_good(left, item.record)
        ):
            self._held[item.key] = hold
        elif known is not None and self._is_removal_deferred(item, before):
            self._held[item.key] = Hold(known, HoldReason.lapsed)
        else:
            self._on_change(item, before)
        return True

    def _restore(self, batch: ItemBatch) -> None:
        """Takes over a later generation with all its items."""
        before = self._effective_items()
        left = self.position
        self.position = batch.position
        missing = {
            key: RegistryItem(key, self._revision_without(key, batch.revision))
            for key in before
        }
        self._items = missing | {item.key: item for item in batch.items}
        self._held = self._find_holds(before)
        self._deferral.start('restored copy')
        self._returned_at = self._clock.elapsed()
        for item in batch.items:
            self._history.remember(item)
        for key, item in self._items.items():
            record = before[key].record if key in before else None
            if key not in self._held and item.record != record:
                self._on_change(item, record)
        self._drop_old_tombstones()
        if before:
            self._report_restore(left)

    def _revision_without(self, key: str, revision: int) -> int:
        """Returns up to which revision a restored copy lacks a key."""
        awaited = self.awaited.revision_of(key)
        return revision if awaited is None else awaited - 1

    def _find_holds(
        self, before: Mapping[str, RegistryItem]
    ) -> dict[str, Hold]:
        holds = {}
        for key, known in before.items():
            reason = compare_with_copy(known, self._items[key], self._history)
            if reason is not None:
                holds[key] = Hold(known, reason)
        return holds

    def _report_restore(self, left: Position) -> None:
        kept = count_kept(self._held)
        dropped = count_dropped(self._items, self._held)
        _logger.warning(
            'registry restored',
            extra={
                'generation': self.position.generation,
                'generation_before': left.generation,
                'revision': self.revision,
                'revision_before': left.revision,
                'kept': kept,
                'dropped': dropped,
            },
        )
        if self._on_restore is not None:
            self._on_restore(self.position)

    def _effective_items(self) -> dict[str, RegistryItem]:
        held = {key: hold.item for key, hold in self._held.items()}
        return self._items | held

    def _held_until(self, key: str, reason: HoldReason) -> timedelta:
        match reason:
            case HoldReason.lapsed:
                return self._deferral.until
            case HoldReason.unwritten:
                return timedelta.max
            case HoldReason.unclear:
                return self._returned_at + self._reappearance
        lasts = RETURNED_PERIODS * self._reappearance
        if isinstance(self._items[key].record, EvacuationRecord):
            lasts = min(lasts, MAX_EVACUATION_HOLD)
        return self._returned_at + lasts

    def _drop_old_tombstones(self) -> None:
        kept = without_old_tombstones(self._items, self._held.keys())
        if kept is not self._items:
            self._items = kept
            self._history.retain(kept.keys())

    def _is_removal_deferred(
        self,
        item: RegistryItem,
        record: RegistryRecord | None,
    ) -> bool:
        if item.record is not None:
            return False
        if not isinstance(record, UpstreamRecord | EntryRecord):
            return False
        return self._deferral.left > timedelta()
