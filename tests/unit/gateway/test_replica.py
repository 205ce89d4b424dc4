"""Tests the replica: merges, records that lapse in an outage, lost history."""

import asyncio
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.coordination import RegistryFollower, Replica
from lycheedyke.coordination._follow_intervals import DEFAULT_INTERVALS
from lycheedyke.coordination._removal_deferral import PeerDeferral
from lycheedyke.exceptions import HistoryLost, PlatformUnreachable
from lycheedyke.protocol import (
    EvacuationRecord,
    ItemBatch,
    Position,
    RegistryItem,
    RegistryRecord,
    RegistryUpdate,
)
from standins.clock import ManualClock
from standins.records import make_upstream

REAPPEARANCE = timedelta(seconds=2)
MILLISECOND = timedelta(milliseconds=1)
OUTAGE = timedelta(seconds=5)
FAILED_CALLS = 8
# Below the timeout of a poll of a peer.
UPDATE_SECONDS = 0.45


class _ChangeLog:
    def __init__(self) -> None:
        self.lines: list[tuple[str, bool]] = []

    def record(self, item: RegistryItem, before: RegistryRecord | None) -> None:
        self.lines.append((item.key, item.record is not None))


def _make() -> tuple[Replica, ManualClock, _ChangeLog]:
    clock = ManualClock()
    log = _ChangeLog()
    return Replica(clock, REAPPEARANCE, log.record), clock, log


def _present(key: str, revision: int) -> RegistryItem:
    return RegistryItem(key, revision, make_upstream(key))


@given(
    st.permutations([_present('a', 2), RegistryItem('a', 3), _present('a', 5)])
)
def test_copies_merge_to_the_newest_in_any_order(
    items: list[RegistryItem],
) -> None:
    """Late, old and repeated updates change nothing."""
    replica, _, _ = _make()
    for item in (*items, *items):
        replica.merge(ItemBatch(item.revision, (item,)))
    assert replica.changes_after(Position(0, 0)).items == (_present('a', 5),)


def test_whole_state_removes_what_it_lacks() -> None:
    """A record removed while the history was lost is removed here too."""
    replica, _, log = _make()
    replica.merge(ItemBatch(2, (_present('a', 1), _present('b', 2))))
    replica.merge_full_state(ItemBatch(7, (_present('b', 2),)))
    assert log.lines[-1] == ('a', False)
    assert list(replica.records()) == [make_upstream('b')]


def test_whole_state_keeps_what_is_newer_than_it() -> None:
    """Updates may arrive while the pages of the full state are read."""
    replica, _, _ = _make()
    replica.merge(ItemBatch(9, (_present('a', 9),)))
    replica.merge_full_state(ItemBatch(7, ()))
    assert len(list(replica.records())) == 1


def test_lapsed_in_an_outage_is_kept_then_removed() -> None:
    """A lapsed record may be written again for 2 s after the outage."""
    replica, clock, log = _make()
    replica.merge(ItemBatch(1, (_present('a', 1),)))
    replica.record_outage(OUTAGE)
    clock.advance(1)
    replica.merge(ItemBatch(2, (RegistryItem('a', 2),)))
    replica.remove_lapsed(clock.elapsed())
    assert log.lines == [('a', True)]
    clock.advance(1.1)
    replica.remove_lapsed(clock.elapsed())
    assert log.lines[-1] == ('a', False)


def test_record_renewed_in_an_outage_stays_in_use() -> None:
    """An upstream that writes its record again stays in use throughout."""
    replica, clock, log = _make()
    replica.merge(ItemBatch(1, (_present('a', 1),)))
    replica.record_outage(OUTAGE)
    replica.merge(ItemBatch(2, (RegistryItem('a', 2),)))
    clock.advance(1.5)
    replica.merge(ItemBatch(3, (_present('a', 3),)))
    clock.advance(5)
    replica.remove_lapsed(clock.elapsed())
    assert ('a', False) not in log.lines


def test_removal_without_an_outage_counts_at_once() -> None:
    """A record removed while the registry is reachable is dropped at once."""
    replica, _, log = _make()
    replica.merge(ItemBatch(1, (_present('a', 1),)))
    replica.merge(ItemBatch(2, (RegistryItem('a', 2),)))
    assert log.lines[-1] == ('a', False)


def test_operators_records_never_lapse() -> None:
    """An evacuation that ends during an outage ends here at once."""
    replica, _, log = _make()
    zone = RegistryItem('evacuation/a', 1, EvacuationRecord('a'))
    replica.merge(ItemBatch(1, (zone,)))
    replica.record_outage(OUTAGE)
    replica.merge(ItemBatch(2, (RegistryItem('evacuation/a', 2),)))
    assert log.lines[-1] == ('evacuation/a', False)


class _Registry:
    """A registry that gives scripted answers, then waits forever."""

    def __init__(self, *answers: ItemBatch | Exception) -> None:
        self.generation = 0
        self.requests: list[int | None] = []
        self._answers = list(answers)

    async def read_all(self) -> ItemBatch:
        return await self._next(None)

    async def watch(self, after: int, wait: timedelta) -> ItemBatch:
        return await self._next(after)

    async def _next(self, after: int | None) -> ItemBatch:
        self.requests.append(after)
        if not self._answers:
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Peers:
    """Peers with scripted updates."""

    def __init__(
        self,
        watcher: RegistryUpdate | None = None,
        some: RegistryUpdate | None = None,
        seeds: tuple[RegistryUpdate | None, ...] = (),
    ) -> None:
        self.requests = 0
        self.has_seeds = bool(seeds)
        self._watcher = watcher
        self._some = some
        self._seeds = list(seeds)

    @property
    def is_watcher(self) -> bool:
        return True

    async def poll_source(self, after: Position) -> RegistryUpdate | None:
        self.requests += 1
        await asyncio.sleep(0)
        return self._watcher

    async def poll_sample(self, after: Position) -> list[RegistryUpdate]:
        await asyncio.sleep(0)
        return [self._some] if self._some else []

    async def poll_seeds(self) -> RegistryUpdate | None:
        await asyncio.sleep(0)
        return self._seeds.pop(0) if self._seeds else None


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
    follow = follower.follow_peers if cut_off else follower.follow
    task = asyncio.create_task(follow())
    for _ in range(50):
        await asyncio.sleep(0)
    task.cancel()


# Guards against many calls to the registry for each instance that starts.
def test_everything_is_read_from_a_seed_that_has_it() -> None:
    """The registry is then asked for changes alone."""
    replica, _, log = _make()
    registry = _Registry()
    batch = ItemBatch(7, (_present('evacuation/a', 5),))
    peers = _Peers(seeds=(None, RegistryUpdate(20, batch)))
    asyncio.run(_follow(registry, replica, peers))
    assert registry.requests == [7]
    assert log.lines == [('evacuation/a', True)]


# Guards against an instance that never starts as its seeds are down or know
# nothing recent.
@pytest.mark.parametrize('age_ms', [None, 1300])
def test_the_registry_is_read_if_seeds_do_not_help(age_ms: int | None) -> None:
    """The wait ends 1.5 s after the start; old updates are brought up to date."""
    replica, _, _ = _make()
    registry = _Registry()
    update = None
    if age_ms is not None:
        update = RegistryUpdate(age_ms, ItemBatch(7, ()))
    peers = _Peers(seeds=(update,) * 30)
    asyncio.run(_follow(registry, replica, peers))
    assert registry.requests == ([None] if age_ms is None else [7])


def test_lost_history_leads_to_reading_everything() -> None:
    """After the history is lost, the full state is read, then changes."""
    replica, _, _ = _make()
    registry = _Registry(
        ItemBatch(4, (_present('a', 3),)),
        HistoryLost('gone'),
        ItemBatch(9, ()),
    )
    asyncio.run(_follow(registry, replica))
    assert registry.requests == [None, 4, None, 9]
    assert not list(replica.records())


def test_failed_calls_are_made_again() -> None:
    """An outage at the start only delays the first read."""
    replica, _, _ = _make()
    registry = _Registry(
        PlatformUnreachable('down'),
        ItemBatch(4, (_present('a', 3),)),
    )
    asyncio.run(_follow(registry, replica))
    assert registry.requests == [None, None, 4]


def test_peers_are_asked_once_the_registry_is_silent() -> None:
    """An instance that the registry refuses gets updates from peers."""
    replica, _, _ = _make()
    peers = _Peers(some=RegistryUpdate(100, ItemBatch(5, (_present('a', 5),))))
    asyncio.run(_follow(_Registry(), replica, peers, cut_off=True))
    assert replica.revision == 5


def test_fresh_news_of_the_watcher_spare_the_registry() -> None:
    """Calls to the registry do not grow with the number of instances."""
    replica, _, _ = _make()
    registry = _Registry()
    peers = _Peers(
        watcher=RegistryUpdate(300, ItemBatch(5, (_present('a', 5),)))
    )
    asyncio.run(_follow(registry, replica, peers))
    assert replica.revision == 5
    assert not registry.requests
    assert peers.requests > 3


def test_old_news_of_the_watcher_do_not_spare_the_registry() -> None:
    """A watcher that the registry refuses does not leave others outdated."""
    replica, _, _ = _make()
    registry = _Registry(ItemBatch(7, (_present('a', 7),)))
    peers = _Peers(
        watcher=RegistryUpdate(9000, ItemBatch(5, (_present('a', 5),)))
    )
    asyncio.run(_follow(registry, replica, peers))
    assert replica.revision == 7


def test_news_of_a_refused_instance_are_old_at_once() -> None:
    """Others poll the registry themselves at once, without any wait."""

    async def _check() -> None:
        replica, _, _ = _make()
        registry = _Registry(ItemBatch(4, ()), PlatformUnreachable('busy'))
        clock = ManualClock()
        follower = RegistryFollower(
            registry,  # type: ignore[arg-type]
            replica,
            _Peers(),
            clock,
        )
        await follower._poll()
        assert follower.age == timedelta()
        await follower._poll()
        assert follower.age >= DEFAULT_INTERVALS.silence

    asyncio.run(_check())


def test_a_later_generation_leads_to_one_read_of_everything() -> None:
    """Also where the registry has the revision that was known before."""
    replica, _, _ = _make()
    registry = _Registry(
        ItemBatch(9, (_present('a', 3),)),
        ItemBatch(11, (_present('b', 11),), 1),
        ItemBatch(12, (_present('b', 11), _present('c', 5)), 1),
        HistoryLost('the registry has only 7'),
        ItemBatch(7, (_present('c', 5),), 2),
    )
    asyncio.run(_follow(registry, replica))
    assert registry.requests == [None, 9, None, 12, None, 7]
    assert replica.position == Position(2, 7)


def test_a_late_answer_of_an_earlier_generation_is_a_failure() -> None:
    """Peers told of the later generation already."""
    replica, _, log = _make()
    replica.merge(ItemBatch(7, (), 1))
    registry = _Registry(ItemBatch(9, (_present('a', 3),)), ItemBatch(8, (), 1))
    asyncio.run(_follow(registry, replica))
    assert registry.requests == [None, None, 8]
    assert not log.lines


def test_news_of_an_earlier_generation_do_not_spare_the_registry() -> None:
    """A watcher that has not heard yet, or tells no generation."""
    replica, _, _ = _make()
    replica.merge(ItemBatch(7, (), 1))
    registry = _Registry(ItemBatch(8, (), 1))
    late = RegistryUpdate(0, ItemBatch(9, (_present('a', 3),)))
    asyncio.run(_follow(registry, replica, _Peers(watcher=late)))
    assert registry.requests == [None, 8]
    assert replica.position == Position(1, 8)


def test_what_a_peer_of_the_last_release_tells_is_checked() -> None:
    """It tells no generation; the registry's other answers do."""
    replica, _, _ = _make()
    registry = _Registry(ItemBatch(7, (), 1))
    registry.generation = 1
    untold = RegistryUpdate(0, ItemBatch(9, (_present('a', 3),)))
    asyncio.run(_follow(registry, replica, _Peers(watcher=untold)))
    assert registry.requests == [None, 7]
    assert replica.position == Position(1, 7)


def test_tombstones_of_removed_items_are_bounded() -> None:
    """Upstreams are added and removed for months."""
    replica, _, _ = _make()
    for number in range(6_000):
        replica.merge(
            ItemBatch(
                2 * number + 2, (_present(f'u{number}', 2 * number + 1),)
            ),
        )
        removed = RegistryItem(f'u{number}', 2 * number + 2)
        replica.merge(ItemBatch(2 * number + 2, (removed,)))
    assert 1_000 < len(replica.changes_after(Position(0, 0)).items) <= 2_049
    assert removed in replica.changes_after(Position(0, 0)).items


def _tell(sender: Replica, clock: ManualClock, took_s: float) -> PeerDeferral:
    """Returns what a peer hears from `sender` in an update that takes a time."""
    asked = clock.elapsed()
    clock.advance(took_s)
    told = sender.deferral
    answered = asked - MILLISECOND
    return PeerDeferral(asked, told.left, told.token, told.steady, answered)


# Guards against DRAIN: a deferral was moved on by each update that told of it.
def test_a_deferral_that_peers_tell_each_other_ends_by_its_time() -> None:
    """Each update takes some time, and tells of a longer deferral."""
    told, clock, _ = _make()
    heard = Replica(clock, REAPPEARANCE, lambda item, before: None)
    told.record_outage(OUTAGE)
    until = told.deferral.until
    for _ in range(6):
        for sender, receiver in ((told, heard), (heard, told)):
            receiver.merge_deferral(_tell(sender, clock, 0.2), 0)
    assert told.deferral.until == until
    assert until - timedelta(seconds=0.2) <= heard.deferral.until <= until


def test_what_peers_pass_on_in_an_outage_does_not_shorten_it() -> None:
    """Each update takes some time, so the age that it states is too low."""

    async def _check() -> None:
        clock = ManualClock()
        replica = Replica(clock, REAPPEARANCE, lambda item, before: None)
        item = _present('a', 3)
        registry = _Registry(
            ItemBatch(4, (item,)),
            *(PlatformUnreachable('down') for _ in range(FAILED_CALLS)),
            ItemBatch(5, (RegistryItem('a', 5),)),
        )
        peers = _Peers()
        follower = RegistryFollower(
            registry,  # type: ignore[arg-type]
            replica,
            peers,
            clock,
        )

        async def _pass_on(after: Position) -> RegistryUpdate:
            """Returns what this instance has told, and what that peer has."""
            age, silence = follower.age, follower.silence
            clock.advance(UPDATE_SECONDS)
            return RegistryUpdate(
                age // MILLISECOND,
                ItemBatch(4, ()),
                silence_ms=silence // MILLISECOND,
            )

        await follower._poll()
        peers.poll_source = _pass_on  # type: ignore[method-assign]
        while len(registry.requests) < FAILED_CALLS + 2:
            await follower._poll()
            clock.advance(0.01)
        assert list(replica.records()) == [item.record]

    asyncio.run(_check())
