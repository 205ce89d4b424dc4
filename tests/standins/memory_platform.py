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
        self.lose = 0
        self.down_after_loss = False
        self.speed = 1.0
        self.stale: dict[str, PlatformEntry] | None = None
        self.kinds: dict[str, int] = {}

    async def get(self, key: str) -> PlatformEntry | None:
        """Returns the entry, perhaps an old one."""
        self._account_memory('get')
        return self._entries().get(key)

    async def replace(self, key: str, content: bytes, *, revision: int) -> int:
        """Compares and swaps; this is never stale."""
        self._account_memory('put')
        present = self.store.entries.get(key)
        if revision != (present.revision if present else 0):
            raise WriteConflict(key)
        self.store.revision += 1
        entry = PlatformEntry(key, content, self.store.revision)
        self.store.entries[key] = entry
        async with self.store.changed:
            self.store.changed.notify_all()
        if self.lose:
            self.lose -= 1
            self.down = self.down_after_loss
            raise PlatformUnreachable('answer lost')
        return entry.revision

    async def remove(self, key: str) -> None:
        """Removes the key."""
        self._account_memory('delete')
        self.store.entries.pop(key, None)

    async def scan(
        self,
        prefix: str,
        *,
        start: str = '',
    ) -> tuple[int, list[PlatformEntry]]:
        """Returns the entries, perhaps old ones."""
        self._account_memory('range')
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
        self._account_memory('watch')
        while True:
            found = [
                entry
                for key, entry in sorted(self._entries().items())
                if key.startswith(prefix) and entry.revision > after
            ]
            if found:
                return self.store.revision, found
            if not await self._wait(wait.total_seconds() / self.speed):
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
        return self.store.entries if self.stale is None else self.stale

    def _account_memory(self, kind: str) -> None:
        self.calls += 1
        self.kinds[kind] = self.kinds.get(kind, 0) + 1
        if self.down:
            raise PlatformUnreachable('down')
