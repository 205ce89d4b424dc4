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
# One part in this many of the memory is reserved for refused keys.
REFUSAL_RESERVE_DIVISOR = 8


class KeyRefused(StateError):
    """The key was not accepted.

    Attributes:
        reason: why the key was refused.
        may_have_run: whether an earlier request with the key may have run.
    """

    def __init__(self, reason: Reason, *, may_have_run: bool) -> None:
        """Initializes the error."""
        super().__init__(reason.value)
        self.reason = reason
        self.may_have_run = may_have_run

    @property
    def outcome(self) -> Outcome:
        """The outcome to return to the caller."""
        if self.may_have_run:
            return Unknown(self.reason)
        return NotRun(self.reason)


class KeyStoreSealed(StateError):
    """The store is sealed; another instance may accept the new key."""


class TransferredRecord(msgspec.Struct, frozen=True, array_like=True):
    """A finished record that is transferred to another instance."""

    key: str
    fingerprint: bytes
    outcome: bytes


class KeyRecord:
    """The record of one key: its request, and the outcome once known."""

    __slots__ = ('_outcome', '_completion', 'expiry', 'fingerprint', 'size')

    def __init__(self, expiry: timedelta, fingerprint: bytes) -> None:
        """Initializes a record without an outcome."""
        self.expiry = expiry
        self.fingerprint = fingerprint
        self.size = RECORD_BYTES
        self._outcome = b''
        self._completion: asyncio.Future[None] | None = None

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
        """Sets the encoded outcome, for waiting requests and later resends."""
        self._outcome = outcome
        self.size = RECORD_BYTES + len(outcome)
        if self._completion is not None:
            self._completion.set_result(None)
            self._completion = None

    async def wait(self) -> Outcome:
        """Returns the outcome, waiting until it is known."""
        if not self.finished:
            if self._completion is None:
                self._completion = asyncio.get_running_loop().create_future()
            await asyncio.shield(self._completion)
        return self.outcome


class KeyStore:
    """The records of all unexpired keys of one incarnation.

    Args:
        home: the name of the incarnation.
        clock: the clock that measures the age of the incarnation.
        max_bytes: the memory for records. When it is full, new keys are
            refused, and no record is dropped.
        max_life: the maximum lifetime of a key.
        age: the present age of the incarnation, 0 by default.
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
        """Initializes an empty store."""
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
        return f'<KeyStore {self._home} of {len(self)} records>'

    @property
    def age(self) -> timedelta:
        """The age of the incarnation."""
        return self._clock.elapsed() - self._started

    @property
    def size(self) -> int:
        """The memory used by the records, in bytes."""
        return self._bytes

    def get_or_create(
        self,
        key: IdempotencyKey,
        fingerprint: bytes,
    ) -> tuple[KeyRecord, bool]:
        """Returns the record of a key and whether the record is new.

        Args:
            key: the key, whose home must be this incarnation.
            fingerprint: the digest of the request that the key identifies.

        Raises:
            KeyRefused: the key has expired, its lifetime is too long, it was
                used for another request, or no memory is left for its record.
                A key that was refused as not run is never accepted later.
            KeyStoreSealed: the key is new, and the store is sealed.
        """
        self.drop_expired()
        record = self._records.get(key)
        if record is None:
            return self._create(key, fingerprint), True
        if record.fingerprint not in {fingerprint, b''}:
            raise KeyRefused(Reason.key_reused, may_have_run=False)
        return record, False

    def refuse(self, key: IdempotencyKey, reason: Reason) -> Outcome:
        """Returns the outcome of a request that is refused before it is read.

        A key without a record is recorded as not run, so that a copy of the
        request that arrives later does not run.

        Raises:
            KeyStoreSealed: the key is new, and the store is sealed.
        """
        self.drop_expired()
        record = self._records.get(key)
        if record is not None:
            stored = record.outcome if record.finished else None
            return stored if isinstance(stored, NotRun) else Unknown(reason)
        try:
            self._check_life(key)
            self._record_refusal(key, reason)
        except KeyRefused as refusal:
            return refusal.outcome
        return NotRun(reason)

    def finish(self, key: IdempotencyKey, outcome: Outcome) -> None:
        """Stores the outcome of a key until the key expires.

        An answer that does not fit into the memory is not stored; resends
        then get an unknown outcome.
        """
        record = self._records[key]
        packed = msgspec.msgpack.encode(outcome)
        if self._bytes + len(packed) > self._max_bytes + RECORD_BYTES:
            outcome = Unknown(Reason.key_memory_full)
            packed = msgspec.msgpack.encode(outcome)
        self._bytes -= record.size
        record.finish(packed)
        self._bytes += record.size
        self._drop_if_expired(key)

    def seal(self) -> None:
        """Refuses new keys from now on; existing records remain available."""
        self._sealed = True

    def export_records(self) -> list[TransferredRecord]:
        """Returns the finished records that have not expired."""
        self.drop_expired()
        return [
            TransferredRecord(str(key), record.fingerprint, record.packed)
            for key, record in self._records.items()
            if record.finished
        ]

    def import_records(self, records: Iterable[TransferredRecord]) -> None:
        """Adds records that another instance exported."""
        for transferred in records:
            key = IdempotencyKey.parse(transferred.key)
            record = self._add(key, transferred.fingerprint)
            record.finish(transferred.outcome)
            self._bytes += len(transferred.outcome)

    def drop_expired(self) -> None:
        """Drops the finished records of expired keys."""
        age = self.age
        while self._expiries and self._expiries[0][0] <= age:
            _, key = heapq.heappop(self._expiries)
            self._drop_if_expired(key)

    def _drop_if_expired(self, key: IdempotencyKey) -> None:
        record = self._records.get(key)
        if record and record.finished and record.expiry <= self.age:
            self._bytes -= self._records.pop(key).size

    def _create(self, key: IdempotencyKey, fingerprint: bytes) -> KeyRecord:
        self._check_life(key)
        limit = self._max_bytes - self._max_bytes // REFUSAL_RESERVE_DIVISOR
        if self._bytes + RECORD_BYTES > limit:
            self._record_refusal(key, Reason.key_memory_full)
            raise KeyRefused(Reason.key_memory_full, may_have_run=False)
        return self._add(key, fingerprint)

    def _record_refusal(self, key: IdempotencyKey, reason: Reason) -> None:
        if self._bytes + RECORD_BYTES > self._max_bytes:
            raise KeyRefused(Reason.key_memory_full, may_have_run=True)
        self._add(key, b'')
        self.finish(key, NotRun(reason))

    def _add(self, key: IdempotencyKey, fingerprint: bytes) -> KeyRecord:
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
