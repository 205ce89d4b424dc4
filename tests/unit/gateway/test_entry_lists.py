"""Tests that callers are distributed like the upstreams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.state import (
    ZoneCapacity,
    compute_zone_shares,
    list_entries,
    ramp_shares,
)

REGIONS = {'pnw-a': 'pnw', 'pnw-b': 'pnw', 'mt-a': 'mt', 'nc-a': 'nc'}
SHARES = st.sampled_from((0.0, 5e-324, 1e-9, 0.1, 0.5, 1.0))
ENTRIES = tuple(f'10.0.0.{at}:80' for at in range(4))
SLOTS = {'pnw-a': 6, 'pnw-b': 6, 'mt-a': 21, 'mt-b': 21, 'nc-a': 24, 'nc-b': 24}


def _capacities(slots: dict[str, int]) -> list[ZoneCapacity]:
    return [
        ZoneCapacity(zone, zone.partition('-')[0], count, ENTRIES)
        for zone, count in slots.items()
    ]


def test_a_zone_keeps_what_it_carries_and_sends_the_rest_to_one_zone() -> None:
    """Each additional zone would have to load the callers' objects."""
    shares = compute_zone_shares(_capacities(SLOTS))
    assert shares['nc-a'] == {'nc-a': 1}
    assert shares['pnw-a']['pnw-a'] == pytest.approx(6 / 102 * 6)
    assert len(shares['pnw-a']) == 2
    targets = (set(shares['pnw-a']) | set(shares['pnw-b'])) - {
        'pnw-a',
        'pnw-b',
    }
    assert len(targets) == 2


@given(st.lists(st.integers(0, 30), min_size=1, max_size=9))
def test_shares_of_a_zone_sum_to_all_its_callers(slots: list[int]) -> None:
    """All callers are assigned if any zone has capacity."""
    capacities = _capacities(
        {f'z{at}-a': each for at, each in enumerate(slots)}
    )
    for shares in compute_zone_shares(capacities).values():
        assert not sum(slots) or sum(shares.values()) == pytest.approx(1)


def test_list_follows_the_shares_and_is_the_same_everywhere() -> None:
    """The list has each zone's share of addresses, in a fixed order."""
    entries = {zone: tuple(f'{zone}:{at}' for at in range(4)) for zone in SLOTS}
    shares = {'pnw-a': 0.35, 'nc-a': 0.65}
    listed = list_entries('pnw-a', shares, entries)
    own = sum(1 for address in listed if address.startswith('pnw-a'))
    assert listed == list_entries('pnw-a', shares, entries)
    assert (own, len(listed)) == (2, 6)


def test_callers_move_at_once_to_a_zone_that_had_no_share() -> None:
    """The only zone with a share loses its upstreams; another one has some."""
    capacities = _capacities({'pnw-a': 6, 'nc-a': 0})
    before = {'pnw-a': 0.0, 'nc-a': 1.0}
    assert ramp_shares(before, {'pnw-a': 1}, capacities, 0.1) == {'pnw-a': 1}


@st.composite
def _any_capacities(draw: st.DrawFn) -> list[ZoneCapacity]:
    """Zones with and without upstreams and instances, in any combination."""
    return [
        ZoneCapacity(
            zone,
            region,
            draw(st.sampled_from((0, 0, 1, 9))),
            tuple(f'{zone}:{at}' for at in range(draw(st.integers(0, 3)))),
        )
        for zone, region in REGIONS.items()
    ]


@given(
    st.dictionaries(st.sampled_from(sorted(REGIONS)), SHARES),
    st.lists(
        st.tuples(_any_capacities(), st.floats(0, 0.15), st.booleans()),
        min_size=1,
        max_size=6,
    ),
)
def test_callers_get_addresses_whatever_zones_have_lost(
    before: dict[str, float],
    changes: list[tuple[list[ZoneCapacity], float, bool]],
) -> None:
    """Guards against look-ups that fail where the shares sum to zero."""
    shares = before
    for capacities, max_step, is_ramping in changes:
        target = compute_zone_shares(capacities)['pnw-a']
        shares = (
            ramp_shares(shares, target, capacities, max_step)
            if is_ramping
            else target
        )
        assert sum(shares.values()) == pytest.approx(1)
        entries = {each.zone: each.entries for each in capacities}
        listed = list_entries('pnw-a', shares, entries)
        assert bool(listed) == any(entries.values())
        zones = {address.partition(':')[0] for address in listed}
        assert zones <= (_zones_with_capacity(capacities) or set(entries))


def test_all_are_listed_where_no_zone_carries() -> None:
    """Without upstreams callers still get addresses of instances."""
    listed = list_entries('a', {}, {'a': ('1:1',), 'b': ('2:1',)})
    assert sorted(listed) == ['1:1', '2:1']


@given(
    st.dictionaries(st.sampled_from(sorted(SLOTS)), st.floats(0.1, 1)),
    st.dictionaries(st.sampled_from(sorted(SLOTS)), st.floats(0.1, 1)),
    st.floats(0.01, 0.3),
)
def test_no_step_moves_more_to_other_regions_than_it_may(
    before: dict[str, float],
    target: dict[str, float],
    max_step: float,
) -> None:
    """No step exceeds the limit, and the shares reach their target."""
    if not before or not target:
        return
    shares, target_shares = _normalized(before), _normalized(target)
    for _ in range(int(1 / max_step) + 2):
        step = ramp_shares(shares, target_shares, _capacities(SLOTS), max_step)
        assert _cross_region_share(shares, step) <= max_step + 1e-9
        assert sum(step.values()) == pytest.approx(1)
        shares = step
    assert shares == target_shares


def test_callers_of_a_zone_that_carries_nothing_move_at_once() -> None:
    """The ramp does not apply to callers of a zone without capacity."""
    slots = {**SLOTS, 'pnw-a': 0}
    step = ramp_shares({'pnw-a': 1}, {'nc-a': 1}, _capacities(slots), 0.05)
    assert step == {'nc-a': 1}


def _zones_with_capacity(capacities: list[ZoneCapacity]) -> set[str]:
    return {each.zone for each in capacities if each.slots and each.entries}


def _normalized(shares: dict[str, float]) -> dict[str, float]:
    total = sum(shares.values())
    return {zone: share / total for zone, share in shares.items()}


def _cross_region_share(
    before: dict[str, float], after: dict[str, float]
) -> float:
    moved: dict[str, float] = {}
    for sign, shares in ((-1, before), (1, after)):
        for zone, share in shares.items():
            region = zone.partition('-')[0]
            moved[region] = moved.get(region, 0) + sign * share
    return sum(max(0, change) for change in moved.values())
