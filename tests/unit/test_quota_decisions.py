"""The decisions on quotas: schedules, ranks, accounts and their use."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import EntryRecord
from lycheedyke.state.rates import (
    IssuerRanks,
    Quota,
    QuotaAccount,
    QuotaAsk,
    QuotaBounds,
    QuotaIssuer,
    TenantUse,
)
from standins.clock import ManualClock

BOUNDS = QuotaBounds()
rates = st.floats(0.01, 500)
bursts = st.floats(0, 500)


def _issuer(clock: ManualClock) -> QuotaIssuer:
    return QuotaIssuer('edge-0', 'edge-0@1', BOUNDS, clock)


def _ask(rate: float, burst: float, wanted: int, version: int = 1) -> QuotaAsk:
    return QuotaAsk('tills', version, rate, burst, wanted)


def _entry(at: int, capacity: float, run: int = 1) -> EntryRecord:
    name = f'edge-{at}'
    return EntryRecord(name, f'{name}@{run}', 'a', 'r', '', '', capacity)


# Guards against margins that together exceed the tolerance.
@given(rates, bursts)
def test_the_margins_are_within_the_tolerance(
    rate: float, burst: float
) -> None:
    """Late use of permits, and all that others issue in a window."""
    quota = Quota(rate, burst)
    tolerance = 0.1 * (rate * 5 + burst) + 20
    late = BOUNDS.permit_life(quota).total_seconds() * rate
    seconds = 5 + BOUNDS.reserve_life(quota).total_seconds()
    reserve = BOUNDS.reserve_rate(quota, 1) * seconds
    assert late + reserve + 4 <= tolerance + 1e-3
    assert BOUNDS.permit_life(quota) <= timedelta(seconds=5)


# Guards against a predecessor's permits that are issued a second time.
def test_a_successor_starts_without_burst_one_horizon_later() -> None:
    """The burst accrues at the rate of the quota."""
    clock = ManualClock()
    issuer = _issuer(clock)
    grant = issuer.issue('edge-1', _ask(10, 5, 50))
    assert grant.starts_ms == (500,)
    clock.advance(0.5)
    assert len(issuer.issue('edge-1', _ask(10, 5, 50)).starts_ms) == 5
    clock.advance(10)
    assert issuer.issue('edge-1', _ask(10, 5, 50)).starts_ms[:6] == (0,) * 6


# Guards against unused permits that are lost, or count for other issuers.
def test_returned_permits_are_issued_again_by_their_issuer() -> None:
    """Those of another run of the process are not."""
    clock = ManualClock()
    issuer = _issuer(clock)
    issuer.issue('edge-1', _ask(2, 10, 0))
    clock.advance(10)
    first = issuer.issue('edge-1', _ask(2, 10, 50))
    assert first.starts_ms
    assert not issuer.issue('edge-1', _ask(2, 10, 50)).starts_ms
    other = QuotaAsk('tills', 1, 2, 10, 50, 0, 4, 'edge-0@0')
    assert not issuer.issue('edge-1', other).starts_ms
    returned = QuotaAsk('tills', 1, 2, 10, 50, 0, 4, 'edge-0@1')
    assert len(issuer.issue('edge-1', returned).starts_ms) == 4


# Guards against an asker with an older configuration that raises a quota again.
def test_the_newest_configuration_sets_the_quota() -> None:
    """Which instance has it first does not matter."""
    clock = ManualClock()
    issuer = _issuer(clock)
    issuer.issue('edge-1', _ask(100, 0, 0))
    clock.advance(1)
    assert len(issuer.issue('edge-1', _ask(100, 0, 200)).starts_ms) > 40
    issuer.issue('edge-2', _ask(1, 0, 0, version=2))
    clock.advance(0.6)
    assert len(issuer.issue('edge-1', _ask(100, 0, 200)).starts_ms) == 1
    clock.advance(1)
    assert len(issuer.issue('edge-1', _ask(100, 0, 200)).starts_ms) == 1


# Guards against issuers on small instances.
def test_only_large_instances_are_issuers() -> None:
    """Where no capacity is known, all are; records without one are not."""
    now = timedelta(seconds=1)
    ranks = IssuerRanks()
    ranks.refresh([_entry(0, 2), _entry(1, 1), _entry(2, 0.3)], now)
    assert {each.name for each in ranks.candidates} == {'edge-0', 'edge-1'}
    ranks.refresh([_entry(0, 0), _entry(1, 0)], now)
    assert len(ranks.candidates) == 2
    ranks.refresh([_entry(0, 0), _entry(1, 2)], now)
    assert [each.name for each in ranks.candidates] == ['edge-1']


# Guards against an issuer that has ended and is asked again, and one that has
# come back and is not.
def test_a_process_that_has_ended_is_not_ranked() -> None:
    """Its next run is, once it is announced or listed."""
    now = timedelta(seconds=1)
    ranks = IssuerRanks()
    entries = [_entry(at, 1) for at in range(4)]
    ranks.refresh(entries, now)
    first, second, *_ = ranks.find('tills')
    assert ranks.mark_ended((first.incarnation, 'unknown')) == {
        first.incarnation
    }
    assert ranks.find('tills')[0] == second
    again = _entry(entries.index(first), 1, run=2)
    ranks.announce(again, now)
    assert ranks.find('tills')[0] == again


# Guards against permits held at instances whose callers send next to nothing.
def test_permits_are_asked_for_ahead_only_where_they_are_likely_used() -> None:
    """One request a second needs none ahead; a hundred need some."""
    now = timedelta(seconds=100)
    account = QuotaAccount('tills', BOUNDS)
    account.record_arrival(Quota(200, 200), 1, now)
    assert account.count_wanted(now) == 0
    for _ in range(100):
        account.record_arrival(Quota(200, 200), 1, now)
    assert 10 < account.count_wanted(now) < 60


# Guards against returned permits that are counted twice.
def test_permits_are_returned_once() -> None:
    """Also if the issuer does not answer, as it may have counted them."""
    clock = ManualClock()
    issuer = _issuer(clock)
    issuer.issue('edge-1', _ask(10, 10, 0))
    clock.advance(5)
    account = QuotaAccount('tills', BOUNDS)
    now = clock.elapsed()
    account.record_arrival(Quota(10, 10), 1, now)
    account.waiting = 3
    account.add(issuer.issue('edge-0', account.ask(now)), now, now)
    account.waiting = 0
    assert account.take(now) is not None
    clock.advance(5)
    later = clock.elapsed()
    assert account.take(later) is None
    ask = account.ask(later)
    assert (ask.returned, ask.returned_to) == (2, 'edge-0@1')
    account.handle_failure(ask)
    assert account.ask(later).returned == 0


# Guards against decisions on a use that is long past.
def test_an_old_use_is_not_known() -> None:
    """It is known for 3 s."""
    clock = ManualClock()
    use = TenantUse(clock)
    assert use.use('tills') is None
    use.record('tills', 1.5)
    clock.advance(2.9)
    assert use.use('tills') == 1.5
    clock.advance(0.2)
    assert use.use('tills') is None
