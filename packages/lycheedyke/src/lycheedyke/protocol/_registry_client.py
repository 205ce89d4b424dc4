"""The interface of a registry that the coordination layer uses."""

from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from lycheedyke.protocol._registry import (
    EntryRecord,
    ItemBatch,
    QuarantineRecord,
)
from lycheedyke.protocol._suspect_record import SuspectRecord


class Announcement(NamedTuple):
    """The key and the lease of an announced entry instance.

    Attributes:
        key: the key of the entry's record.
        lease: the lease, which may belong to others in a later generation.
        generation: the registry's generation at the announcement.
    """

    key: str
    lease: int
    generation: int = 0


class AnswerSize(NamedTuple):
    """The size of an answer of a registry.

    Attributes:
        received_bytes: the bytes of its body.
        took: the time from its head to its end.
    """

    received_bytes: int = 0
    took: timedelta = timedelta()


class Registry(Protocol):
    """The interface of a registry that the coordination layer uses.

    All calls raise `PlatformError` if they fail. `watch` raises
    `HistoryLost` if the registry no longer has the changes after the
    requested revision. Batches state the registry's generation; those of
    `watch` are not complete if that differs from the one of `after`.
    """

    @property
    def generation(self) -> int:
        """The latest generation that any answer stated."""

    @property
    def last_answer(self) -> AnswerSize:
        """The size of the answer that was decoded last."""

    async def read_all(self) -> ItemBatch:
        """Returns all items."""

    async def read_configuration(self) -> ItemBatch:
        """Returns the items that hold a configuration, and no others."""

    async def watch(self, after: int, wait: timedelta) -> ItemBatch:
        """Waits for the changes after a revision and returns them.

        Args:
            after: the revision up to which the caller has all changes.
            wait: how long to wait for the first change.

        Raises:
            WatchInterrupted: the call waited and got no response. This says
                nothing about other calls.
        """

    async def announce(
        self,
        entry: EntryRecord,
        ttl: timedelta,
    ) -> Announcement:
        """Writes the entry's record, which expires unless it is renewed."""

    async def renew(self, announcement: Announcement) -> None:
        """Renews an announcement.

        Raises:
            LeaseExpired: the announcement has expired, or is of an earlier
                generation.
        """

    async def withdraw(self, announcement: Announcement) -> None:
        """Removes an announcement."""

    async def quarantine(
        self, record: QuarantineRecord, ttl: timedelta
    ) -> None:
        """Writes a quarantine, which expires after `ttl`."""

    async def write_evidence(
        self,
        records: Sequence[SuspectRecord],
        cleared: Sequence[str],
        ttl: timedelta,
    ) -> None:
        """Writes records, which expire after `ttl`, and removes others."""

    async def close(self) -> None:
        """Closes the connections."""
