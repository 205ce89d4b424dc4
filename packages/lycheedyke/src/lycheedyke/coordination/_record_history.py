"""Remembers which records of a key this instance has known.

Revisions are given out again when a registry comes back from a copy. Whether
a record came back with the copy or was written since then follows from the
records that were known before: the copy holds only what was once written.
"""

from collections.abc import Set
from typing import NamedTuple

from lycheedyke.protocol import (
    RegistryItem,
    RegistryRecord,
    RoutingRecord,
    UpstreamRecord,
)

# The versions that are remembered for each key.
MAX_VERSIONS = 4


class _Version(NamedTuple):
    """Identifies one write of a record.

    Attributes:
        created: the revision at which its key was created; 0 if not known.
        revision: the revision of the write.
    """

    created: int
    revision: int


class RecordHistory:
    """The last versions of each key, and the last record of each upstream.

    The last record of an upstream that leaves is kept until a later run of
    it is known, as its earlier records may be written again.

    Configurations are told apart by their numbers, and are not kept.
    """

    def __init__(self) -> None:
        """Starts without versions."""
        self._versions: dict[str, tuple[_Version, ...]] = {}
        self._last: dict[str, UpstreamRecord] = {}

    def __repr__(self) -> str:
        """Returns the number of keys."""
        return f'<RecordHistory of {len(self._versions)} keys>'

    def remember(self, item: RegistryItem) -> None:
        """Remembers an item that the registry has or had."""
        if item.record is None or isinstance(item.record, RoutingRecord):
            return
        version = _Version(item.created, item.revision)
        known = self._versions.get(item.key, ())
        if version not in known:
            self._versions[item.key] = (*known, version)[-MAX_VERSIONS:]
        last = self._last.get(item.key)
        if isinstance(item.record, UpstreamRecord) and not leaves_for_good(
            last, item.record
        ):
            self._last[item.key] = item.record

    def last_record(self, key: str) -> UpstreamRecord | None:
        """Returns the last record of an upstream, also of a removed one."""
        return self._last.get(key)

    def has_version(self, item: RegistryItem) -> bool:
        """Returns whether this very write was known."""
        return any(
            version.revision == item.revision
            and (not version.created or version.created == item.created)
            for version in self._versions.get(item.key, ())
        )

    def is_created_since(self, item: RegistryItem) -> bool:
        """Returns whether the key was created after all known versions.

        It is not known for keys that this instance never had, nor where a
        peer of an earlier release told of a version.
        """
        known = {each.created for each in self._versions.get(item.key, ())}
        if not known or not item.created or 0 in known:
            return False
        return item.created not in known

    def retain(self, keys: Set[str]) -> None:
        """Forgets all other keys."""
        for key in self._versions.keys() - keys:
            del self._versions[key]
            self._last.pop(key, None)


def leaves_for_good(
    last: UpstreamRecord | None,
    written: RegistryRecord | None,
) -> bool:
    """Returns whether a record is of a run of an upstream that has left."""
    return (
        last is not None
        and last.leaving
        and isinstance(written, UpstreamRecord)
        and written.born <= last.born
    )
