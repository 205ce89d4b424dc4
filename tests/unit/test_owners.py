"""Owners of an upstream together never use more than its slots.

Real rights, plans and writes of several instances, against the plain sum of
what runs at each upstream.
"""

from collections.abc import Sequence
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lycheedyke.coordination import ReceivedMessage
from lycheedyke.exceptions import (
    WriteConflict,
)
from lycheedyke.protocol import (
    Heartbeat,
    HeartbeatReply,
    decode_owners,
)
from standins.clock import ManualClock
from standins.owners import (
    MS,
    NAME,
    SEATS,
    SIZES,
    SLOTS,
    Entry,
    FakePlatform,
)

seats = st.integers(0, SEATS - 1)
upstreams = st.sampled_from(sorted(SIZES))


class World(RuleBasedStateMachine):
    """Entries that are killed, frozen, cut off, and see different views."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.platform = FakePlatform()
        self.entries = [Entry(seat, 0, self) for seat in range(SEATS)]
        self.ended: list[Entry] = []
        self.beats: list[tuple[Heartbeat, int, int, timedelta]] = []
        self.replies: list[tuple[HeartbeatReply, Entry, Entry, timedelta]] = []

    def running(self) -> list[Entry]:
        return [one for one in self.entries if one.is_alive and one.is_awake]

    @initialize()
    def settle(self) -> None:
        for _ in range(4):
            self.round()

    @rule()
    def round(self) -> None:
        """All exchange heartbeats, write, and fill their slots."""
        for asker in self.running():
            for answerer in self.running():
                if asker is not answerer and answerer.view >= {
                    self.entries.index(asker)
                }:
                    self.exchange(asker, answerer)
        for entry in self.running():
            entry.improve()
        self.fill()

    @rule()
    def fill(self) -> None:
        for entry in self.running():
            for name in SIZES:
                entry.admit(name)

    @rule(name=upstreams, seat=seats)
    def finish_work(self, name: str, seat: int) -> None:
        self.entries[seat].works[name].clear()

    @rule(step=st.sampled_from([10, 240, 600, 1000, 1300, 2600]))
    def wait(self, step: int) -> None:
        self.clock.pass_time((step * MS).total_seconds())

    @rule(asker=seats, answerer=seats)
    def send(self, asker: int, answerer: int) -> None:
        """A heartbeat leaves, to arrive at any time or never."""
        one = self.entries[asker]
        if asker != answerer and one in self.running():
            now = self.clock.elapsed()
            self.beats.append((one.beat(), asker, answerer, now))

    @rule(choice=st.integers(0, 9))
    def deliver(self, choice: int) -> None:
        if choice < len(self.beats):
            beat, asker, answerer, sent = self.beats.pop(choice)
            one, other = self.entries[asker], self.entries[answerer]
            if other in self.running():
                reply = other.answer(beat)
                if one.info.incarnation == beat.incarnation:
                    self.replies.append((reply, one, other, sent))

    @rule(choice=st.integers(0, 9))
    def deliver_reply(self, choice: int) -> None:
        if choice < len(self.replies):
            reply, one, other, sent = self.replies[choice]
            if one in self.running():
                self.replies.pop(choice)
                one.take(reply, sent, other.info)

    @rule(seat=seats)
    def improve(self, seat: int) -> None:
        if self.entries[seat] in self.running():
            self.entries[seat].improve()

    @rule(seat=seats, view=st.sets(seats))
    def change_view(self, seat: int, view: set[int]) -> None:
        self.entries[seat].view = view

    @rule(mode=st.sampled_from(['ok', 'ok', 'down', 'lost', 'late']))
    def change_platform(self, mode: str) -> None:
        self.platform.mode = mode

    @rule()
    def land_late_write(self) -> None:
        if self.platform.late:
            try:
                self.platform.land(*self.platform.late.pop(0))
            except WriteConflict:
                return

    @rule(seat=seats)
    def freeze_or_wake(self, seat: int) -> None:
        entry = self.entries[seat]
        entry.is_awake = not entry.is_awake

    @rule(seat=seats)
    def kill(self, seat: int) -> None:
        self.entries[seat].is_alive = False

    @rule(seat=seats)
    def restart(self, seat: int) -> None:
        old = self.entries[seat]
        old.is_alive = False
        self.ended.append(old)
        self.entries[seat] = Entry(seat, old.life + 1, self)

    @rule(seat=seats)
    def probe(self, seat: int) -> None:
        """Running entries find that nothing listens at an address."""
        if not self.entries[seat].is_alive:
            for entry in self.running():
                entry.owners.allowance.record_end(
                    self.entries[seat].info.incarnation
                )

    @invariant()
    def slots_are_kept(self) -> None:
        for name, size in SIZES.items():
            works = [
                one.in_flight(name) for one in (*self.entries, *self.ended)
            ]
            assert sum(works) <= size.slots, (name, works)

    def pair(self) -> tuple[Entry, Entry]:
        """Returns the owner and the deputy of the first upstream."""
        assert self.platform.entry is not None
        pair = decode_owners(self.platform.entry.content).pairs[NAME]
        by_incarnation = {one.info.incarnation: one for one in self.entries}
        return by_incarnation[pair.owner], by_incarnation[pair.deputy]

    def check(self, steps_ms: Sequence[int] = (0,)) -> None:
        """Waits in steps, and fills and counts all slots after each."""
        for step in steps_ms:
            self.wait(step)
            self.fill()
            self.slots_are_kept()

    def seat(self, entry: Entry) -> int:
        return self.entries.index(entry)

    def exchange(self, asker: Entry, answerer: Entry) -> None:
        sent = self.clock.elapsed()
        reply = answerer.answer(asker.beat())
        asker.take(reply, sent, answerer.info)


TestOwners = World.TestCase


def _settled() -> tuple[World, Entry, Entry]:
    world = World()
    world.settle()
    world.check()
    return (world, *world.pair())


def test_deputy_waits_for_work_admitted_at_the_last_moment() -> None:
    """A cut owner fills all slots just before it lowers itself."""
    world, owner, deputy = _settled()
    world.wait(990)
    owner.works[NAME].clear()
    world.check([0, 270, 740, 240, 20])
    assert deputy.in_flight(NAME) == SLOTS // 2


def test_acknowledgement_counts_from_the_sending() -> None:
    """A reply that comes late keeps the owner full for less time."""
    world, owner, deputy = _settled()
    sent = world.clock.elapsed()
    reply = deputy.answer(owner.beat())
    world.check([900])
    owner.take(reply, sent, deputy.info)
    world.wait(900)
    owner.works[NAME].clear()
    world.check([0, 460])
    assert deputy.in_flight(NAME)


def test_owner_leaves_room_for_the_deputys_last_work() -> None:
    """Hearing each other again, both stay at their parts at first."""
    world, owner, deputy = _settled()
    world.check([1200, 1200])
    assert deputy.in_flight(NAME) == SLOTS // 2
    world.exchange(owner, deputy)
    world.check([0, 600, 500])


def test_deputy_with_work_in_flight_does_not_give_up_its_part() -> None:
    """The owner gets all slots only when the deputy's work has ended."""
    world, owner, deputy = _settled()
    world.check([1200, 1200])
    world.exchange(owner, deputy)
    deputy.view -= {world.seat(deputy)}
    deputy.improve()
    world.exchange(owner, deputy)
    world.check()


def test_lost_write_of_a_new_deputy_lowers_the_owner() -> None:
    """The owner does not know of the deputy that it has appointed."""
    world, owner, deputy = _settled()
    seat = world.seat(deputy)
    world.kill(seat)
    owner.view -= {seat}
    world.probe(seat)
    world.check([1300])
    assert owner.in_flight(NAME) == SLOTS
    world.platform.mode = 'lost'
    owner.improve()
    _, appointed = world.pair()
    assert world.platform.entry is not None
    record = decode_owners(world.platform.entry.content)
    assert appointed.owners.allowance.apply_record(record)
    world.check([0, 1200, 1200])
    assert appointed.in_flight(NAME) == SLOTS // 2


def test_silent_deputy_keeps_its_part() -> None:
    """An owner that sees others does not replace a deputy it cannot hear."""
    world, owner, deputy = _settled()
    owner.view -= {world.seat(deputy)}
    others = [one for one in world.entries if one is not deputy]
    for _ in range(20):
        for asker in others:
            for answerer in others:
                if asker is not answerer:
                    world.exchange(asker, answerer)
        owner.improve()
        world.check([240])
    assert deputy.in_flight(NAME) == SLOTS // 2


def test_grant_of_an_earlier_pairing_is_ignored() -> None:
    """A heartbeat that was under way while the deputy was reappointed."""
    world, owner, deputy = _settled()
    owner.owners.allowance.grant(NAME, SLOTS)
    late = owner.beat()
    view = deputy.view
    deputy.view = view - {world.seat(deputy)}
    deputy.improve()
    owner.view = {world.seat(owner), world.seat(deputy)}
    world.exchange(owner, deputy)
    owner.improve()
    deputy.view = view
    assert world.pair() == (owner, deputy)
    world.exchange(deputy, owner)
    deputy.owners.receive(ReceivedMessage(late))
    world.check([1100, 10])


def test_late_reply_of_an_old_process_does_not_prove_the_new_one_dead() -> None:
    """Only an answer to a question asked later proves that."""
    world, owner, deputy = _settled()
    sent = world.clock.elapsed()
    reply = owner.answer(deputy.beat())
    seat = world.seat(owner)
    world.restart(seat)
    for _ in range(30):
        world.wait(240)
        world.round()
    owner, deputy = world.pair()
    assert owner is world.entries[seat]
    deputy.take(reply, sent, owner.info)
    for _ in range(8):
        world.wait(240)
        world.round()
        world.slots_are_kept()


def test_owner_that_never_idles_leaves_to_its_deputy() -> None:
    """Slots are kept free for the deputy as they become free."""
    world, owner, deputy = _settled()
    owner.view = owner.view - {world.seat(owner)}
    for _ in range(2 * SLOTS):
        owner.works[NAME] = owner.works[NAME][1:]
        world.check()
        owner.improve()
        world.exchange(owner, deputy)
        world.exchange(deputy, owner)
        world.clock.pass_time((MS).total_seconds())
    assert (owner.in_flight(NAME), deputy.in_flight(NAME)) == (0, SLOTS)


def test_dead_owner_is_replaced_and_slots_come_back() -> None:
    """After proof of death the deputy owns all slots, with the record."""
    world = World()
    world.settle()
    owner = next(one for one in world.entries if one.works['kassa-1'])
    seat = world.entries.index(owner)
    world.kill(seat)
    for entry in world.entries:
        entry.view.discard(seat)
    world.probe(seat)
    for _ in range(12):
        world.wait(240)
        world.round()
        world.slots_are_kept()
    works = [one.in_flight('kassa-1') for one in world.running()]
    assert sum(works) == SIZES['kassa-1'].slots


def test_restarted_entries_get_upstreams_back_without_overlap() -> None:
    """Each upstream moves to its first choice once that has come back."""
    world = World()
    world.settle()
    before = [one.in_flight('kassa-1') for one in world.entries]
    for seat in range(SEATS):
        world.restart(seat)
        for _ in range(20):
            world.wait(240)
            world.round()
            world.slots_are_kept()
    assert [one.in_flight('kassa-1') for one in world.entries] == before
