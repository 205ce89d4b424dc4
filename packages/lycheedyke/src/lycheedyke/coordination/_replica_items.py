"""Functions on the items of a replica."""

from collections.abc import Collection, Mapping, Set

from lycheedyke.protocol import ItemBatch, RegistryItem

# Removed items are kept as tombstones, so that peers get the removal too.
MAX_TOMBSTONES = 2_048
# The most keys that a log line names.
MAX_LOGGED_KEYS = 10


def missing_items(
    items: Mapping[str, RegistryItem], batch: ItemBatch
) -> list[RegistryItem]:
    """Returns the removals of known items that a full state lacks."""
    present = {item.key for item in batch.items}
    return [
        RegistryItem(key, batch.revision)
        for key, item in items.items()
        if key not in present
        and item.record is not None
        and item.revision <= batch.revision
    ]


def without_old_tombstones(
    items: dict[str, RegistryItem], held: Set[str]
) -> dict[str, RegistryItem]:
    """Returns items without the older half of too many tombstones.

    Args:
        items: the items, which are returned unless there are too many.
        held: the keys whose tombstones are kept.
    """
    tombstones = sorted(
        item.revision
        for key, item in items.items()
        if item.record is None and key not in held
    )
    if len(tombstones) <= MAX_TOMBSTONES:
        return items
    oldest = tombstones[len(tombstones) // 2]
    return {
        key: item
        for key, item in items.items()
        if item.record is not None or item.revision >= oldest or key in held
    }


def describe_keys(keys: Collection[str]) -> dict[str, object]:
    """Returns the fields of a log line on records, whose number may be large."""
    return {'count': len(keys), 'keys': sorted(keys)[:MAX_LOGGED_KEYS]}
