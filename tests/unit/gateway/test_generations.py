"""The replica when the registry comes back from older copies."""

import logging
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.coordination import Replica
from lycheedyke.coordination._removal_deferral import PeerDeferral
from lycheedyke.protocol import (
    EntryRecord,
    EvacuationRecord,
    ItemBatch,
    Position,
    RegistryItem,
    RegistryRecord,
    RegistryUpdate,
)
from standins.clock import ManualClock
from standins.records import make_routing, make_upstream
from standins.registry_model import RegistryModel

REAPPEARANCE_S = 2
RETURNED_S = 6
# An evacuation is in force everywhere 5 s after it was written, and needs up
# to 1.2 s to reach all instances.
EVACUATION_S = 5 - 1.2
# What an operator needs at most to take one back again.
EVACUATION_HELD_S = 3.5
ZONE_A = 'evacuation/a'
ZONE_B = 'evacuation/b'
LEAVING = make_upstream('u', leaving=True)


class _View:
    """A replica and the records in effect as it reports their changes."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.records: dict[str, RegistryRecord] = {}
        self.restores: list[Position] = []
        self.replica = Replica(
            self.clock,
            timedelta(seconds=REAPPEARANCE_S),
            self._apply,
            self.restores.append,
        )

    def merge(self, revision: int, *items: RegistryItem, at: int = 0) -> None:
        """Merges a batch of generation `at`."""
        self.replica.merge(ItemBatch(revision, items, at))

    def pass_time(self, seconds: float) -> None:
        """Lets time pass, then ends what is held no longer."""
        self.clock.advance(seconds)
        self.replica.remove_lapsed(self.clock.elapsed())

    def _apply(self, item: RegistryItem, before: RegistryRecord | None) -> None:
        assert self.records.get(item.key) == before
        self.records.pop(item.key, None)
        if item.record is not None:
            self.records[item.key] = item.record


def _evacuation(key: str, revision: int) -> RegistryItem:
    return RegistryItem(key, revision, EvacuationRecord(key[-1]))


def _upstream(revision: int, **changes: Any) -> RegistryItem:
    return RegistryItem('u', revision, make_upstream('u', **changes))


def _entry(revision: int, incarnation: str) -> RegistryItem:
    record = EntryRecord('e', incarnation, 'a', 'r', '1.1.1.1:1', '1.1.1.1:2')
    return RegistryItem('e', revision, record)


def test_revisions_that_are_given_out_again_count() -> None:
    """The trial: b is evacuated again and taken back under low revisions."""
    view = _View()
    view.merge(900, _evacuation(ZONE_A, 880))
    view.merge(805, _evacuation(ZONE_B, 801), at=1)
    view.merge(806, RegistryItem(ZONE_A, 806), at=1)
    view.merge(807, RegistryItem(ZONE_B, 807), at=1)
    assert view.replica.position == Position(1, 807)
    assert not view.records


def test_news_of_an_earlier_generation_change_nothing() -> None:
    """A peer that knows only the old generation has higher revisions."""
    view = _View()
    view.merge(805, _evacuation(ZONE_B, 801), at=1)
    view.merge(900, _evacuation(ZONE_A, 880), RegistryItem(ZONE_B, 890))
    assert view.replica.position == Position(1, 805)
    assert set(view.records) == {ZONE_B}


@pytest.mark.parametrize(
    'item', [_evacuation(ZONE_A, 880), _upstream(880), _entry(880, 'x')]
)
def test_what_the_copy_lacks_holds_until_its_time_is_over(
    item: RegistryItem,
) -> None:
    """It may be written again for two seconds, and is gone after them."""
    view = _View()
    view.merge(900, item)
    view.merge(805, at=1)
    view.pass_time(REAPPEARANCE_S - 0.1)
    assert set(view.records) == {item.key}
    view.pass_time(0.2)
    assert not view.records


def test_what_is_written_again_holds_on() -> None:
    """The time of records that are written again has no end."""
    view = _View()
    view.merge(900, _evacuation(ZONE_A, 880))
    view.merge(805, at=1)
    view.merge(806, _evacuation(ZONE_A, 806), at=1)
    view.pass_time(10 * RETURNED_S)
    assert set(view.records) == {ZONE_A}


@pytest.mark.parametrize(
    'item', [_evacuation(ZONE_A, 700), _upstream(700), _entry(700, 'x')]
)
def test_what_was_removed_since_the_copy_does_not_come_back(
    item: RegistryItem,
) -> None:
    """It is removed from the registry again; meanwhile it does not count."""
    view = _View()
    view.merge(700, item)
    view.merge(880, RegistryItem(item.key, 880))
    view.merge(805, item, at=1)
    is_evacuation = isinstance(item.record, EvacuationRecord)
    held_s = EVACUATION_HELD_S if is_evacuation else RETURNED_S
    view.pass_time(held_s - 0.1)
    assert not view.records
    view.merge(806, RegistryItem(item.key, 806), at=1)
    view.pass_time(10)
    assert not view.records


# Guards against EVAC: an evacuation that was written after the return, under a
# revision below that of its earlier removal, was ignored for six seconds.
@pytest.mark.parametrize(
    'item',
    [
        RegistryItem(ZONE_A, 690, EvacuationRecord('a'), 690),
        RegistryItem(ZONE_A, 701, EvacuationRecord('a'), 701),
        # Written again over the copy's record.
        RegistryItem(ZONE_A, 710, EvacuationRecord('a'), 700),
        # By an earlier release, which tells no creation.
        _evacuation(ZONE_A, 701),
    ],
)
def test_an_evacuation_written_since_the_return_counts_at_once(
    item: RegistryItem,
) -> None:
    """It has another identity than the one that was taken back."""
    view = _View()
    view.merge(700, RegistryItem(ZONE_A, 700, EvacuationRecord('a'), 700))
    view.merge(880, RegistryItem(ZONE_A, 880))
    view.merge(805, item, at=1)
    assert set(view.records) == {ZONE_A}


# Guards against EVAC: the registry may give the very revision out again.
def test_an_evacuation_under_the_same_revision_is_in_force_in_time() -> None:
    """Nothing tells it from the one that was taken back."""
    view = _View()
    item = RegistryItem(ZONE_A, 700, EvacuationRecord('a'), 700)
    view.merge(700, item)
    view.merge(880, RegistryItem(ZONE_A, 880))
    view.merge(705, item, at=1)
    view.pass_time(EVACUATION_S)
    assert set(view.records) == {ZONE_A}


# Guards against EVAC at instances that notice the return late.
def test_a_late_notice_prolongs_no_hold_of_an_evacuation() -> None:
    """The hold ends by the notice of the peer that was first."""
    view, first = _View(), _View()
    first.clock = view.clock
    first.replica = Replica(
        view.clock, timedelta(seconds=REAPPEARANCE_S), lambda *_: None
    )
    item = RegistryItem(ZONE_A, 700, EvacuationRecord('a'), 700)
    for each in (view, first):
        each.merge(700, item)
        each.merge(880, RegistryItem(ZONE_A, 880))
    first.merge(705, item, at=1)
    view.clock.advance(1)
    view.merge(705, item, at=1)
    told = first.replica.deferral
    now = view.clock.elapsed()
    view.replica.merge_deferral(
        PeerDeferral(now, told.left, told.token, told.steady, now), 1
    )
    view.pass_time(EVACUATION_HELD_S - 1)
    assert set(view.records) == {ZONE_A}


# Guards against upstreams left idle: one that had lapsed before the return, and
# that wrote its record again under a low revision, was ignored for six seconds.
@pytest.mark.parametrize(
    ('created', 'after_s'), [(701, 0), (0, REAPPEARANCE_S), (700, 2)]
)
def test_an_upstream_that_registers_after_the_return_is_used(
    created: int, after_s: float
) -> None:
    """At once if its key is new, else once all had the time to write."""
    view = _View()
    view.merge(720, RegistryItem('u', 720, make_upstream('u'), 700))
    view.merge(880, RegistryItem('u', 880))
    written = RegistryItem('u', 705, make_upstream('u'), created)
    view.merge(805, written, at=1)
    view.pass_time(after_s)
    assert set(view.records) == {'u'}


# Guards against look-ups without a restarted instance: its record was taken for
# an older one, by its lower revision, and ignored for six seconds.
@pytest.mark.parametrize(
    ('created', 'after_s'), [(801, 0), (0, REAPPEARANCE_S)]
)
def test_an_instance_that_restarted_since_the_copy_is_known(
    created: int, after_s: float
) -> None:
    """At once if its key is new, else once all had the time to write."""
    view = _View()
    old, new = _entry(880, 'old').record, _entry(801, 'new').record
    view.merge(880, RegistryItem('e', 880, old, 880))
    view.merge(805, RegistryItem('e', 801, new, created), at=1)
    view.pass_time(after_s)
    assert view.records == {'e': new}


# Guards against use of an upstream that left: its record came back, and a late
# repetition of an old one ended the hold.
def test_an_upstream_that_left_is_not_used_by_a_late_repetition() -> None:
    """Only a later run of the upstream counts before the hold ends."""
    view = _View()
    view.merge(700, _upstream(700))
    view.merge(870, _upstream(870, leaving=True))
    view.merge(880, RegistryItem('u', 880))
    view.merge(805, _upstream(700), at=1)
    view.merge(806, _upstream(806), at=1)
    view.pass_time(RETURNED_S - 0.1)
    assert not view.records
    view.merge(807, _upstream(807, born=2), at=1)
    assert view.records == {'u': make_upstream('u', born=2)}


def test_what_the_registry_keeps_comes_back_in_the_end() -> None:
    """An upstream that is not removed again was written again unseen."""
    view = _View()
    view.merge(880, RegistryItem('u', 880))
    view.merge(805, _upstream(700), at=1)
    view.pass_time(RETURNED_S + 0.1)
    assert set(view.records) == {'u'}


def test_what_is_written_after_the_removal_counts_at_once() -> None:
    """Its revision is beyond that of the removal, so it is not the copy's."""
    view = _View()
    view.merge(880, RegistryItem(ZONE_A, 880))
    view.merge(890, _evacuation(ZONE_A, 890), at=1)
    assert set(view.records) == {ZONE_A}


def test_an_upstream_that_leaves_does_not_stay_by_the_copy() -> None:
    """Not by an old record that is written again either."""
    view = _View()
    view.merge(850, _upstream(850, leaving=True))
    view.merge(805, _upstream(700), at=1)
    view.merge(810, _upstream(810), at=1)
    view.pass_time(REAPPEARANCE_S + 1)
    assert view.records == {'u': LEAVING}
    view.merge(811, _upstream(811, born=2), at=1)
    assert view.records == {'u': make_upstream('u', born=2)}


def test_an_earlier_incarnation_does_not_come_back() -> None:
    """An instance that was started again since the copy."""
    view = _View()
    view.merge(880, _entry(880, 'new'))
    view.merge(805, _entry(700, 'old'), at=1)
    assert view.records == {'e': _entry(0, 'new').record}


def test_a_second_copy_is_compared_with_what_is_held() -> None:
    """What the first copy lacked, or brought back, is as known before."""
    view = _View()
    kept = _evacuation(ZONE_A, 880)
    removed = _evacuation(ZONE_B, 700)
    view.merge(900, kept, removed)
    view.merge(901, RegistryItem(ZONE_B, 901))
    view.merge(650, at=1)
    view.pass_time(1)
    view.merge(805, removed, at=2)
    assert set(view.records) == {ZONE_A}
    assert view.restores == [Position(1, 650), Position(2, 805)]
    view.pass_time(REAPPEARANCE_S + 0.1)
    assert not view.records


def _routing(revision: int, number: int) -> RegistryItem:
    return RegistryItem('routing', revision, make_routing(number))


def test_a_configuration_stays_until_a_higher_number_is_written() -> None:
    """Lower numbers may be written again before it, and never apply."""
    view = _View()
    view.merge(900, _routing(890, 7))
    view.merge(805, _routing(600, 5), at=1)
    view.merge(806, _routing(806, 6), at=1)
    view.merge(807, RegistryItem('routing', 807), at=1)
    view.pass_time(1000)
    assert view.records == {'routing': make_routing(7)}
    assert view.replica.held_configurations() == (_routing(890, 7),)
    view.merge(808, _routing(808, 8), at=1)
    assert view.records == {'routing': make_routing(8)}
    assert not view.replica.held_configurations()


def test_a_configuration_that_a_peer_holds_is_adopted() -> None:
    """An instance that never saw it reads only the copy's."""
    view = _View()
    view.merge(805, _routing(600, 5), at=1)
    view.replica.adopt_configurations((_routing(890, 7), _routing(880, 6)))
    assert view.records == {'routing': make_routing(7)}
    view.merge(806, _routing(806, 7), at=1)
    view.replica.adopt_configurations((_routing(880, 6),))
    assert view.records == {'routing': make_routing(7)}
    assert not view.replica.held_configurations()


def test_the_line_on_a_restore_has_both_positions_and_counts(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """One line tells what was kept and what of the copy was dropped."""
    view = _View()
    gone = _evacuation(ZONE_B, 700)
    view.merge(
        890, _evacuation(ZONE_A, 880), _upstream(881), gone, _routing(890, 7)
    )
    view.merge(900, RegistryItem(ZONE_B, 900))
    with caplog.at_level(logging.WARNING):
        view.merge(805, gone, _routing(600, 5), at=1)
    line = vars(caplog.records[-1])
    assert line['msg'] == 'registry restored'
    assert (line['generation_before'], line['revision_before']) == (0, 900)
    assert (line['generation'], line['revision']) == (1, 805)
    assert line['kept'] == {'evacuation': 1, 'upstream': 1, 'routing': 1}
    assert line['dropped'] == {'evacuation': 1}


def test_the_first_state_is_no_restore() -> None:
    """An instance that starts beside an old registry reports nothing."""
    view = _View()
    view.merge(805, _evacuation(ZONE_A, 801), at=3)
    assert set(view.records) == {ZONE_A}
    assert not view.restores


class _OldBatch(msgspec.Struct, frozen=True, array_like=True):
    """A batch as processes before generations encode and decode it."""

    revision: int
    items: tuple[RegistryItem, ...]


class _OldUpdate(msgspec.Struct, frozen=True, array_like=True):
    age_ms: int
    batch: _OldBatch


def test_updates_pass_between_releases() -> None:
    """The generation is an added field that either side may lack."""
    items = (_upstream(7),)
    old = msgspec.msgpack.encode(_OldUpdate(5, _OldBatch(7, items)))
    held = (_routing(6, 1),)
    update = RegistryUpdate(5, ItemBatch(7, items, 3), held)
    new = msgspec.msgpack.encode(update)
    read = msgspec.msgpack.decode(old, type=RegistryUpdate)
    assert read == RegistryUpdate(5, ItemBatch(7, items))
    assert msgspec.msgpack.decode(new, type=_OldUpdate).batch.items == items


class _Step(NamedTuple):
    """A receiver's merge from the registry, as of now or before, or a peer.

    Attributes:
        receiver: which replica merges.
        source: a peer, or the registry if it is the receiver itself.
        writes: the writes to the registry before it.
        copy_age: how many writes the registry loses before it; 0 for none.
        answers: how many of the answers under way arrive after it.
    """

    receiver: int
    source: int
    writes: int
    copy_age: int
    answers: int


_STEPS = st.lists(
    st.builds(
        _Step,
        receiver=st.integers(0, 2),
        source=st.integers(0, 2),
        writes=st.integers(0, 4),
        copy_age=st.sampled_from((0, 0, 0, 0, 0, 2, 8)),
        answers=st.sampled_from((0, 1, 1, 2)),
    ),
    min_size=30,
    max_size=60,
)


@given(_STEPS, st.integers(0, 2**32))
def test_any_order_of_updates_ends_in_the_newest_state(
    steps: list[_Step], seed: int
) -> None:
    """Updates of the registry and of peers, late ones and repeated ones."""
    choice = Random(seed)
    registry = RegistryModel(choice)
    views = [_View() for _ in range(3)]
    sent: list[tuple[int, ItemBatch]] = []
    for step in steps:
        registry.write(step.writes)
        if step.copy_age and registry.generation < 3:
            registry.restore(step.copy_age)
        replica = views[step.receiver].replica
        if step.source == step.receiver:
            batch = registry.changes_after(replica.position)
        else:
            peer = views[step.source].replica
            batch = peer.changes_after(replica.position)
        sent.append((step.receiver, batch))
        for _ in range(min(step.answers, len(sent))):
            receiver, answer = sent.pop(choice.randrange(len(sent)))
            views[receiver].replica.merge(answer)
        for view in views:
            assert registry.is_history_of(view.replica)
    for view in views:
        view.replica.merge(registry.changes_after(view.replica.position))
        view.pass_time(RETURNED_S + 1)
        assert view.replica.position == registry.position
        assert view.records == registry.records()
