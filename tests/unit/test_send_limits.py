"""The limits of upstreams: which is newer, and how much of an upstream is left."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import UpstreamRecord
from lycheedyke.state import (
    Counters,
    LimitNews,
    PermitBook,
    PermitGrant,
    Pools,
    SendLimit,
    UpstreamState,
    UpstreamTable,
)
from standins.clock import ManualClock
from standins.records import make_upstream

S = timedelta(seconds=1)
MEAN = timedelta(milliseconds=240)
OBJECTS = 3000

limits = st.builds(
    SendLimit,
    st.one_of(st.none(), st.floats(0, 100)),
    st.integers(0, 5).map(lambda seconds: seconds * S),
)


def _make_table() -> tuple[ManualClock, UpstreamTable, UpstreamRecord]:
    clock = ManualClock()
    clock.advance(100)
    table = UpstreamTable(clock)
    record = make_upstream('i-0')
    table.apply(record)
    return clock, table, record


def _state(table: UpstreamTable) -> UpstreamState:
    (state,) = table.all()
    return state


def _make_book(
    clock: ManualClock, table: UpstreamTable, permits: int
) -> PermitBook:
    """Returns a book with permits for the upstream that last a second."""
    book = PermitBook(clock, Counters())
    state = _state(table)
    grant = PermitGrant(table.describe_limit(state), (0,) * permits, 1000)
    book.add(state, grant, clock.elapsed())
    return book


@given(limits, limits)
def test_the_newer_limit_holds(first: SendLimit, second: SendLimit) -> None:
    """Whichever is heard first."""
    merged = first.merge(second)
    newest = max(first.as_of, second.as_of)
    rates = {each.rate for each in (first, second) if each.as_of == newest}
    assert merged.rate in rates
    if merged.rate is None and first.rate is not None:
        assert merged.ended_rate == first.rate


def test_three_slots_that_may_take_few_requests_are_half_a_slot() -> None:
    """The share recovers within seconds of the end, step by step."""
    clock, table, record = _make_table()
    table.record_limit(record, 2.2, None)
    now = clock.elapsed()
    share = _state(table).capacity_share(MEAN, now)
    assert share * record.slots == pytest.approx(2.2 * 0.24)
    clock.advance(1)
    table.record_limit(record, None, clock.elapsed())
    shares = [
        _state(table).capacity_share(MEAN, clock.elapsed() + at * S)
        for at in range(5)
    ]
    assert shares == sorted(shares)
    assert shares[0] == share
    assert shares[-1] == 1
    assert all(
        after <= 2 * before
        for before, after in zip(shares, shares[1:], strict=False)
    )


def test_an_upstream_is_the_home_of_objects_by_its_weight() -> None:
    """No object moves between the others, nor to it."""
    clock = ManualClock()
    table = UpstreamTable(clock)
    for at in range(5):
        table.apply(make_upstream(f'i-{at}'))
    pools = Pools({'pnw-a': 'pnw'})
    states = table.all()
    keys = [str(number) for number in range(OBJECTS)]
    before = {key: pools.homes(key, states)['pnw-a'] for key in keys}
    for weight in (0.5, 0.125):
        after = {
            key: pools.homes(key, states, {'i-0': weight})['pnw-a']
            for key in keys
        }
        assert all(
            after[key] == before[key] for key in keys if before[key] != 'i-0'
        )
        part = list(after.values()).count('i-0') / OBJECTS
        assert part == pytest.approx(weight / (4 + weight), rel=0.25)


def test_old_news_of_an_end_do_not_end_a_limit() -> None:
    """The limit was named again since."""
    _, table, record = _make_table()
    table.record_limit(record, 2.2, None)
    ended = LimitNews('i-0', record.incarnation, None, 500)
    assert not table.apply_limit_news(ended)
    assert _state(table).wishes.limit.rate == 2.2


def test_old_news_of_a_limit_do_not_renew_it() -> None:
    """An answer to a later request named none."""
    clock, table, record = _make_table()
    table.record_limit(record, None, clock.elapsed())
    named = LimitNews('i-0', record.incarnation, 2.2, 500)
    assert not table.apply_limit_news(named)
    clock.advance(2)
    assert table.apply_limit_news(named)


def test_news_of_another_incarnation_change_nothing() -> None:
    """It has gone, or has not been seen yet."""
    _, table, _ = _make_table()
    assert not table.apply_limit_news(LimitNews('i-0', 'i-0@9', 2.2, 0))
    assert _state(table).wishes.limit.rate is None


def test_permits_of_a_higher_limit_are_void() -> None:
    """They were issued before the limit fell."""
    clock, table, record = _make_table()
    table.record_limit(record, 20, None)
    state = _state(table)
    book = _make_book(clock, table, permits=2)
    permit = book.take(state, urgent=True)
    assert permit is not None
    table.record_limit(record, 1, None)
    assert not book.may_send(state, urgent=True)
    assert not book.confirm(state, permit)


def test_a_permit_that_ended_before_the_write_is_void() -> None:
    """The request may have waited; one that was given back is used again."""
    clock, table, record = _make_table()
    table.record_limit(record, 20, None)
    state = _state(table)
    book = _make_book(clock, table, permits=1)
    permit = book.take(state, urgent=True)
    assert permit is not None
    assert not book.may_send(state, urgent=True)
    book.give_back(permit)
    permit = book.take(state, urgent=True)
    assert book.confirm(state, permit)
    clock.advance(1.1)
    assert not book.confirm(state, permit)


def test_a_request_chosen_before_the_limit_needs_a_permit_to_be_written() -> (
    None
):
    """It has none, as none was needed."""
    clock, table, record = _make_table()
    book = PermitBook(clock, Counters())
    state = _state(table)
    assert book.take(state, urgent=True) is None
    assert book.confirm(state, None)
    table.record_limit(record, 2.2, None)
    assert not book.confirm(state, None)
