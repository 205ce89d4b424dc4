"""The client of the platform's store when the store comes back from a copy."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pytest
from aiohttp import web

from lycheedyke.exceptions import HistoryLost, LeaseExpired, PlatformError
from lycheedyke.protocol import EntryRecord, Registry
from standins.deployment import free_ports
from standins.gateway_testbed import connect_store
from standins.registry_store import FakeRegistryStore

ENTRY = EntryRecord('e', 'x', 'a', 'r', '192.0.2.1:1', '192.0.2.1:2')
TIMEOUT = timedelta(seconds=2)
TTL = timedelta(seconds=4)
WAIT = timedelta(milliseconds=50)
NO_AGE = 0
LONG_AGO = 1_000
PAGES = 3

Check = Callable[[FakeRegistryStore, Registry], Awaitable[None]]


class _Scene:
    """A store and a client of it."""

    def __init__(self, check: Check) -> None:
        self._check = check

    def run(self) -> None:
        """Runs the check."""
        asyncio.run(asyncio.wait_for(self._run(), 20))

    async def _run(self) -> None:
        store = FakeRegistryStore()
        runner = web.AppRunner(store.app(), access_log=None)
        await runner.setup()
        port = free_ports(1)[0]
        await web.TCPSite(runner, '127.0.0.1', port).start()
        registry = connect_store(f'127.0.0.1:{port}', TIMEOUT)
        try:
            await self._check(store, registry)
        finally:
            await registry.close()
            await runner.cleanup()


def _restore_at(store: FakeRegistryStore, path: str, call: int) -> None:
    """Brings the store back from a copy right after so many calls."""
    calls = store.calls

    class _Calls(list[str]):
        def append(self, item: str) -> None:
            super().append(item)
            if item == path and self.count(path) == call + 1:
                store.restore(NO_AGE)

    store.calls = _Calls(calls)


def test_batches_state_the_generation() -> None:
    """Each answer does, and a store that tells none is in generation 0."""

    async def _check(store: FakeRegistryStore, registry: Registry) -> None:
        assert (await registry.read_all()).generation == 0
        await store.come_back_from_copy(NO_AGE)
        batch = await registry.read_all()
        assert batch.position == (1, store.revision)
        assert (await registry.watch(batch.revision, WAIT)).generation == 1
        assert registry.generation == 1
        store.era = None
        assert (await registry.read_all()).generation == 0

    _Scene(_check).run()


def test_a_watch_after_what_the_store_has_loses_its_history() -> None:
    """The revision was given out before the copy came back."""

    async def _check(store: FakeRegistryStore, registry: Registry) -> None:
        with pytest.raises(HistoryLost):
            await registry.watch(store.revision + 1, WAIT)

    _Scene(_check).run()


def test_pages_of_two_generations_are_no_full_state() -> None:
    """The read fails, and is made again as a whole."""

    async def _check(store: FakeRegistryStore, registry: Registry) -> None:
        for number in range(3 * PAGES):
            store.put(f'servers/{number}', {})
        _restore_at(store, '/kv-range', 1)
        with pytest.raises(PlatformError, match='came back from a copy'):
            await registry.read_all()
        assert (await registry.read_all()).generation == 1

    _Scene(_check).run()


def test_an_announcement_needs_a_lease_of_its_generation() -> None:
    """The lease may be given to another between the two calls."""

    async def _check(store: FakeRegistryStore, registry: Registry) -> None:
        _restore_at(store, '/kv-txn', 0)
        with pytest.raises(PlatformError):
            await registry.announce(ENTRY, TTL)
        announcement = await registry.announce(ENTRY, TTL)
        assert announcement.generation == 1

    _Scene(_check).run()


def test_a_renewed_lease_may_be_that_of_another() -> None:
    """The renewal succeeds at the store, and is still no renewal."""

    async def _check(store: FakeRegistryStore, registry: Registry) -> None:
        old = await registry.announce(ENTRY, TTL)
        store.restore(LONG_AGO)
        other = await registry.announce(ENTRY, TTL)
        assert other.lease == old.lease
        assert registry.generation == 1
        with pytest.raises(LeaseExpired):
            await registry.renew(old)
        await registry.renew(other)

    _Scene(_check).run()


@pytest.mark.parametrize('era', ['', 'x', '1.5'])
def test_an_era_that_is_no_number_is_a_failure(era: str) -> None:
    """A batch of an unknown generation would be merged wrongly."""

    async def _check(store: FakeRegistryStore, registry: Registry) -> None:
        store.era = era  # type: ignore[assignment]
        with pytest.raises(PlatformError, match='era'):
            await registry.read_all()

    _Scene(_check).run()
