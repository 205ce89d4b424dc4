"""An in-memory client of the platform, with faults that a test sets."""

import asyncio
from datetime import timedelta

from lycheedyke.exceptions import PlatformUnreachable, WriteConflict
from lycheedyke.protocol import PlatformClient, PlatformEntry


class MemoryStore:
    """Keys with revisions that several clients share."""

    def __init__(self) -> None:
        """Initializes an empty store."""
        self.entries: dict[str, PlatformEntry] = {}
        self.revision = 0
        self.changed = asyncio.Condition()


class MemoryPlatform(PlatformClient):
    """One client of a shared store, with its own faults.

    Attributes:
        down: whether each call fails.
        lose_responses: how many of the next writes take effect, but fail
            because their response is lost.
        down_after_loss: the value that `down` gets when a response is lost.
        time_factor: the divisor of the waits of watches.
        stale_entries: the old entries that reads return, or None.
        calls_by_kind: the number of calls of each kind.
    """

    def __init__(self, store: MemoryStore) -> None:
        """Initializes a client without faults."""
        super().__init__('memory')
        self.store = store
        self.down = False
        self.lose_responses = 0
        self.down_after_loss = False
        self.time_factor = 1.0
        self.stale_entries: dict[str, PlatformEntry] | None = None
        self.calls_by_kind: dict[str, int] = {}

    async def get(self, key: str) -> PlatformEntry | None:
        """Returns the entry, which may be stale."""
        self._record_call('get')
        return self._entries().get(key)

    async def replace(self, key: str, content: bytes, *, revision: int) -> int:
        """Compares and swaps; the comparison is never against stale entries."""
        self._record_call('put')
        present = self.store.entries.get(key)
        if revision != (present.revision if present else 0):
            raise WriteConflict(key)
        self.store.revision += 1
        entry = PlatformEntry(key, content, self.store.revision)
        self.store.entries[key] = entry
        async with self.store.changed:
            self.store.changed.notify_all()
        if self.lose_responses:
            self.lose_responses -= 1
            self.down = self.down_after_loss
            raise PlatformUnreachable('answer lost')
        return entry.revision

    async def remove(self, key: str) -> None:
        """Removes the key."""
        self._record_call('delete')
        self.store.entries.pop(key, None)

    async def scan(
        self,
        prefix: str,
        *,
        start: str = '',
    ) -> tuple[int, list[PlatformEntry]]:
        """Returns the entries of a prefix, which may be stale."""
        self._record_call('range')
        return self.store.revision, [
            entry
            for key, entry in sorted(self._entries().items())
            if key.startswith(prefix) and key >= start
        ]

    async def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait: timedelta,
    ) -> tuple[int, list[PlatformEntry]]:
        """Waits for writes under a prefix after a revision."""
        self._record_call('watch')
        while True:
            found = [
                entry
                for key, entry in sorted(self._entries().items())
                if key.startswith(prefix) and entry.revision > after
            ]
            if found:
                return self.store.revision, found
            if not await self._wait(wait.total_seconds() / self.time_factor):
                return self.store.revision, []
            if self.down:
                raise PlatformUnreachable('down')

    async def _wait(self, seconds: float) -> bool:
        try:
            async with asyncio.timeout(seconds), self.store.changed:
                return await self.store.changed.wait()
        except TimeoutError:
            return False

    def _entries(self) -> dict[str, PlatformEntry]:
        return (
            self.store.entries
            if self.stale_entries is None
            else self.stale_entries
        )

    def _record_call(self, kind: str) -> None:
        self.calls += 1
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        if self.down:
            raise PlatformUnreachable('down')
