"""Look-ups name only regions that suit all routes of a host."""

from collections.abc import Collection
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import (
    CallerLimits,
    EntryRecord,
    RegistryItem,
    Route,
    RouteKind,
    RoutePart,
    RoutingRecord,
    ServiceLimits,
)
from lycheedyke.state import Counters, RunTimeStats, Suspects, UpstreamTable
from lycheedyke.state._route_use import MIN_REQUESTS, USE_PERIOD
from lycheedyke_daemon.gateway._lookup import LookupDirectory
from lycheedyke_daemon.gateway._registry_view import RegistryView
from standins.clock import ManualClock
from standins.records import make_upstream

ZONES = {
    'pnw-a': 'pnw',
    'pnw-b': 'pnw',
    'mt-a': 'mt',
    'mt-b': 'mt',
    'nc-a': 'nc',
    'nc-b': 'nc',
}
REGIONS = sorted(set(ZONES.values()))
HOST = 'shop.example'
INSTANCES = 20
# Most upstreams stand where callers of other regions may not be sent.
UPSTREAMS = {'pnw-a': 1, 'pnw-b': 0, 'mt-a': 2, 'mt-b': 2, 'nc-a': 9, 'nc-b': 9}
SHIFT_MOST = 0.15
SHIFT_WINDOW_SECONDS = 2
STEPS_PER_WINDOW = 4
# An answer names at most 64 instances, so the fractions are rounded.
ROUNDING = 0.03
FREE: frozenset[str] = frozenset()

HOMES = st.frozensets(st.sampled_from(REGIONS))


def _route(at: int, homes: Collection[str]) -> Route:
    second = timedelta(seconds=1)
    return Route(
        name=f'route-{at}',
        host=HOST,
        prefix=f'/route-{at}/',
        kind=RouteKind.idempotent,
        parts=(RoutePart('desk', 1),),
        timeout=second,
        goal=second,
        homes=frozenset(homes),
    )


class _Testbed:
    """A directory with instances in some zones and upstreams in all regions."""

    def __init__(
        self, *homes: Collection[str], zones: Collection[str] = tuple(ZONES)
    ) -> None:
        self.clock = ManualClock()
        self.upstream_table = UpstreamTable(self.clock)
        self.registry_view = RegistryView(
            self.upstream_table, Suspects(self.clock), Counters(), self.clock
        )
        own = EntryRecord('own', 'run', 'pnw-a', 'pnw', 'pnw-a:own', '')
        for zone in zones:
            for at in range(INSTANCES):
                name = f'{zone}:{at}'
                entry = EntryRecord(name, 'run', zone, ZONES[zone], name, '')
                self.registry_view.apply(RegistryItem(name, 1, entry), None)
        for zone, count in UPSTREAMS.items():
            for at in range(count):
                self.upstream_table.apply(
                    make_upstream(f'{zone}-{at}', service='desk', zone=zone)
                )
        self._number = 0
        self.configure(*homes)
        self.directory = LookupDirectory(
            own,
            self.registry_view,
            self.upstream_table,
            RunTimeStats(),
            ZONES,
            SHIFT_MOST,
            self.clock,
        )

    def configure(self, *homes: Collection[str]) -> None:
        """Puts a configuration in force, with a route for each set of homes."""
        self._number += 1
        record = RoutingRecord(
            self._number,
            tuple(_route(at, each) for at, each in enumerate(homes)),
            (ServiceLimits('desk', 10, 1),),
            CallerLimits(),
        )
        item = RegistryItem('routing', self._number, record)
        self.registry_view.apply(item, None)
        self.use()

    def use(self, requests: int = MIN_REQUESTS) -> None:
        """Sends requests on all routes."""
        table = self.registry_view.table
        assert table is not None
        for route in table.routes * requests:
            self.registry_view.route_use.record(route)

    def shares(self, zone: str) -> dict[str, float]:
        """Returns the share of each region in the answer to a zone's callers."""
        listed = self.directory.find(HOST, zone)
        regions = [ZONES.get(each.partition(':')[0], '') for each in listed]
        return {
            region: regions.count(region) / len(regions)
            for region in set(regions)
        }

    def regions(self, zone: str) -> set[str]:
        return set(self.shares(zone))


# Guards against HOME: two routes of a host with different homes lifted all
# homes, and callers were sent to a region that was neither a home nor their own.
@pytest.mark.parametrize(
    'homes',
    [
        (('pnw',), ('mt',)),
        (('mt',), ('pnw',)),
        (('pnw',), ('mt',), ('pnw',)),
        (('pnw',), ('mt',), ('nc',)),
        (('pnw', 'mt'), ('mt', 'nc'), ('nc', 'pnw')),
        (('pnw',), FREE, ('mt',)),
    ],
)
@pytest.mark.parametrize('zone', ZONES)
def test_routes_that_share_no_home_keep_callers_in_their_region(
    homes: tuple[Collection[str], ...], zone: str
) -> None:
    """No region suits all routes, and the callers' own one breaks no rule."""
    assert _Testbed(*homes).regions(zone) == {ZONES[zone]}


@pytest.mark.parametrize('zone', ['mt-a', 'nc-b'])
def test_shared_homes_and_the_own_region_are_named(zone: str) -> None:
    """Routes without homes of their own do not lift those of others."""
    testbed = _Testbed(('pnw', 'mt'), FREE, ('pnw',))
    assert testbed.regions(zone) <= {'pnw', ZONES[zone]}
    assert testbed.regions('pnw-a') == {'pnw'}


def test_without_an_instance_in_the_own_region_homes_of_any_route_follow() -> (
    None
):
    """A region that is home to no route comes last."""
    zones = [zone for zone in ZONES if ZONES[zone] != 'pnw']
    assert _Testbed(('pnw',), ('mt',), zones=zones).regions('pnw-a') == {'mt'}
    only_nc = _Testbed(('pnw',), ('mt',), zones=['nc-a'])
    assert only_nc.regions('pnw-a') == {'nc'}


@pytest.mark.parametrize('homes', [(('mt',),), (('mt',), ('pnw',))])
def test_an_evacuated_zone_does_not_send_callers_elsewhere(
    homes: tuple[Collection[str], ...],
) -> None:
    """Its region has other zones, and instances that pass requests on."""
    testbed = _Testbed(*homes)
    testbed.upstream_table.evacuated_zones = frozenset(('mt-a',))
    assert testbed.regions('mt-a') == {'mt'}
    testbed.upstream_table.evacuated_zones = frozenset(('mt-a', 'mt-b'))
    assert testbed.regions('mt-a') == {'mt'}


def test_a_zone_that_is_not_configured_has_no_region_of_its_own() -> None:
    """An instance in such a zone is not near a caller in another one."""
    testbed = _Testbed(('pnw',))
    stray = EntryRecord('stray', 'run', 'x-a', 'x', 'x-a:0', '')
    testbed.registry_view.apply(RegistryItem('stray', 1, stray), None)
    assert testbed.regions('y-a') == {'pnw'}


# Guards against a wave of callers where homes change.
@pytest.mark.parametrize('zone', ZONES)
@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ((('pnw', 'mt', 'nc'),), (FREE,)),
        ((('pnw',),), (FREE,)),
        ((('pnw',),), (('pnw', 'nc'),)),
        ((('pnw',),), (('pnw',), ('mt',))),
        ((('pnw',), ('mt',)), (FREE,)),
        ((('pnw',), ('mt',)), (('nc',),)),
    ],
)
def test_a_change_of_homes_moves_callers_at_the_pace_of_the_setting(
    before: tuple[Collection[str], ...],
    after: tuple[Collection[str], ...],
    zone: str,
) -> None:
    """Only regions that are allowed no more are left at once."""
    testbed = _Testbed(*before)
    shares = [testbed.shares(zone)]
    for _ in range(STEPS_PER_WINDOW):
        testbed.clock.advance(SHIFT_WINDOW_SECONDS / STEPS_PER_WINDOW)
        shares.append(testbed.shares(zone))
    testbed.configure(*after)
    for _ in range(STEPS_PER_WINDOW * 16):
        testbed.clock.advance(SHIFT_WINDOW_SECONDS / STEPS_PER_WINDOW)
        shares.append(testbed.shares(zone))
    bound = [frozenset(each) for each in after if each]
    allowed = set(REGIONS)
    if bound:
        allowed = set(frozenset.intersection(*bound)) | {ZONES[zone]}
    for earlier, later in zip(shares, shares[STEPS_PER_WINDOW:], strict=False):
        left = sum(
            part for name, part in earlier.items() if name not in allowed
        )
        gained = sum(
            max(0, later.get(region, 0) - earlier.get(region, 0))
            for region in REGIONS
        )
        assert gained - left <= SHIFT_MOST + ROUNDING
    assert set(shares[-1]) <= allowed


# Guards against callers of free routes who are kept in regions without slots by
# routes that nobody uses.
def test_unused_routes_that_share_no_home_restrict_no_others() -> None:
    """They do while callers use them, and for ten seconds after that."""
    testbed = _Testbed(('pnw',), FREE, ('mt',))
    zone = 'pnw-b'
    restricted = testbed.regions(zone)
    testbed.clock.advance(USE_PERIOD.total_seconds())
    shares = [testbed.shares(zone)]
    for _ in range(STEPS_PER_WINDOW * 16):
        testbed.clock.advance(SHIFT_WINDOW_SECONDS / STEPS_PER_WINDOW)
        shares.append(testbed.shares(zone))
    testbed.use(MIN_REQUESTS - 1)
    testbed.clock.advance(1)
    barely_used = testbed.regions(zone)
    testbed.use(1)
    testbed.clock.advance(1)
    assert restricted == {'pnw'}
    assert shares[-1].get('nc', 0) > SHIFT_MOST
    assert barely_used == set(shares[-1])
    assert testbed.regions(zone) == {'pnw'}
    for earlier, later in zip(shares, shares[STEPS_PER_WINDOW:], strict=False):
        moved = earlier.get('pnw', 0) - later.get('pnw', 0)
        assert moved <= SHIFT_MOST + ROUNDING


@pytest.mark.parametrize(
    'homes', [(('pnw',), ('mt',)), (('pnw',), FREE), (('pnw',), FREE, ('pnw',))]
)
def test_other_routes_restrict_whether_they_are_used_or_not(
    homes: tuple[Collection[str], ...],
) -> None:
    """All routes are restricted, or a region suits all that are."""
    testbed = _Testbed(*homes)
    testbed.clock.advance(60)
    assert testbed.regions('pnw-b') == {'pnw'}


@given(
    homes=st.lists(HOMES, min_size=1, max_size=4),
    zones=st.frozensets(st.sampled_from(sorted(ZONES)), min_size=1),
    zone=st.sampled_from(sorted(ZONES)),
)
def test_no_region_is_named_while_a_better_one_has_instances(
    homes: list[frozenset[str]], zones: frozenset[str], zone: str
) -> None:
    """Whatever the homes, their order and the instances that are left."""
    regions = _Testbed(*homes, zones=zones).regions(zone)
    present = {ZONES[each] for each in zones}
    bound = [each for each in homes if each]
    if not bound:
        return
    best = (frozenset.intersection(*bound) | {ZONES[zone]}) & present
    second = frozenset.union(*bound) & present
    assert regions <= (best or second or present)
