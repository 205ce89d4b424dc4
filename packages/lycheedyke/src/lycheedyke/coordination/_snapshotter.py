"""Writes snapshots to the platform and empties the documents of old tickets."""

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

TICKETS_PER_SNAPSHOT = 256
BYTES_PER_SNAPSHOT = 4_000_000
KEPT_TICKETS = 64
RETRY_INTERVAL = timedelta(seconds=2)


class Snapshotter:
    """Bounds the part of the log that a starting instance must read.

    A snapshot's parts are written first, then its head by compare-and-swap;
    only then are the parts of the previous snapshot removed. Documents that
    both this and the previous snapshot cover are emptied, not removed, so
    that a writer that reads old values cannot reuse their numbers.

    Args:
        log: the tickets in force here.
        reader: reads the head of the newest snapshot.
        platform: the platform's key-value service.
        clock: measures the time between attempts.
        every: the number of tickets from one snapshot to the next.
        kept: how many of the newest tickets that a snapshot covers keep
            their documents in the platform.
    """

    def __init__(
        self,
        log: TicketLog,
        reader: LogReader,
        platform: PlatformClient,
        clock: Clock,
        *,
        every: int = TICKETS_PER_SNAPSHOT,
        kept: int = KEPT_TICKETS,
    ) -> None:
        """Initializes the snapshotter."""
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
            PlatformError: the platform did not answer; a later step resumes.
        """
        now = self._clock.elapsed()
        if now < self._next_try or not self._is_due():
            return False
        # Several watchers find the snapshot due at once; the random interval
        # lets most of them find it written by another one.
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
        return self._log.bytes_after(covered) >= BYTES_PER_SNAPSHOT

    async def _write(self, previous: SnapshotHead, revision: int) -> bool:
        snapshot = self._log.snapshot()
        parts = encode_snapshot(snapshot)
        digests = tuple(map(digest_part, parts))
        trimmed = await self._trim(previous)
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
        for digest in previous.parts:
            await self._platform.remove(part_key(previous.number, digest))
        return True

    async def _create(self, key: str, content: bytes) -> None:
        try:
            await self._platform.create(key, content)
        except WriteConflict:
            return

    async def _trim(self, previous: SnapshotHead) -> int:
        last = max(previous.trimmed, previous.number - self._kept)
        for number in range(previous.trimmed + 1, last + 1):
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
