"""Tests that the owners of an upstream together never exceed its slots.

Several instances with real allowances, plans and writes run here; the check
is the plain sum of the requests that run at each upstream.
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
from standins.ownership_simulation import (
    INSTANCE_COUNT,
    MS,
    UPSTREAM,
    UPSTREAM_LIMITS,
    UPSTREAM_SLOTS,
    FakePlatform,
    SimulatedEntry,
)

indexes = st.integers(0, INSTANCE_COUNT - 1)
upstreams = st.sampled_from(sorted(UPSTREAM_LIMITS))


class OwnershipMachine(RuleBasedStateMachine):
    """Entry instances that are killed, frozen and cut off, with own views."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.platform = FakePlatform()
        self.entries = [
            SimulatedEntry(index, 0, self) for index in range(INSTANCE_COUNT)
        ]
        self.ended: list[SimulatedEntry] = []
        self.heartbeats: list[tuple[Heartbeat, int, int, timedelta]] = []
        self.replies: list[
            tuple[HeartbeatReply, SimulatedEntry, SimulatedEntry, timedelta]
        ] = []

    def running(self) -> list[SimulatedEntry]:
        return [one for one in self.entries if one.is_alive and one.is_awake]

    @initialize()
    def settle(self) -> None:
        for _ in range(4):
            self.round()

    @rule()
    def round(self) -> None:
        """All instances exchange heartbeats, write and fill their slots."""
        for requester in self.running():
            for responder in self.running():
                if requester is not responder and responder.view >= {
                    self.entries.index(requester)
                }:
                    self.exchange(requester, responder)
        for entry in self.running():
            entry.reconcile()
        self.fill()

    @rule()
    def fill(self) -> None:
        for entry in self.running():
            for name in UPSTREAM_LIMITS:
                entry.fill_slots(name)

    @rule(name=upstreams, index=indexes)
    def finish_work(self, name: str, index: int) -> None:
        self.entries[index].work_ends[name].clear()

    @rule(step=st.sampled_from([10, 240, 600, 1000, 1300, 2600]))
    def wait(self, step: int) -> None:
        self.clock.advance((step * MS).total_seconds())

    @rule(requester=indexes, responder=indexes)
    def send(self, requester: int, responder: int) -> None:
        """Sends a heartbeat that arrives at any later time or never."""
        one = self.entries[requester]
        if requester != responder and one in self.running():
            now = self.clock.elapsed()
            self.heartbeats.append(
                (one.make_heartbeat(), requester, responder, now)
            )

    @rule(choice=st.integers(0, 9))
    def deliver(self, choice: int) -> None:
        if choice < len(self.heartbeats):
            beat, requester, responder, sent = self.heartbeats.pop(choice)
            one, other = self.entries[requester], self.entries[responder]
            if other in self.running():
                reply = other.answer_heartbeat(beat)
                if one.info.incarnation == beat.incarnation:
                    self.replies.append((reply, one, other, sent))

    @rule(choice=st.integers(0, 9))
    def deliver_reply(self, choice: int) -> None:
        if choice < len(self.replies):
            reply, one, other, sent = self.replies[choice]
            if one in self.running():
                self.replies.pop(choice)
                one.apply_reply(reply, sent, other.info)

    @rule(index=indexes)
    def improve(self, index: int) -> None:
        if self.entries[index] in self.running():
            self.entries[index].reconcile()

    @rule(index=indexes, view=st.sets(indexes))
    def change_view(self, index: int, view: set[int]) -> None:
        self.entries[index].view = view

    @rule(mode=st.sampled_from(['ok', 'ok', 'down', 'lost', 'late']))
    def change_platform(self, mode: str) -> None:
        self.platform.mode = mode

    @rule()
    def land_late_write(self) -> None:
        if self.platform.delayed_writes:
            try:
                self.platform.apply_write(*self.platform.delayed_writes.pop(0))
            except WriteConflict:
                return

    @rule(index=indexes)
    def freeze_or_wake(self, index: int) -> None:
        entry = self.entries[index]
        entry.is_awake = not entry.is_awake

    @rule(index=indexes)
    def kill(self, index: int) -> None:
        self.entries[index].is_alive = False

    @rule(index=indexes)
    def restart(self, index: int) -> None:
        old = self.entries[index]
        old.is_alive = False
        self.ended.append(old)
        self.entries[index] = SimulatedEntry(index, old.run_number + 1, self)

    @rule(index=indexes)
    def probe(self, index: int) -> None:
        """Running instances find that no process listens at an address."""
        if not self.entries[index].is_alive:
            for entry in self.running():
                entry.owners.allowance.record_end(
                    self.entries[index].info.incarnation
                )

    @invariant()
    def slots_are_kept(self) -> None:
        for name, size in UPSTREAM_LIMITS.items():
            works = [
                one.in_flight(name) for one in (*self.entries, *self.ended)
            ]
            assert sum(works) <= size.slots, (name, works)

    def pair(self) -> tuple[SimulatedEntry, SimulatedEntry]:
        """Returns the owner and the deputy of the first upstream."""
        assert self.platform.entry is not None
        pair = decode_owners(self.platform.entry.content).pairs[UPSTREAM]
        by_incarnation = {one.info.incarnation: one for one in self.entries}
        return by_incarnation[pair.owner], by_incarnation[pair.deputy]

    def check(self, steps_ms: Sequence[int] = (0,)) -> None:
        """Waits in steps; fills and counts all slots after each step."""
        for step in steps_ms:
            self.wait(step)
            self.fill()
            self.slots_are_kept()

    def index_of(self, entry: SimulatedEntry) -> int:
        return self.entries.index(entry)

    def exchange(
        self, requester: SimulatedEntry, responder: SimulatedEntry
    ) -> None:
        sent = self.clock.elapsed()
        reply = responder.answer_heartbeat(requester.make_heartbeat())
        requester.apply_reply(reply, sent, responder.info)


TestOwners = OwnershipMachine.TestCase


def _settled() -> tuple[OwnershipMachine, SimulatedEntry, SimulatedEntry]:
    machine = OwnershipMachine()
    machine.settle()
    machine.check()
    return (machine, *machine.pair())


def test_deputy_waits_for_work_admitted_at_the_last_moment() -> None:
    """A cut-off owner fills all slots just before it reduces its own."""
    machine, owner, deputy = _settled()
    machine.wait(990)
    owner.work_ends[UPSTREAM].clear()
    machine.check([0, 270, 740, 240, 20])
    assert deputy.in_flight(UPSTREAM) == UPSTREAM_SLOTS // 2


def test_acknowledgement_counts_from_the_sending() -> None:
    """After a late reply, the owner may use all slots for less time."""
    machine, owner, deputy = _settled()
    sent = machine.clock.elapsed()
    reply = deputy.answer_heartbeat(owner.make_heartbeat())
    machine.check([900])
    owner.apply_reply(reply, sent, deputy.info)
    machine.wait(900)
    owner.work_ends[UPSTREAM].clear()
    machine.check([0, 460])
    assert deputy.in_flight(UPSTREAM)


def test_owner_leaves_room_for_the_deputys_last_work() -> None:
    """Owner and deputy reconnect, and both keep their parts at first."""
    machine, owner, deputy = _settled()
    machine.check([1200, 1200])
    assert deputy.in_flight(UPSTREAM) == UPSTREAM_SLOTS // 2
    machine.exchange(owner, deputy)
    machine.check([0, 600, 500])


def test_deputy_with_work_in_flight_does_not_give_up_its_part() -> None:
    """The owner gets all slots only when the deputy's work has ended."""
    machine, owner, deputy = _settled()
    machine.check([1200, 1200])
    machine.exchange(owner, deputy)
    deputy.view -= {machine.index_of(deputy)}
    deputy.reconcile()
    machine.exchange(owner, deputy)
    machine.check()


def test_lost_write_of_a_new_deputy_lowers_the_owner() -> None:
    """The owner does not know that its write of the deputy took effect."""
    machine, owner, deputy = _settled()
    index = machine.index_of(deputy)
    machine.kill(index)
    owner.view -= {index}
    machine.probe(index)
    machine.check([1300])
    assert owner.in_flight(UPSTREAM) == UPSTREAM_SLOTS
    machine.platform.mode = 'lost'
    owner.reconcile()
    _, appointed = machine.pair()
    assert machine.platform.entry is not None
    record = decode_owners(machine.platform.entry.content)
    assert appointed.owners.allowance.apply_record(record)
    machine.check([0, 1200, 1200])
    assert appointed.in_flight(UPSTREAM) == UPSTREAM_SLOTS // 2


def test_silent_deputy_keeps_its_part() -> None:
    """The owner keeps a silent deputy although other instances respond."""
    machine, owner, deputy = _settled()
    owner.view -= {machine.index_of(deputy)}
    others = [one for one in machine.entries if one is not deputy]
    for _ in range(20):
        for requester in others:
            for responder in others:
                if requester is not responder:
                    machine.exchange(requester, responder)
        owner.reconcile()
        machine.check([240])
    assert deputy.in_flight(UPSTREAM) == UPSTREAM_SLOTS // 2


def test_grant_of_an_earlier_pairing_is_ignored() -> None:
    """A heartbeat is in flight while its deputy is appointed again."""
    machine, owner, deputy = _settled()
    owner.owners.allowance.grant(UPSTREAM, UPSTREAM_SLOTS)
    late = owner.make_heartbeat()
    view = deputy.view
    deputy.view = view - {machine.index_of(deputy)}
    deputy.reconcile()
    owner.view = {machine.index_of(owner), machine.index_of(deputy)}
    machine.exchange(owner, deputy)
    owner.reconcile()
    deputy.view = view
    assert machine.pair() == (owner, deputy)
    machine.exchange(deputy, owner)
    deputy.owners.receive(ReceivedMessage(late))
    machine.check([1100, 10])


def test_late_reply_of_an_old_process_does_not_prove_the_new_one_dead() -> None:
    """Only the reply to a later request proves that an incarnation ended."""
    machine, owner, deputy = _settled()
    sent = machine.clock.elapsed()
    reply = owner.answer_heartbeat(deputy.make_heartbeat())
    index = machine.index_of(owner)
    machine.restart(index)
    for _ in range(30):
        machine.wait(240)
        machine.round()
    owner, deputy = machine.pair()
    assert owner is machine.entries[index]
    deputy.apply_reply(reply, sent, owner.info)
    for _ in range(8):
        machine.wait(240)
        machine.round()
        machine.slots_are_kept()


# Guards against an upstream that gets more than its slots for good, since one
# connection to its owner was refused on the way.
def test_an_owner_that_is_heard_again_has_not_ended() -> None:
    """Its deputy keeps to its part once the owner's heartbeats arrive."""
    machine, owner, deputy = _settled()
    allowance = deputy.owners.allowance
    allowance.record_end(owner.info.incarnation)
    assert allowance.has_ended(owner.info.incarnation)
    machine.exchange(owner, deputy)
    assert not allowance.has_ended(owner.info.incarnation)
    for _ in range(20):
        machine.check([240])
        machine.exchange(owner, deputy)
        machine.exchange(deputy, owner)


def test_owner_that_never_idles_leaves_to_its_deputy() -> None:
    """The owner grants each slot that becomes free to its deputy."""
    machine, owner, deputy = _settled()
    owner.view = owner.view - {machine.index_of(owner)}
    for _ in range(2 * UPSTREAM_SLOTS):
        owner.work_ends[UPSTREAM] = owner.work_ends[UPSTREAM][1:]
        machine.check()
        owner.reconcile()
        machine.exchange(owner, deputy)
        machine.exchange(deputy, owner)
        machine.clock.advance((MS).total_seconds())
    assert (owner.in_flight(UPSTREAM), deputy.in_flight(UPSTREAM)) == (
        0,
        UPSTREAM_SLOTS,
    )


def test_dead_owner_is_replaced_and_slots_come_back() -> None:
    """Once the owner's end is proven, other instances use all slots."""
    machine = OwnershipMachine()
    machine.settle()
    owner = next(one for one in machine.entries if one.work_ends['kassa-1'])
    index = machine.entries.index(owner)
    machine.kill(index)
    for entry in machine.entries:
        entry.view.discard(index)
    machine.probe(index)
    for _ in range(12):
        machine.wait(240)
        machine.round()
        machine.slots_are_kept()
    works = [one.in_flight('kassa-1') for one in machine.running()]
    assert sum(works) == UPSTREAM_LIMITS['kassa-1'].slots


def test_restarted_entries_get_upstreams_back_without_overlap() -> None:
    """Each upstream returns to its preferred owner after the restart."""
    machine = OwnershipMachine()
    machine.settle()
    before = [one.in_flight('kassa-1') for one in machine.entries]
    for index in range(INSTANCE_COUNT):
        machine.restart(index)
        for _ in range(20):
            machine.wait(240)
            machine.round()
            machine.slots_are_kept()
    assert [one.in_flight('kassa-1') for one in machine.entries] == before
