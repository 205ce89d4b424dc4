"""Reads the numbered log and its snapshots from the platform."""

import logging
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from lycheedyke.coordination._ticket_log import TicketLog
from lycheedyke.exceptions import (
    DocumentMalformed,
    DocumentTooNew,
    PlatformError,
    PlatformStale,
)
from lycheedyke.protocol import (
    PlatformClient,
    PlatformEntry,
    SnapshotHead,
    decode_snapshot,
    digest_part,
)

PREFIX = 'ticket/'
NUMBER_DIGITS = 10
HEAD_KEY = 'snapshot/head'
READ_ATTEMPTS = 5

_logger = logging.getLogger(__name__)


def ticket_key(number: int) -> str:
    """Returns the platform key of a ticket; keys sort in number order."""
    return f'{PREFIX}{number:0{NUMBER_DIGITS}d}'


def part_key(number: int, digest: str) -> str:
    """Returns the platform key of a part of a snapshot."""
    return f'snapshot/{number:0{NUMBER_DIGITS}d}/{digest}'


class LogReader:
    """Reads newer tickets and snapshots from the platform into a log.

    Args:
        log: the log to which tickets are applied.
        platform: the platform's key-value service.
    """

    def __init__(self, log: TicketLog, platform: PlatformClient) -> None:
        """Initializes the reader."""
        self._log = log
        self._platform = platform

    def __repr__(self) -> str:
        """Returns the log."""
        return f'LogReader({self._log!r})'

    async def read(self) -> int:
        """Reads all newer tickets; returns the platform's revision.

        Raises:
            PlatformStale: tickets are missing between the newest one in
                force here and those that the platform returned.
            PlatformError: the platform did not answer.
        """
        if not self._log.number:
            await self.read_snapshot()
        for _ in range(READ_ATTEMPTS):
            revision, entries = await self._platform.scan(
                PREFIX,
                start=ticket_key(self._log.number + 1),
            )
            if self._apply_entries(entries):
                return revision
            await self.read_snapshot()
        raise PlatformStale(f'tickets after {self._log.number} are missing')

    async def watch(self, revision: int, wait: timedelta) -> int:
        """Waits for newer tickets; returns the platform's revision.

        Raises:
            PlatformError: for the reasons that `read` names.
        """
        revision, entries = await self._platform.watch(
            PREFIX,
            after=revision,
            wait=wait,
        )
        if self._apply_entries(entries):
            return revision
        return await self.read()

    async def read_head(self) -> tuple[SnapshotHead, int]:
        """Returns the newest snapshot's head and revision; 0 if absent."""
        entry = await self._platform.get(HEAD_KEY)
        if entry is None:
            return SnapshotHead(0, ()), 0
        try:
            head = msgspec.json.decode(entry.content, type=SnapshotHead)
        except msgspec.MsgspecError as error:
            raise PlatformError(f'{HEAD_KEY}: {error}') from error
        return head, entry.revision

    async def read_snapshot(self) -> None:
        """Restores the platform's snapshot if it is newer than the log.

        Raises:
            PlatformError: the snapshot could not be read completely.
        """
        for _ in range(READ_ATTEMPTS):
            head, _ = await self.read_head()
            if head.number <= self._log.number:
                return
            parts = await self._read_parts(head)
            if parts is not None:
                self._restore(parts)
                return
        raise PlatformStale(f'snapshot {head.number} is incomplete')

    async def _read_parts(self, head: SnapshotHead) -> list[bytes] | None:
        # A part is removed once a newer snapshot has replaced this one.
        parts = []
        for digest in head.parts:
            entry = await self._platform.get(part_key(head.number, digest))
            if entry is None or digest_part(entry.content) != digest:
                return None
            parts.append(entry.content)
        return parts

    def _restore(self, parts: list[bytes]) -> None:
        try:
            self._log.restore(decode_snapshot(parts))
        except DocumentTooNew as error:
            self._log.blocked = str(error)
            _logger.error('snapshot needs a newer version: %s', error)
        except DocumentMalformed as error:
            raise PlatformError(str(error)) from error

    def _apply_entries(self, entries: Iterable[PlatformEntry]) -> bool:
        # Returns whether no ticket was missing. An empty document stands for
        # a ticket that a snapshot covers.
        for entry in sorted(entries):
            number = _number_of(entry.key)
            if number <= self._log.number:
                continue
            if not entry.content or number > self._log.number + 1:
                return bool(self._log.blocked)
            if not self._log.apply(number, entry.content):
                return True
        return True


def _number_of(key: str) -> int:
    number = key.removeprefix(PREFIX)
    return int(number) if number.isdecimal() else 0
