"""The platform's interface in memory, with faults that a test switches."""

import asyncio
from datetime import timedelta

from lycheedyke.exceptions import PlatformUnreachable, WriteConflict
from lycheedyke.protocol import PlatformClient, PlatformEntry


class MemoryStore:
    """Keys with revisions, shared by many clients."""

    def __init__(self) -> None:
        """Makes an empty store."""
        self.entries: dict[str, PlatformEntry] = {}
        self.revision = 0
        self.changed = asyncio.Condition()


class MemoryPlatform(PlatformClient):
    """One client; faults are its own.

    `down` fails each call, `lose` that many answers of writes after they
    took effect, and then is down if `down_after_loss`; `stale` holds the old entries that reads answer with.
    """

    def __init__(self, store: MemoryStore) -> None:
        """Makes a client without faults."""
        super().__init__('memory')
        self.store = store
        self.down = False
        self.lose_responses = 0
        self.down_after_loss = False
        self.time_factor = 1.0
        self.stale_entries: dict[str, PlatformEntry] | None = None
        self.calls_by_kind: dict[str, int] = {}

    async def get(self, key: str) -> PlatformEntry | None:
        """Returns the entry, perhaps an old one."""
        self._record_call('get')
        return self._entries().get(key)

    async def replace(self, key: str, content: bytes, *, revision: int) -> int:
        """Compares and swaps; this is never stale."""
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
        """Returns the entries, perhaps old ones."""
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
