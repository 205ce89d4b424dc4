"""Whose notices of an outage defer removals, and until when."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.coordination import Replica
from lycheedyke.coordination._removal_deferral import PeerDeferral
from lycheedyke.protocol import ItemBatch, RegistryItem
from standins.clock import ManualClock
from standins.records import make_upstream

REAPPEARANCE = timedelta(seconds=2)
OUTAGE = timedelta(seconds=5)
MILLISECOND = timedelta(milliseconds=1)
GENERATION = 3


class _Instance:
    """A replica with one upstream, and what it does with removals."""

    def __init__(self, clock: ManualClock, *, is_new: bool = False) -> None:
        self.clock = clock
        self.replica = Replica(clock, REAPPEARANCE, lambda item, before: None)
        if not is_new:
            self.read()

    def read(self, generation: int = GENERATION) -> None:
        """Reads the registry's state, as an instance does at its start."""
        self.replica.deferral.record_first_answer()
        item = RegistryItem('u', 5, make_upstream('u'))
        self.replica.merge(ItemBatch(9, (item,), generation))

    def remove(self) -> bool:
        """Merges a removal; returns whether it takes effect at once."""
        position = self.replica.position
        removed = RegistryItem('u', position.revision + 1)
        self.replica.merge(
            ItemBatch(removed.revision, (removed,), position.generation)
        )
        return not list(self.replica.records())

    def hear(self, peer: '_Instance', took_s: float = 0.02) -> None:
        """Merges an update of a peer, which takes some time to arrive."""
        told = peer.replica.deferral
        asked = self.clock.elapsed()
        deferral = PeerDeferral(
            asked, told.left, told.token, told.steady, asked - MILLISECOND
        )
        batch = peer.replica.changes_after(self.replica.position)
        self.clock.advance(took_s)
        generation = peer.replica.position.generation
        self.replica.merge_deferral(deferral, generation)
        self.replica.merge(batch)
        self.replica.merge_deferral(deferral, generation)


# Guards against DRAIN: a new process took its first state for the registry's
# return from a copy wherever the registry stated a generation above 0.
@pytest.mark.parametrize('generation', [0, 1, 7])
def test_the_first_state_defers_no_removal(generation: int) -> None:
    """Neither at the new process nor at those that poll it."""
    clock = ManualClock()
    new = _Instance(clock, is_new=True)
    new.read(generation)
    assert new.remove()
    peer = _Instance(clock, is_new=True)
    peer.read(generation)
    peer.hear(new)
    assert not peer.replica.deferral.left


# Guards against DRAIN: what one instance alone suffered kept removed upstreams in
# use at instances that the registry had answered throughout.
def test_an_instance_that_was_cut_off_defers_nothing_elsewhere() -> None:
    """Its notice of an outage is refuted, at last at the instance itself."""
    clock = ManualClock()
    steady, cut_off = _Instance(clock), _Instance(clock)
    clock.advance(60)
    cut_off.replica.record_outage(OUTAGE)
    steady.hear(cut_off)
    assert steady.remove()
    new = _Instance(clock, is_new=True)
    new.read()
    new.hear(cut_off)
    assert new.replica.deferral.left
    for misled in (cut_off, new):
        misled.hear(steady)
        assert not misled.replica.deferral.left


# Guards against lost upstreams: an instance that starts in the middle of a
# deferral dropped records that their owners were about to write again.
def test_a_new_instance_learns_what_is_left_of_a_deferral() -> None:
    """It holds what is removed meanwhile, to the same end."""
    clock = ManualClock()
    known = _Instance(clock)
    clock.advance(60)
    known.replica.record_outage(OUTAGE)
    until = known.replica.deferral.until
    clock.advance(0.5)
    new = _Instance(clock, is_new=True)
    new.read()
    new.hear(known)
    assert not new.remove()
    assert until - 50 * MILLISECOND <= new.replica.deferral.until <= until
    clock.advance(1.6)
    new.replica.remove_lapsed(clock.elapsed())
    assert not list(new.replica.records())


# Guards against lost upstreams: a restarted process must not hide a true return.
def test_a_return_that_a_new_process_tells_of_defers_removals() -> None:
    """The new process can't know how long ago the registry returned."""
    clock = ManualClock()
    known, new = _Instance(clock), _Instance(clock, is_new=True)
    clock.advance(60)
    new.replica.deferral.record_first_answer()
    new.replica.merge(ItemBatch(7, (), GENERATION + 1))
    known.hear(new)
    assert list(known.replica.records())
    assert known.replica.deferral.left > REAPPEARANCE - 100 * MILLISECOND


def test_a_return_long_ago_defers_nothing_for_a_late_reader() -> None:
    """Its owners had their time to write the records again."""
    clock = ManualClock()
    early, late = _Instance(clock), _Instance(clock)
    clock.advance(60)
    early.replica.merge(ItemBatch(7, (), GENERATION + 1))
    clock.advance(10)
    late.replica.merge(ItemBatch(7, (), GENERATION + 1))
    early.hear(late)
    assert not early.replica.deferral.left
    late.hear(early)
    late.replica.remove_lapsed(clock.elapsed())
    assert not list(late.replica.records())


_HEARINGS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.integers(0, 3),
        st.floats(0.001, 0.3),
        st.sampled_from((0, 0, 0, 1)),
    ),
    max_size=40,
)


# Guards against DRAIN: hand-overs, and processes that start in turn, moved the
# end of a deferral on for as long as they followed each other.
@given(_HEARINGS, st.floats(0, 0.9))
def test_no_hand_over_moves_the_end_of_a_return_on(
    hearings: list[tuple[int, int, float, int]], late_s: float
) -> None:
    """Instances notice the return twice, pass it on, and start again."""
    clock = ManualClock()
    instances = [_Instance(clock) for _ in range(4)]
    clock.advance(60)
    restored = ItemBatch(7, (), GENERATION + 1)
    instances[0].replica.merge(restored)
    clock.advance(late_s)
    instances[1].replica.merge(restored)
    for hearer, teller, took_s, starts in hearings:
        if starts:
            instances[hearer] = _Instance(clock, is_new=True)
            instances[hearer].read(GENERATION + 1)
        known = instances[hearer].replica
        is_first_notice = known.position.generation == GENERATION
        latest = max(each.replica.deferral.until for each in instances)
        if hearer != teller:
            instances[hearer].hear(instances[teller], took_s)
        if is_first_notice:
            latest = max(latest, clock.elapsed() + REAPPEARANCE)
        assert known.deferral.until <= latest
