"""Writes snapshots into the platform and empties old tickets."""

import random
from datetime import timedelta

import msgspec

from lycheedyke.clock import Clock
from lycheedyke.coordination._log_reader import (
    HEAD_KEY,
    LogReader,
    part_key,
    ticket_key,
)
from lycheedyke.coordination._ticket_log import TicketLog
from lycheedyke.exceptions import PlatformError, WriteConflict
from lycheedyke.protocol import (
    PlatformClient,
    SnapshotHead,
    digest_part,
    encode_snapshot,
)

SNAPSHOT_EVERY = 256
SNAPSHOT_BYTES = 4_000_000
KEPT_TICKETS = 64
RETRY_INTERVAL = timedelta(seconds=2)


class Snapshotter:
    """Keeps the part of the log that a start must read small.

    A snapshot's parts are written first, its head by compare-and-swap;
    only then are the parts of the one before removed. Documents that both
    this and the snapshot before cover are emptied, not removed, so that
    their numbers stay taken for a writer that reads old values.

    Args:
        log: the tickets in force here.
        reader: reads the head of the newest snapshot.
        platform: the platform's key-value service.
        clock: spaces out attempts.
        every: tickets from one snapshot to the next.
        kept: the newest tickets whose documents stay in the platform.
    """

    def __init__(
        self,
        log: TicketLog,
        reader: LogReader,
        platform: PlatformClient,
        clock: Clock,
        *,
        every: int = SNAPSHOT_EVERY,
        kept: int = KEPT_TICKETS,
    ) -> None:
        """Makes a snapshotter that has not written anything."""
        self._log = log
        self._reader = reader
        self._platform = platform
        self._clock = clock
        self._every = every
        self._kept = kept
        self._next_try = timedelta()

    def __repr__(self) -> str:
        """Returns the log."""
        return f'Snapshotter({self._log!r})'

    async def step(self) -> bool:
        """Writes a snapshot if one is due; returns whether it did.

        Raises:
            PlatformError: the platform did not answer; a later step goes on.
        """
        now = self._clock.elapsed()
        if now < self._next_try or not self._is_due():
            return False
        # Of all watchers that see it due, most find it done by another.
        self._next_try = now + RETRY_INTERVAL * random.uniform(0.5, 2)
        head, revision = await self._reader.read_head()
        self._log.snapshot_number = max(
            head.number,
            self._log.snapshot_number,
        )
        if not self._is_due():
            return False
        return await self._write(head, revision)

    def _is_due(self) -> bool:
        covered = self._log.snapshot_number
        if self._log.number - covered >= self._every:
            return True
        return self._log.bytes_after(covered) >= SNAPSHOT_BYTES

    async def _write(self, before: SnapshotHead, revision: int) -> bool:
        snapshot = self._log.snapshot()
        parts = encode_snapshot(snapshot)
        digests = tuple(map(digest_part, parts))
        trimmed = await self._trim(before)
        for digest, part in zip(digests, parts, strict=True):
            await self._create(part_key(snapshot.number, digest), part)
        head = SnapshotHead(snapshot.number, digests, trimmed)
        try:
            await self._platform.replace(
                HEAD_KEY,
                msgspec.json.encode(head),
                revision=revision,
            )
        except WriteConflict:
            return False
        self._log.snapshot_number = snapshot.number
        for digest in before.parts:
            await self._platform.remove(part_key(before.number, digest))
        return True

    async def _create(self, key: str, content: bytes) -> None:
        try:
            await self._platform.create(key, content)
        except WriteConflict:
            return

    async def _trim(self, before: SnapshotHead) -> int:
        last = max(before.trimmed, before.number - self._kept)
        for number in range(before.trimmed + 1, last + 1):
            await self._empty(ticket_key(number))
        return last

    async def _empty(self, key: str) -> None:
        entry = await self._platform.get(key)
        if entry is None:
            raise PlatformError(f'{key} is missing')
        if not entry.content:
            return
        try:
            await self._platform.replace(key, b'', revision=entry.revision)
        except WriteConflict:
            return
