"""Replaces configurations in updates by notices, and the other way round.

The content of a configuration is requested apart, so that small news don't
wait for it.
"""

import msgspec

from lycheedyke.coordination import ConfigurationDocuments, Replica
from lycheedyke.protocol import (
    ConfigurationNotice,
    ItemBatch,
    Position,
    RegistryItem,
    RegistryUpdate,
    RoutingRecord,
)


def split_configurations(
    update: RegistryUpdate,
    replica: Replica,
    documents: ConfigurationDocuments,
    after: Position,
) -> RegistryUpdate:
    """Returns an update with notices in place of configurations.

    Args:
        update: the update with all that the replica has.
        replica: tells which configurations it lacks itself.
        documents: provides the digests.
        after: the position of the receiver.
    """
    items, configurations = _split(update.batch.items)
    awaited = replica.awaited
    revision = update.batch.revision
    if after.revision:
        told = [
            notice
            for notice in awaited.notices
            if not notice.is_held
            and (
                notice.revision > after.revision
                or after.generation < update.batch.generation
            )
        ]
        known = [
            item for item in configurations if not awaited.revision_of(item.key)
        ]
    else:
        # A new process takes what it can get at once, and hears of the rest
        # in its next poll.
        told, known = [], configurations
        revision = awaited.revision_before(revision)
    notices = (
        *told,
        *(_to_notice(item, documents) for item in known),
        *(_to_notice(item, documents, is_held=True) for item in update.held),
    )
    return msgspec.structs.replace(
        update,
        batch=ItemBatch(revision, tuple(items), update.batch.generation),
        held=(),
        configurations=notices,
    )


def resolve_notices(
    update: RegistryUpdate, documents: ConfigurationDocuments
) -> RegistryUpdate:
    """Returns an update with all configurations whose content is known.

    Args:
        update: the update of a peer; notices of other contents are left.
        documents: the known contents.
    """
    items = list(update.batch.items)
    held = list(update.held)
    unknown = []
    for notice in update.configurations:
        document = documents.find(notice.digest)
        if document is None:
            unknown.append(notice)
        else:
            place = held if notice.is_held else items
            place.append(
                RegistryItem(
                    notice.key,
                    notice.revision,
                    document.record,
                    notice.created,
                )
            )
    batch = update.batch
    return msgspec.structs.replace(
        update,
        batch=ItemBatch(batch.revision, tuple(items), batch.generation),
        held=tuple(held),
        configurations=tuple(unknown),
    )


def complete_batch(replica: Replica, batch: ItemBatch) -> ItemBatch:
    """Returns changes up to the revision at which they are complete.

    Peers of earlier releases understand no notices.
    """
    revision = replica.awaited.revision_before(batch.revision)
    return ItemBatch(revision, batch.items, batch.generation)


def _split(
    items: tuple[RegistryItem, ...],
) -> tuple[list[RegistryItem], list[RegistryItem]]:
    others: list[RegistryItem] = []
    configurations: list[RegistryItem] = []
    for item in items:
        is_one = isinstance(item.record, RoutingRecord)
        (configurations if is_one else others).append(item)
    return others, configurations


def _to_notice(
    item: RegistryItem,
    documents: ConfigurationDocuments,
    *,
    is_held: bool = False,
) -> ConfigurationNotice:
    record = item.record
    assert isinstance(record, RoutingRecord)
    return ConfigurationNotice(
        item.key,
        item.revision,
        item.created,
        record.number,
        documents.of(record).digest,
        is_held,
    )
