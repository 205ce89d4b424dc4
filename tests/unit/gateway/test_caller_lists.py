"""Callers use instances in proportion to their capacity."""

from collections import Counter

import pytest

from lycheedyke.protocol import EntryRecord
from lycheedyke.state.demand import (
    EntryStrength,
    ZoneOrders,
    list_by_strength,
    relative_strengths,
)
from lycheedyke_daemon.gateway.lookups import EntryOrders

LARGE = [EntryStrength(f'large-{at}', 2.15, 200) for at in range(2)]
SMALL = [EntryStrength(f'small-{at}', 0.3, 10) for at in range(20)]
ZONE = 'pnw-a'
CLASSES = 128


def _orders(entries: list[EntryStrength]) -> ZoneOrders:
    strengths = relative_strengths(entries)
    assert strengths is not None
    return ZoneOrders(strengths)


def _used(lists: list[list[str]]) -> Counter[str]:
    """Returns the share of the callers that each instance gets."""
    used: Counter[str] = Counter()
    for listed in lists:
        for address in listed:
            used[address] += 1 / len(listed) / len(lists)  # type: ignore[assignment]
    return used


# Guards against small instances that get as many callers as large ones.
def test_callers_are_distributed_by_the_scarcer_resource() -> None:
    """Each instance gets its part: its link is scarcer for the small ones."""
    strengths = relative_strengths(LARGE + SMALL)
    assert strengths is not None
    # 0.3 of 10.3 cores, but 10 of 600 Mbit/s.
    large, small = strengths['large-0'], strengths['small-0']
    assert small / large == pytest.approx((10 / 600) / (2.15 / 10.3))
    orders = _orders(LARGE + SMALL)
    lists = [
        list_by_strength(each, {ZONE: 1}, {ZONE: orders})
        for each in range(CLASSES)
    ]
    used = _used(lists)
    for name, strength in strengths.items():
        assert used[name] == pytest.approx(strength, rel=0.4)
    assert used['large-0'] == pytest.approx(strengths['large-0'], rel=0.1)
    assert all(len(set(listed)) >= 3 for listed in lists)


# Guards against connections that callers close though nothing they use changed.
def test_lists_change_little_where_one_instance_leaves() -> None:
    """Most callers that were not listed the instance keep their lists."""
    before, after = _orders(LARGE + SMALL), _orders(LARGE + SMALL[1:])
    lists = [
        (
            set(list_by_strength(each, {ZONE: 1}, {ZONE: before})),
            set(list_by_strength(each, {ZONE: 1}, {ZONE: after})),
        )
        for each in range(CLASSES)
    ]
    kept = [
        len(old & new) / len(old) for old, new in lists if 'small-0' not in old
    ]
    assert sum(kept) / len(kept) > 0.85


# Guards against lists of few addresses that follow shares in large steps.
@pytest.mark.parametrize('share', [0.02, 0.1, 0.33, 0.5, 0.98])
def test_zones_get_their_shares_over_all_callers(share: float) -> None:
    """A fraction of an address is one more for this fraction of callers."""
    orders = _orders(LARGE + SMALL)
    far = ZoneOrders({f'far-{at}': 1 / 9 for at in range(9)})
    lists = [
        list_by_strength(
            each, {ZONE: 1 - share, 'nc-a': share}, {ZONE: orders, 'nc-a': far}
        )
        for each in range(CLASSES)
    ]
    used = _used(lists)
    found = sum(part for name, part in used.items() if name.startswith('far'))
    assert found == pytest.approx(share, abs=0.01)


# Guards against answers that move all callers where shares move a little.
def test_a_small_change_of_shares_changes_few_lists() -> None:
    """The change is made for as many callers as it concerns."""
    orders = {
        ZONE: _orders(LARGE + SMALL),
        'nc-a': ZoneOrders({f'far-{at}': 1 / 9 for at in range(9)}),
    }
    changed = sum(
        set(list_by_strength(each, {ZONE: 0.7, 'nc-a': 0.3}, orders))
        != set(list_by_strength(each, {ZONE: 0.69, 'nc-a': 0.31}, orders))
        for each in range(CLASSES)
    )
    assert changed <= 0.3 * CLASSES


def _record(strength: EntryStrength) -> EntryRecord:
    name, cores, link = strength
    return EntryRecord(name, 'run', ZONE, 'pnw', name, '', cores, link)


# Guards against other lists in deployments that do not tell capacities.
@pytest.mark.parametrize(
    'entries',
    [
        SMALL,
        [*LARGE, *SMALL, EntryStrength('old', 0, 0)],
        [*LARGE, EntryStrength('old', 0.3, 0)],
        [],
    ],
)
def test_equal_or_unknown_capacities_give_the_list_for_all(
    entries: list[EntryStrength],
) -> None:
    """Such zones have no orders by capacity."""
    orders = EntryOrders()
    orders.update(map(_record, entries))
    assert orders.for_callers(ZONE, [ZONE]) is None


# Guards against orders of instances that have left.
def test_orders_follow_the_instances() -> None:
    """They name the instances that are listed now."""
    orders = EntryOrders()
    orders.update(map(_record, LARGE + SMALL))
    first = orders.for_callers(ZONE, [ZONE])
    orders.update(map(_record, LARGE + SMALL))
    assert first == orders.for_callers(ZONE, [ZONE])
    orders.update(map(_record, LARGE[:1] + SMALL))
    found = orders.for_callers(ZONE, [ZONE])
    assert found is not None
    assert not any(
        'large-1' in found[ZONE].first(each, 3) for each in range(CLASSES)
    )
