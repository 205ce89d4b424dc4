"""Receiving the content of configurations that are known to exist."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from lycheedyke.coordination import (
    ConfigurationArrivals,
    ConfigurationDocuments,
    ConfigurationFetcher,
    InboundTransfer,
    InboundTransfers,
    Replica,
    Stream,
)
from lycheedyke.exceptions import PlatformUnreachable
from lycheedyke.protocol import (
    AnswerSize,
    CallerLimits,
    ConfigurationNotice,
    ItemBatch,
    Position,
    RegistryItem,
    RegistryRecord,
    RoutingRecord,
)
from standins.virtual_time import LoopClock, run_in_virtual_time

KEY = 'routing'
REAPPEARANCE = timedelta(seconds=2)
PATIENCE_S = 0.6
LONG_S = 10.0
NO_BASE = b''


def _record(number: int) -> RoutingRecord:
    return RoutingRecord(number, (), (), CallerLimits())


def _notice(number: int, revision: int = 0) -> ConfigurationNotice:
    digest = ConfigurationDocuments().of(_record(number)).digest
    return ConfigurationNotice(KEY, revision or number, 1, number, digest)


class _Sources:
    """Peers that send scripted parts of configurations.

    Attributes:
        asked: the peers that were asked, in order, with the bytes that the
            transfer had.
        sent: how many bytes of the stream each peer sends at most.
        pause_s: how long each request takes.
    """

    def __init__(self, **sent: int) -> None:
        self.transfers = InboundTransfers()
        self.asked: list[tuple[str, int]] = []
        self.sent = sent
        self.garbled: set[str] = set()
        self.pause_s = 0.01
        self.numbers: dict[bytes, int] = {}

    def ranked(self) -> list[str]:
        """Returns the names of all peers."""
        return list(self.sent)

    async def receive(self, peer: str, transfer: InboundTransfer) -> None:
        """Sends the next bytes."""
        self.asked.append((peer, len(transfer.received)))
        await asyncio.sleep(self.pause_s)
        number = self.numbers.get(transfer.wanted)
        if number is None or not self.sent[peer]:
            return
        documents = ConfigurationDocuments()
        documents.of(_record(number))
        encoding = documents.encode(transfer.wanted, ())
        encoded = encoding.encoded
        if peer in self.garbled:
            encoded = bytes(len(encoded))
        after = len(transfer.received)
        stream = Stream(NO_BASE, encoding.stream, len(encoded))
        assert transfer.begin(stream, after)
        transfer.write(encoded[after : after + self.sent[peer]])


class _Registry:
    """A registry with one configuration, or none that answers."""

    def __init__(self, item: RegistryItem | None = None) -> None:
        self.last_answer = AnswerSize()
        self.reads = 0
        self._item = item

    async def read_configuration(self) -> ItemBatch:
        """Returns the configuration."""
        self.reads += 1
        if self._item is None:
            raise PlatformUnreachable('silent')
        return ItemBatch(self._item.revision, (self._item,))


class _Instance:
    """An instance without a configuration, at revision 1."""

    def __init__(self, sources: _Sources, registry: _Registry) -> None:
        clock = LoopClock()
        self.numbers: list[int] = []
        self.replica = Replica(clock, REAPPEARANCE, self._apply)
        self.replica.merge(ItemBatch(1, ()))
        self.documents = ConfigurationDocuments()
        self.fetcher = ConfigurationFetcher(
            registry,  # type: ignore[arg-type]
            self.replica,
            self.documents,
            sources,
            ConfigurationArrivals(clock),
            clock,
        )

    def hear(self, *notices: ConfigurationNotice) -> None:
        """Merges an update with notices."""
        revision = max(each.revision for each in notices)
        self.replica.merge(ItemBatch(revision, ()), notices)

    def _apply(self, item: RegistryItem, before: RegistryRecord | None) -> None:
        assert isinstance(item.record, RoutingRecord)
        self.numbers.append(item.record.number)


def _play(
    sources: _Sources,
    registry: _Registry,
    scene: Callable[[_Instance], Coroutine[Any, Any, None]],
) -> _Instance:
    played: list[_Instance] = []

    async def _run() -> None:
        instance = _Instance(sources, registry)
        played.append(instance)
        task = asyncio.create_task(instance.fetcher.run())
        await scene(instance)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_in_virtual_time(_run(), settle_seconds=0)
    return played[0]


def _hearing(
    notice: ConfigurationNotice,
) -> Callable[[_Instance], Coroutine[Any, Any, None]]:
    """Returns a scene in which an instance hears of a configuration."""

    async def _scene(instance: _Instance) -> None:
        instance.hear(notice)
        await asyncio.sleep(PATIENCE_S)

    return _scene


# Guards against cut transfers that begin again from the first byte.
def test_a_cut_transfer_goes_on_from_another_peer() -> None:
    """What the first one has sent is kept."""
    sources = _Sources(near=4, far=1000)
    notice = _notice(7)
    sources.numbers = {notice.digest: 7}

    instance = _play(sources, _Registry(), _hearing(notice))
    assert sources.asked == [('near', 0), ('far', 4)]
    assert instance.numbers == [7]
    assert not instance.replica.awaited.notices


def test_bytes_that_are_no_configuration_are_dropped() -> None:
    """The next peer sends it from the beginning."""
    sources = _Sources(near=1000, far=1000)
    sources.garbled = {'near'}
    notice = _notice(7)
    sources.numbers = {notice.digest: 7}

    instance = _play(sources, _Registry(), _hearing(notice))
    assert sources.asked == [('near', 0), ('far', 0)]
    assert instance.numbers == [7]


# Guards against a version whose only holder has died.
def test_the_registry_is_read_if_no_peer_has_the_content() -> None:
    """Not before the peers had their time."""
    registry = _Registry(RegistryItem(KEY, 7, _record(7), 1))
    sources = _Sources(near=0)

    async def _scene(instance: _Instance) -> None:
        instance.hear(_notice(7))
        await asyncio.sleep(PATIENCE_S - 0.1)
        assert not registry.reads
        await asyncio.sleep(0.3)
        assert instance.numbers == [7]

    _play(sources, registry, _scene)
    assert registry.reads == 1


def test_a_silent_registry_is_asked_ever_less_often() -> None:
    """The peers are asked all the while."""
    registry = _Registry()
    sources = _Sources(near=0)

    async def _scene(instance: _Instance) -> None:
        instance.hear(_notice(7))
        await asyncio.sleep(LONG_S)
        assert instance.replica.awaited.waited > timedelta(seconds=LONG_S - 1)

    _play(sources, registry, _scene)
    assert 3 <= registry.reads <= 8
    assert len(sources.asked) > 10 * registry.reads


# Guards against quick changes that each begin the wait for peers anew.
def test_quick_changes_do_not_put_the_registry_off() -> None:
    """Each version that nobody has is replaced by the next one."""
    registry = _Registry(RegistryItem(KEY, 30, _record(30), 1))
    sources = _Sources(near=0)

    async def _scene(instance: _Instance) -> None:
        for number in range(10, 15):
            instance.hear(_notice(number))
            await asyncio.sleep(PATIENCE_S / 2)
        assert instance.numbers == [30]

    _play(sources, registry, _scene)


# Guards against a transfer that nobody can end and that blocks newer ones.
def test_a_superseded_transfer_without_progress_is_given_up() -> None:
    """The newer version is then received."""
    sources = _Sources(near=4)
    old, new = _notice(7), _notice(8)
    sources.numbers = {old.digest: 7}

    async def _scene(instance: _Instance) -> None:
        instance.hear(old)
        await asyncio.sleep(0.015)
        sources.numbers = {new.digest: 8}
        sources.sent = {'near': 1000}
        instance.hear(new)
        await asyncio.sleep(PATIENCE_S)
        assert instance.numbers == [8]

    _play(sources, _Registry(), _scene)


def test_a_superseded_transfer_that_goes_on_comes_into_force() -> None:
    """No version is in force after a later one."""
    sources = _Sources(near=16)
    old, new = _notice(7), _notice(8)
    sources.numbers = {old.digest: 7, new.digest: 8}

    async def _scene(instance: _Instance) -> None:
        instance.hear(old)
        await asyncio.sleep(0.015)
        instance.hear(new)
        await asyncio.sleep(4 * PATIENCE_S)
        assert instance.numbers == [7, 8]

    _play(sources, _Registry(), _scene)


def test_a_notice_of_what_is_known_is_not_awaited() -> None:
    """Nor one of an older version."""

    async def _scene(instance: _Instance) -> None:
        item = RegistryItem(KEY, 9, _record(9), 1)
        instance.replica.merge(ItemBatch(9, (item,)))
        instance.hear(_notice(9))
        instance.hear(_notice(8))
        assert not instance.replica.awaited.notices

    _play(_Sources(), _Registry(), _scene)


def test_a_restored_copy_replaces_what_is_awaited() -> None:
    """The configuration in force stays until the copy's one is higher."""

    async def _scene(instance: _Instance) -> None:
        item = RegistryItem(KEY, 9, _record(9), 1)
        instance.replica.merge(ItemBatch(9, (item,)))
        instance.hear(_notice(10))
        older = _notice(8, revision=5)
        instance.replica.merge(ItemBatch(6, (), 1), (older,))
        assert instance.replica.awaited.notices == (older,)
        instance.replica.take_configuration(older, _record(8))
        assert instance.numbers == [9]
        assert not instance.replica.awaited.notices
        newest = _notice(11, revision=8)
        instance.replica.merge(ItemBatch(8, (), 1), (newest,))
        instance.replica.take_configuration(newest, _record(11))
        assert instance.numbers == [9, 11]
        assert instance.replica.position == Position(1, 8)

    _play(_Sources(), _Registry(), _scene)


def test_a_held_configuration_is_adopted() -> None:
    """A peer has it in force although the registry has lost it."""
    held = _notice(9)
    held = ConfigurationNotice(KEY, 9, 1, 9, held.digest, is_held=True)
    sources = _Sources(near=1000)
    sources.numbers = {held.digest: 9}

    async def _scene(instance: _Instance) -> None:
        instance.hear(held)
        await asyncio.sleep(PATIENCE_S)
        assert instance.numbers == [9]
        assert not instance.replica.awaited.notices

    _play(sources, _Registry(), _scene)
