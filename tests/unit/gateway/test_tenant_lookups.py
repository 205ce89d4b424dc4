"""Look-ups that carry the key of a tenant name regions that suit it."""

import pytest

from lycheedyke.protocol import (
    EntryRecord,
    RegistryItem,
    RoutingRecord,
    Tenant,
    digest_key,
)
from lycheedyke.state import Counters, RunTimeStats, Suspects, UpstreamTable
from lycheedyke_daemon.gateway._lookup import LookupDirectory
from lycheedyke_daemon.gateway._registry_view import RegistryView
from standins.clock import ManualClock
from standins.records import make_route, make_routing, make_upstream

ZONES = {'pnw-a': 'pnw', 'mt-a': 'mt', 'nc-a': 'nc'}
HOST = 'a'
KEY = ('Bearer k-1',)


class _Testbed:
    """Most upstreams are in nc, so callers of pnw are sent there."""

    def __init__(self, *homes: str, of_route: tuple[str, ...] = ()) -> None:
        self.clock = ManualClock()
        table = UpstreamTable(self.clock)
        self.view = RegistryView(
            table, Suspects(self.clock), Counters(), self.clock
        )
        own = EntryRecord('own', 'run', 'pnw-a', 'pnw', 'pnw-a:own', '')
        for zone, region in ZONES.items():
            for at in range(6):
                name = f'{zone}:{at}'
                entry = EntryRecord(name, 'run', zone, region, name, '')
                self.view.apply(RegistryItem(name, 1, entry), None)
            for at in range(9 if zone == 'nc-a' else 1):
                table.apply(make_upstream(f'{zone}-{at}', zone=zone))
        route = make_route('/', host=HOST, homes=frozenset(of_route))
        self.number = 0
        self.configure(make_routing(1, route), homes)
        self.directory = LookupDirectory(
            own, self.view, table, RunTimeStats(), ZONES, 0.15, self.clock
        )

    def configure(
        self, routing: RoutingRecord, homes: tuple[str, ...] | None
    ) -> None:
        """Puts a configuration in force, with a tenant of these homes."""
        self.number += 1
        tenant = Tenant(
            'shop', (digest_key('k-1'),), homes=frozenset(homes or ())
        )
        record = RoutingRecord(
            self.number,
            routing.routes,
            routing.services,
            routing.limits,
            None if homes is None else (tenant,),
        )
        item = RegistryItem('routing', self.number, record)
        self.view.apply(item, None)

    def regions(self, *authorizations: str) -> set[str]:
        """Returns the regions that callers of pnw-a are answered."""
        listed = self.directory.find(HOST, 'pnw-a', '192.0.2.1', authorizations)
        return {ZONES[each.partition(':')[0]] for each in listed}


# Guards against callers who are sent to a region that is no home of theirs.
def test_a_tenant_is_sent_to_its_homes_and_its_own_region() -> None:
    """The callers of no or an unknown tenant get the answer of before."""
    testbed = _Testbed('mt')
    assert testbed.regions(*KEY) <= {'mt', 'pnw'}
    assert 'nc' in testbed.regions()
    assert 'nc' in testbed.regions('Bearer other')
    assert 'nc' in testbed.regions(*KEY, *KEY)


# Guards against homes of a tenant that lift those of the route, or are lifted.
@pytest.mark.parametrize('of_route', [('mt',), ('mt', 'nc'), ('pnw', 'mt')])
def test_regions_suit_the_tenant_as_well_as_the_route(
    of_route: tuple[str, ...],
) -> None:
    """The only common home is mt; the own region breaks no rule."""
    testbed = _Testbed('mt', of_route=of_route)
    assert testbed.regions(*KEY) <= {'mt', 'pnw'}


# Guards against look-ups that fail, or restrict, without restricted tenants.
def test_tenants_without_homes_are_sent_anywhere() -> None:
    """Neither are callers where the configuration has no tenants."""
    assert 'nc' in _Testbed().regions(*KEY)
    testbed = _Testbed('mt')
    routing = make_routing(1, make_route('/', host=HOST))
    testbed.configure(routing, None)
    testbed.clock.advance(60)
    testbed.regions(*KEY)
    assert 'nc' in testbed.regions(*KEY)


# Guards against shares that pile up as the homes of tenants change.
def test_shares_of_homes_that_no_tenant_has_are_dropped() -> None:
    """A new configuration gives the tenant other homes."""
    testbed = _Testbed('mt')
    testbed.regions(*KEY)
    routing = make_routing(1, make_route('/', host=HOST))
    testbed.configure(routing, ('nc',))
    testbed.clock.advance(1)
    testbed.regions(*KEY)
    homes = {callers.homes for callers in testbed.directory._shares}
    assert homes == {frozenset(('nc',))}
