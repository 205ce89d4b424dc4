"""Records of idempotency keys at their home instance."""

import asyncio
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.exceptions import StateError
from lycheedyke.protocol import IdempotencyKey, Outcome, Reason

DEFAULT_MAX_BYTES = 67_108_864
DEFAULT_MAX_LIFE = timedelta(minutes=10)
RECORD_BYTES = 1024


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


class KeyRecord:
    """One key: its request, and its outcome once there is one."""

    __slots__ = ('_outcome', 'expiry', 'fingerprint', 'size')

    def __init__(self, expiry: timedelta, fingerprint: bytes) -> None:
        """Makes a record without outcome."""
        self.expiry = expiry
        self.fingerprint = fingerprint
        self.size = RECORD_BYTES
        self._outcome: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def finished(self) -> bool:
        """Whether the outcome is known."""
        return self._outcome.done()

    def finish(self, outcome: Outcome) -> None:
        """Sets the outcome for all who wait for it and all resends."""
        self._outcome.set_result(outcome)

    async def wait(self) -> Outcome:
        """Returns the outcome once it is known."""
        return await asyncio.shield(self._outcome)


class KeyLedger:
    """The records of all live keys whose home is this incarnation.

    Args:
        home: the incarnation.
        clock: measures the age of the incarnation.
        max_bytes: memory for records; more keys are refused, none forgotten.
        max_life: the longest life of a key.
    """

    def __init__(
        self,
        home: str,
        clock: Clock,
        *,
        max_bytes: int = DEFAULT_MAX_BYTES,
        max_life: timedelta = DEFAULT_MAX_LIFE,
    ) -> None:
        """Makes a ledger without records; the age counts from now."""
        self._home = home
        self._clock = clock
        self._max_bytes = max_bytes
        self._max_life = max_life
        self._started = clock.elapsed()
        self._records: dict[IdempotencyKey, KeyRecord] = {}
        self._bytes = 0

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

    def open(
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
                request, or there is no memory for its record.
        """
        record = self._records.get(key)
        if record is not None:
            if record.fingerprint != fingerprint:
                raise KeyRefused(Reason.key_reused, may_have_run=False)
            return record, False
        self._check(key)
        record = KeyRecord(key.expiry, fingerprint)
        self._records[key] = record
        self._bytes += record.size
        return record, True

    def finish(self, key: IdempotencyKey, outcome: Outcome) -> None:
        """Keeps the outcome of a key until the key expires."""
        record = self._records[key]
        body = getattr(outcome, 'body', b'')
        record.size += len(body)
        self._bytes += len(body)
        record.finish(outcome)

    def drop_expired(self) -> None:
        """Forgets the finished records of expired keys."""
        age = self.age
        expired = [
            key
            for key, record in self._records.items()
            if record.finished and record.expiry < age
        ]
        for key in expired:
            self._bytes -= self._records.pop(key).size

    def _check(self, key: IdempotencyKey) -> None:
        if key.expiry <= self.age:
            raise KeyRefused(Reason.key_expired, may_have_run=True)
        if key.expiry > self.age + self._max_life:
            raise KeyRefused(Reason.key_too_long_lived, may_have_run=False)
        if self._bytes + RECORD_BYTES > self._max_bytes:
            self.drop_expired()
        if self._bytes + RECORD_BYTES > self._max_bytes:
            raise KeyRefused(Reason.key_memory_full, may_have_run=False)
