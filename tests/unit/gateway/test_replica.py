"""The copy of the registry: merging, lapses in an outage, lost history."""

import asyncio
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.coordination import RegistryFollower, Replica
from lycheedyke.coordination._registry_follower import DEFAULT_INTERVALS
from lycheedyke.exceptions import HistoryLost, PlatformUnreachable
from lycheedyke.protocol import (
    EvacuationRecord,
    ItemBatch,
    RegistryItem,
    RegistryRecord,
    RegistryUpdate,
)
from standins.clock import ManualClock
from standins.records import make_upstream

REAPPEARANCE = timedelta(seconds=2)


class _Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, bool]] = []

    def follow(self, item: RegistryItem, before: RegistryRecord | None) -> None:
        self.lines.append((item.key, item.record is not None))


def _make() -> tuple[Replica, ManualClock, _Log]:
    clock = ManualClock()
    log = _Log()
    return Replica(clock, REAPPEARANCE, log.follow), clock, log


def _seen(key: str, revision: int) -> RegistryItem:
    return RegistryItem(key, revision, make_upstream(key))


@given(st.permutations([_seen('a', 2), RegistryItem('a', 3), _seen('a', 5)]))
def test_copies_merge_to_the_newest_in_any_order(
    items: list[RegistryItem],
) -> None:
    """Late, old and repeated news change nothing."""
    replica, _, _ = _make()
    for item in (*items, *items):
        replica.merge(ItemBatch(item.revision, (item,)))
    assert replica.changes_after(0).items == (_seen('a', 5),)


def test_whole_state_removes_what_it_lacks() -> None:
    """What is gone while history was lost is gone here."""
    replica, _, log = _make()
    replica.merge(ItemBatch(2, (_seen('a', 1), _seen('b', 2))))
    replica.merge_full_state(ItemBatch(7, (_seen('b', 2),)))
    assert log.lines[-1] == ('a', False)
    assert list(replica.records()) == [make_upstream('b')]


def test_whole_state_keeps_what_is_newer_than_it() -> None:
    """Pages are read over a time in which news arrive."""
    replica, _, _ = _make()
    replica.merge(ItemBatch(9, (_seen('a', 9),)))
    replica.merge_full_state(ItemBatch(7, ()))
    assert len(list(replica.records())) == 1


def test_lapsed_in_an_outage_is_kept_then_gone() -> None:
    """A record has two seconds after the return to be back."""
    replica, clock, log = _make()
    replica.merge(ItemBatch(1, (_seen('a', 1),)))
    replica.record_outage()
    clock.pass_time(1)
    replica.merge(ItemBatch(2, (RegistryItem('a', 2),)))
    replica.remove_lapsed()
    assert log.lines == [('a', True)]
    clock.pass_time(1.1)
    replica.remove_lapsed()
    assert log.lines[-1] == ('a', False)


def test_lapsed_in_an_outage_and_back_never_left() -> None:
    """An upstream that lives and writes again stays in use throughout."""
    replica, clock, log = _make()
    replica.merge(ItemBatch(1, (_seen('a', 1),)))
    replica.record_outage()
    replica.merge(ItemBatch(2, (RegistryItem('a', 2),)))
    clock.pass_time(1.5)
    replica.merge(ItemBatch(3, (_seen('a', 3),)))
    clock.pass_time(5)
    replica.remove_lapsed()
    assert ('a', False) not in log.lines


def test_removal_without_an_outage_counts_at_once() -> None:
    """What leaves while the registry is sound is gone."""
    replica, _, log = _make()
    replica.merge(ItemBatch(1, (_seen('a', 1),)))
    replica.merge(ItemBatch(2, (RegistryItem('a', 2),)))
    assert log.lines[-1] == ('a', False)


def test_operators_words_never_lapse() -> None:
    """A zone taken back in an outage is taken back at once."""
    replica, _, log = _make()
    zone = RegistryItem('evacuation/a', 1, EvacuationRecord('a'))
    replica.merge(ItemBatch(1, (zone,)))
    replica.record_outage()
    replica.merge(ItemBatch(2, (RegistryItem('evacuation/a', 2),)))
    assert log.lines[-1] == ('evacuation/a', False)


class _Registry:
    """Gives scripted answers, then waits for ever."""

    def __init__(self, *answers: ItemBatch | Exception) -> None:
        self.asked: list[int | None] = []
        self._answers = list(answers)

    async def read_all(self) -> ItemBatch:
        return await self._next(None)

    async def watch(self, after: int, wait: timedelta) -> ItemBatch:
        return await self._next(after)

    async def _next(self, after: int | None) -> ItemBatch:
        self.asked.append(after)
        if not self._answers:
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Peers:
    """Tells scripted news."""

    def __init__(
        self,
        watcher: RegistryUpdate | None = None,
        some: RegistryUpdate | None = None,
    ) -> None:
        self.asked = 0
        self._watcher = watcher
        self._some = some

    @property
    def is_watcher(self) -> bool:
        return True

    async def poll_source(self, after: int) -> RegistryUpdate | None:
        self.asked += 1
        await asyncio.sleep(0)
        return self._watcher

    async def poll_sample(self, after: int) -> list[RegistryUpdate]:
        await asyncio.sleep(0)
        return [self._some] if self._some else []


async def _follow(
    registry: _Registry,
    replica: Replica,
    peers: _Peers | None = None,
    *,
    cut_off: bool = False,
) -> None:
    follower = RegistryFollower(
        registry,  # type: ignore[arg-type]
        replica,
        peers or _Peers(),
        ManualClock(),
    )
    way = follower.follow_peers if cut_off else follower.follow
    task = asyncio.create_task(way())
    for _ in range(50):
        await asyncio.sleep(0)
    task.cancel()


def test_lost_history_leads_to_reading_everything() -> None:
    """After history is lost the whole state is read, then changes again."""
    replica, _, _ = _make()
    registry = _Registry(
        ItemBatch(4, (_seen('a', 3),)),
        HistoryLost('gone'),
        ItemBatch(9, ()),
    )
    asyncio.run(_follow(registry, replica))
    assert registry.asked == [None, 4, None, 9]
    assert not list(replica.records())


def test_failed_calls_are_made_again() -> None:
    """An outage at the start delays the first reading only."""
    replica, _, _ = _make()
    registry = _Registry(
        PlatformUnreachable('down'),
        ItemBatch(4, (_seen('a', 3),)),
    )
    asyncio.run(_follow(registry, replica))
    assert registry.asked == [None, None, 4]


def test_peers_are_asked_once_the_registry_is_silent() -> None:
    """An instance that is turned away learns from others."""
    replica, _, _ = _make()
    peers = _Peers(some=RegistryUpdate(100, ItemBatch(5, (_seen('a', 5),))))
    asyncio.run(_follow(_Registry(), replica, peers, cut_off=True))
    assert replica.revision == 5


def test_fresh_news_of_the_watcher_spare_the_registry() -> None:
    """Calls grow with the zones, not with the instances."""
    replica, _, _ = _make()
    registry = _Registry()
    peers = _Peers(watcher=RegistryUpdate(300, ItemBatch(5, (_seen('a', 5),))))
    asyncio.run(_follow(registry, replica, peers))
    assert replica.revision == 5
    assert not registry.asked
    assert peers.asked > 3


def test_old_news_of_the_watcher_do_not() -> None:
    """A watcher that is turned away blinds nobody."""
    replica, _, _ = _make()
    registry = _Registry(ItemBatch(7, (_seen('a', 7),)))
    peers = _Peers(watcher=RegistryUpdate(9000, ItemBatch(5, (_seen('a', 5),))))
    asyncio.run(_follow(registry, replica, peers))
    assert replica.revision == 7


def test_news_of_who_is_turned_away_are_old_at_once() -> None:
    """Others ask the registry themselves rather than wait for their age."""

    async def _play() -> None:
        replica, _, _ = _make()
        registry = _Registry(ItemBatch(4, ()), PlatformUnreachable('busy'))
        clock = ManualClock()
        follower = RegistryFollower(
            registry,  # type: ignore[arg-type]
            replica,
            _Peers(),
            clock,
        )
        await follower._hear()
        assert follower.age == timedelta()
        await follower._hear()
        assert follower.age >= DEFAULT_INTERVALS.silence

    asyncio.run(_play())


def test_traces_of_removed_items_are_bounded() -> None:
    """Upstreams come and go for months."""
    replica, _, _ = _make()
    for at in range(6_000):
        replica.merge(
            ItemBatch(2 * at + 2, (_seen(f'u{at}', 2 * at + 1),)),
        )
        gone = RegistryItem(f'u{at}', 2 * at + 2)
        replica.merge(ItemBatch(2 * at + 2, (gone,)))
    assert 1_000 < len(replica.changes_after(0).items) <= 2_049
    assert gone in replica.changes_after(0).items
