"""Decides which records outlast the return of a registry from a copy.

The copy lacks what was written after it was taken, and holds what was removed
since. The writers repeat what was lost, though not at once. Until then a
record that is known to be newer than the copy stays in effect.
"""

from collections import Counter
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from lycheedyke.coordination._record_history import (
    RecordHistory,
    leaves_for_good,
)
from lycheedyke.protocol import (
    EntryRecord,
    EvacuationRecord,
    RegistryItem,
    RegistryRecord,
    RoutingRecord,
    UpstreamRecord,
)


class HoldReason(Enum):
    """Why a known item stays in effect in place of the registry's item."""

    lapsed = 'the registry no longer has it'
    outdated = 'the registry has an older one'
    removed = 'the registry has it back'
    unclear = 'the registry has it back, or it was written again'
    unwritten = 'the registry has a configuration of a lower number'


class Hold(NamedTuple):
    """A known item that stays in effect in place of the registry's item.

    Attributes:
        item: the known item; its revision is of the generation in which it
            was read.
        reason: why it stays in effect.
    """

    item: RegistryItem
    reason: HoldReason


def compare_with_copy(
    known: RegistryItem,
    present: RegistryItem,
    history: RecordHistory,
) -> HoldReason | None:
    """Returns why a known item stays in effect, or None if it does not.

    Args:
        known: the item in effect, under a revision of an earlier generation.
        present: the registry's item; without a record if it has none.
        history: the versions that were known in earlier generations.
    """
    if known.record is None:
        return _compare_with_removed(known, present, history)
    if isinstance(known.record, RoutingRecord):
        is_newer = _is_newer_configuration(known.record, present.record)
        return HoldReason.unwritten if is_newer else None
    if present.record is None:
        return HoldReason.lapsed
    if _is_newer_run(known.record, present.record):
        return HoldReason.outdated
    if present.revision > known.revision:
        return None
    if _is_other_incarnation(known.record, present.record):
        return _compare_origin(present, history, HoldReason.outdated)
    return None


def _compare_with_removed(
    removed: RegistryItem,
    present: RegistryItem,
    history: RecordHistory,
) -> HoldReason | None:
    """Returns why a removal stays in effect, or None if it does not."""
    if present.record is None:
        return HoldReason.removed
    if present.revision > removed.revision:
        return None
    last = history.last_record(present.key)
    if leaves_for_good(last, present.record):
        return HoldReason.removed
    origin = _compare_origin(present, history, HoldReason.removed)
    if origin is HoldReason.unclear and isinstance(
        present.record, EvacuationRecord
    ):
        # An evacuation that is ignored harms callers; one that comes back
        # for a moment costs room.
        return None
    return origin


def _compare_origin(
    present: RegistryItem,
    history: RecordHistory,
    reason: HoldReason,
) -> HoldReason | None:
    """Returns whether a record came back with the copy.

    Returns:
        `reason` if it did, None if it was written since, `unclear` if its
        identity does not tell.
    """
    if history.has_version(present):
        return reason
    return None if history.is_created_since(present) else HoldReason.unclear


def is_written_late(
    held: RegistryRecord | None,
    written: RegistryRecord | None,
) -> bool:
    """Returns whether a record that is written again is not the last one.

    What was lost is not written again in its old order.
    """
    if isinstance(held, RoutingRecord):
        return _is_newer_configuration(held, written)
    return (
        isinstance(held, UpstreamRecord)
        and held.leaving
        and written is not None
        and _is_newer_run(held, written)
    )


def replaces_configuration(
    offered: RegistryItem,
    known: RegistryItem | None,
) -> bool:
    """Returns whether a configuration that a peer holds is newer."""
    return _is_newer_configuration(
        offered.record,
        known.record if known is not None else None,
    )


def count_kept(holds: Mapping[str, Hold]) -> dict[str, int]:
    """Counts by kind the records in effect that a copy lacks or has older."""
    return dict(
        Counter(
            _kind(hold.item.record)
            for hold in holds.values()
            if hold.item.record is not None
        ),
    )


def count_dropped(
    items: Mapping[str, RegistryItem],
    holds: Mapping[str, Hold],
) -> dict[str, int]:
    """Counts by kind the records of a copy that were removed since."""
    return dict(
        Counter(
            _kind(items[key].record)
            for key, hold in holds.items()
            if hold.item.record is None and items[key].record is not None
        ),
    )


def _kind(record: RegistryRecord | None) -> str:
    return str(type(record).__struct_config__.tag) if record else ''


def _is_newer_configuration(
    known: RegistryRecord | None,
    present: RegistryRecord | None,
) -> bool:
    if not isinstance(known, RoutingRecord):
        return False
    number = present.number if isinstance(present, RoutingRecord) else 0
    return known.number > number


def _is_newer_run(known: RegistryRecord, other: RegistryRecord) -> bool:
    """Returns whether an upstream was started, or leaves, later."""
    return (
        isinstance(known, UpstreamRecord)
        and isinstance(other, UpstreamRecord)
        and (known.born, known.leaving) > (other.born, other.leaving)
    )


def _is_other_incarnation(
    known: RegistryRecord,
    other: RegistryRecord,
) -> bool:
    return (
        isinstance(known, EntryRecord)
        and isinstance(other, EntryRecord)
        and known.incarnation != other.incarnation
    )
