"""Records of idempotency keys at their home instance."""

import asyncio
import heapq
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from lycheedyke.clock import Clock
from lycheedyke.exceptions import StateError
from lycheedyke.protocol import (
    IdempotencyKey,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)

DEFAULT_MAX_BYTES = 67_108_864
DEFAULT_MAX_LIFE = timedelta(minutes=10)
RECORD_BYTES = 768
REFUSAL_SHARE = 8
# One part in this many of the memory is kept for refused keys.


class KeyRefused(StateError):
    """A key is not accepted here.

    Attributes:
        reason: why it was refused.
        may_have_run: whether an earlier request with it may have run.
    """

    def __init__(self, reason: Reason, *, may_have_run: bool) -> None:
        """Names the reason."""
        super().__init__(reason.value)
        self.reason = reason
        self.may_have_run = may_have_run

    @property
    def outcome(self) -> Outcome:
        """The outcome to answer with."""
        if self.may_have_run:
            return Unknown(self.reason)
        return NotRun(self.reason)


class KeyStoreSealed(StateError):
    """New keys of this incarnation are accepted elsewhere, if anywhere."""


class TransferredRecord(msgspec.Struct, frozen=True, array_like=True):
    """A finished record on its way to another instance."""

    key: str
    fingerprint: bytes
    outcome: bytes


class KeyRecord:
    """One key: its request, and its outcome once there is one."""

    __slots__ = ('_outcome', '_waiting', 'expiry', 'fingerprint', 'size')

    def __init__(self, expiry: timedelta, fingerprint: bytes) -> None:
        """Makes a record without outcome."""
        self.expiry = expiry
        self.fingerprint = fingerprint
        self.size = RECORD_BYTES
        self._outcome = b''
        self._waiting: asyncio.Future[None] | None = None

    @property
    def finished(self) -> bool:
        """Whether the outcome is known."""
        return bool(self._outcome)

    @property
    def packed(self) -> bytes:
        """The encoded outcome of a finished record."""
        return self._outcome

    @property
    def outcome(self) -> Outcome:
        """The outcome of a finished record."""
        return msgspec.msgpack.decode(self._outcome, type=Outcome)

    def finish(self, outcome: bytes) -> None:
        """Sets the encoded outcome for all who wait and all resends."""
        self._outcome = outcome
        self.size = RECORD_BYTES + len(outcome)
        if self._waiting is not None:
            self._waiting.set_result(None)
            self._waiting = None

    async def wait(self) -> Outcome:
        """Returns the outcome once it is known."""
        if not self.finished:
            if self._waiting is None:
                self._waiting = asyncio.get_running_loop().create_future()
            await asyncio.shield(self._waiting)
        return self.outcome


class KeyStore:
    """The records of all live keys of one incarnation.

    Args:
        home: the incarnation.
        clock: measures the age of the incarnation.
        max_bytes: memory for records; more keys are refused, none forgotten.
        max_life: the longest life of a key.
        age: the age of the incarnation now, 0 by default.
    """

    def __init__(
        self,
        home: str,
        clock: Clock,
        *,
        max_bytes: int = DEFAULT_MAX_BYTES,
        max_life: timedelta = DEFAULT_MAX_LIFE,
        age: timedelta | None = None,
    ) -> None:
        """Makes a ledger without records."""
        self._home = home
        self._clock = clock
        self._max_bytes = max_bytes
        self._max_life = max_life
        self._started = clock.elapsed() - (age or timedelta())
        self._records: dict[IdempotencyKey, KeyRecord] = {}
        self._expiries: list[tuple[timedelta, IdempotencyKey]] = []
        self._bytes = 0
        self._sealed = False

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records)

    def __repr__(self) -> str:
        """Returns the home and the number of records."""
        return f'<KeyLedger {self._home} of {len(self)} records>'

    @property
    def age(self) -> timedelta:
        """The age of the incarnation."""
        return self._clock.elapsed() - self._started

    @property
    def size(self) -> int:
        """The memory taken by the records, in bytes."""
        return self._bytes

    def get_or_create(
        self,
        key: IdempotencyKey,
        fingerprint: bytes,
    ) -> tuple[KeyRecord, bool]:
        """Returns the key's record and whether it is new.

        Args:
            key: the key, whose home must be this incarnation.
            fingerprint: a digest of the request that the key stands for.

        Raises:
            KeyRefused: the key expired, lives too long, stands for another
                request, or there is no memory for its record. A key refused
                as not run is never accepted later.
            KeyStoreSealed: the key is new, and the ledger is sealed.
        """
        self.drop_expired()
        record = self._records.get(key)
        if record is None:
            return self._create(key, fingerprint), True
        if record.fingerprint not in {fingerprint, b''}:
            raise KeyRefused(Reason.key_reused, may_have_run=False)
        return record, False

    def refuse(self, key: IdempotencyKey, reason: Reason) -> Outcome:
        """Returns the outcome of a request refused before it was read.

        A key without a record is recorded as not run, so that no copy of the
        request that arrives later runs it.

        Raises:
            KeyStoreSealed: the key is new, and the ledger is sealed.
        """
        self.drop_expired()
        record = self._records.get(key)
        if record is not None:
            known = record.outcome if record.finished else None
            return known if isinstance(known, NotRun) else Unknown(reason)
        try:
            self._check_life(key)
            self._tombstone(key, reason)
        except KeyRefused as refusal:
            return refusal.outcome
        return NotRun(reason)

    def finish(self, key: IdempotencyKey, outcome: Outcome) -> None:
        """Keeps the outcome of a key until the key expires.

        An answer for which there is no memory is not kept: resends get an
        unknown outcome.
        """
        record = self._records[key]
        packed = msgspec.msgpack.encode(outcome)
        if self._bytes + len(packed) > self._max_bytes + RECORD_BYTES:
            outcome = Unknown(Reason.key_memory_full)
            packed = msgspec.msgpack.encode(outcome)
        self._bytes -= record.size
        record.finish(packed)
        self._bytes += record.size
        self._forget_if_expired(key)

    def seal(self) -> None:
        """Accepts no new key from now on; records are still answered."""
        self._sealed = True

    def export_records(self) -> list[TransferredRecord]:
        """Returns the finished records that are not expired."""
        self.drop_expired()
        return [
            TransferredRecord(str(key), record.fingerprint, record.packed)
            for key, record in self._records.items()
            if record.finished
        ]

    def import_records(self, records: Iterable[TransferredRecord]) -> None:
        """Takes in records that another instance exported."""
        for handed in records:
            key = IdempotencyKey.parse(handed.key)
            record = self._keep(key, handed.fingerprint)
            record.finish(handed.outcome)
            self._bytes += len(handed.outcome)

    def drop_expired(self) -> None:
        """Forgets the finished records of expired keys."""
        age = self.age
        while self._expiries and self._expiries[0][0] <= age:
            _, key = heapq.heappop(self._expiries)
            self._forget_if_expired(key)

    def _forget_if_expired(self, key: IdempotencyKey) -> None:
        record = self._records.get(key)
        if record and record.finished and record.expiry <= self.age:
            self._bytes -= self._records.pop(key).size

    def _create(self, key: IdempotencyKey, fingerprint: bytes) -> KeyRecord:
        self._check_life(key)
        limit = self._max_bytes - self._max_bytes // REFUSAL_SHARE
        if self._bytes + RECORD_BYTES > limit:
            self._tombstone(key, Reason.key_memory_full)
            raise KeyRefused(Reason.key_memory_full, may_have_run=False)
        return self._keep(key, fingerprint)

    def _tombstone(self, key: IdempotencyKey, reason: Reason) -> None:
        if self._bytes + RECORD_BYTES > self._max_bytes:
            raise KeyRefused(Reason.key_memory_full, may_have_run=True)
        self._keep(key, b'')
        self.finish(key, NotRun(reason))

    def _keep(self, key: IdempotencyKey, fingerprint: bytes) -> KeyRecord:
        record = KeyRecord(key.expiry, fingerprint)
        self._records[key] = record
        self._bytes += record.size
        heapq.heappush(self._expiries, (key.expiry, key))
        return record

    def _check_life(self, key: IdempotencyKey) -> None:
        if self._sealed:
            raise KeyStoreSealed(f'{self._home} accepts no new keys')
        if key.expiry <= self.age:
            raise KeyRefused(Reason.key_expired, may_have_run=True)
        if key.expiry > self.age + self._max_life:
            raise KeyRefused(Reason.key_too_long_lived, may_have_run=False)
