"""Writes evidence against requests to the registry when a crash is seen."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from lycheedyke.clock import Clock
from lycheedyke.exceptions import PlatformError
from lycheedyke.protocol import Registry, SuspectRecord
from lycheedyke.state import QUARANTINE_TIME, StoredEvidence

# The pause between two writes; one write takes all crashes of a moment.
WRITE_INTERVAL = timedelta(milliseconds=250)
# Evidence that this instance has from peers, or that the registry has lost, is
# noticed within this time.
CHECK_INTERVAL = timedelta(seconds=1)
# An instance that knows the crashes from peers writes only if the instance
# that observed them did not.
BACKUP_DELAY = timedelta(seconds=5)
# Such an instance waits up to so many times that delay, so that few of many
# write before the record of the first one reaches them.
BACKUP_SPREAD = 4
# A record that was written is listed within this time.
LISTING_TIME = timedelta(seconds=3)
MAX_RECORDS_PER_WRITE = 16
# The callers of popular requests take the most room.
MAX_RECORD_BYTES = 16_384

_logger = logging.getLogger(__name__)


class _Due(NamedTuple):
    """When evidence is written.

    Attributes:
        crashes: how many crashes it has; none if it is removed.
        time: when it is written, unless it changes before.
    """

    crashes: int
    time: timedelta


class EvidencePublisher:
    """Writes the evidence that the registry does not list.

    All processes may end at the same moment, so evidence is written as soon
    as a crash is known. Failed writes are repeated.

    Args:
        registry: stores the records.
        evidence: tells what the registry lacks.
        clock: measures the delays.
    """

    def __init__(
        self, registry: Registry, evidence: StoredEvidence, clock: Clock
    ) -> None:
        """Initializes the publisher; nothing was written."""
        self._registry = registry
        self._evidence = evidence
        self._clock = clock
        self._woken = asyncio.Event()
        self._due: dict[str, _Due] = {}

    def __repr__(self) -> str:
        """Returns the number of requests whose evidence is to be written."""
        return f'<EvidencePublisher: {len(self._due)} to write>'

    def wake(self) -> None:
        """Has evidence written at once."""
        self._woken.set()

    async def run(self) -> None:
        """Writes evidence until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL.total_seconds()):
                    await self._woken.wait()
            self._woken.clear()
            await self.publish()
            await self._clock.sleep(WRITE_INTERVAL)

    async def publish(self) -> None:
        """Writes the evidence that is due, and removes what is outweighed."""
        due: dict[str, _Due] = {}
        records = tuple(
            record
            for record, is_first_hand in self._evidence.missing()
            if self._is_due(
                due, record.fingerprint, len(record.crashes), is_first_hand
            )
            and self._fits(due, record)
        )[:MAX_RECORDS_PER_WRITE]
        cleared = tuple(
            fingerprint
            for fingerprint, is_first_hand in self._evidence.outweighed()
            if self._is_due(due, fingerprint, 0, is_first_hand)
        )[:MAX_RECORDS_PER_WRITE]
        self._due = due
        if (records or cleared) and await self._write(records, cleared):
            listed = self._clock.elapsed() + LISTING_TIME
            for fingerprint in (*_names(records), *cleared):
                due[fingerprint] = due[fingerprint]._replace(time=listed)

    def _is_due(
        self,
        due: dict[str, _Due],
        fingerprint: str,
        crashes: int,
        is_first_hand: bool,
    ) -> bool:
        """Notes when a change is due; returns whether it is."""
        now = self._clock.elapsed()
        known = self._due.get(fingerprint)
        if known is None or known.crashes != crashes:
            known = _Due(crashes, now + _delay(is_first_hand=is_first_hand))
        due[fingerprint] = known
        return known.time <= now

    def _fits(self, due: dict[str, _Due], record: SuspectRecord) -> bool:
        """Returns whether a record may be written; one too large never is."""
        size = len(msgspec.json.encode(record))
        if size <= MAX_RECORD_BYTES:
            return True
        _logger.warning(
            'evidence not stored',
            extra={
                'fingerprints': [record.fingerprint],
                'cleared': (),
                'error': f'{size} bytes exceed {MAX_RECORD_BYTES}',
            },
        )
        never = self._clock.elapsed() + QUARANTINE_TIME
        due[record.fingerprint] = _Due(len(record.crashes), never)
        return False

    async def _write(
        self, records: tuple[SuspectRecord, ...], cleared: tuple[str, ...]
    ) -> bool:
        """Writes to the registry; returns whether that succeeded."""
        fields = {'fingerprints': _names(records), 'cleared': cleared}
        try:
            await self._registry.write_evidence(
                records, cleared, QUARANTINE_TIME
            )
        except PlatformError as error:
            _logger.warning(
                'evidence not stored', extra={**fields, 'error': str(error)}
            )
            return False
        _logger.info('evidence stored', extra=fields)
        return True


def _names(records: Iterable[SuspectRecord]) -> list[str]:
    return [record.fingerprint for record in records]


def _delay(*, is_first_hand: bool) -> timedelta:
    if is_first_hand:
        return timedelta()
    return BACKUP_DELAY * random.uniform(1, BACKUP_SPREAD)
