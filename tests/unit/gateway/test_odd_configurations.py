"""An entry of a configuration that can't be read costs itself alone."""

import json
from pathlib import Path
from typing import Any

import pytest

from lycheedyke.exceptions import DocumentMalformed
from lycheedyke.protocol import EntryKind, RouteKind, RoutingRecord, digest_key
from lycheedyke.state import RouteTable
from standins.gateway_testbed import (
    ROUTES,
    GatewayTestbed,
    decode_record,
    run_scenario,
)
from standins.registry_store import config_value

TENANTS = [
    {'name': 'tills', 'apiKeys': ['k-1'], 'ratePerS': 5, 'burst': 2.5},
    {'name': 'vendors', 'apiKeys': ['k-2'], 'priority': 0},
]
HUGE = 10**400


def _decode(value: Any) -> RoutingRecord:
    record = decode_record('op/config', json.dumps(value).encode())
    assert isinstance(record, RoutingRecord)
    return record


def _changed(table: str, row: int, column: str, content: Any) -> Any:
    value = json.loads(json.dumps(config_value(0x20, list(ROUTES), TENANTS)))
    at = value[table]['columns'].index(column)
    value[table]['rows'][row][at] = content
    return value


def test_all_types_are_known() -> None:
    """Guards against types that keep callers of others from being served."""
    routes = [
        {**ROUTES[0], 'name': each, 'prefix': f'/{each}/', 'type': each}
        for each in ('safe', 'unsafe', 'upload', 'download')
    ]
    record = _decode(config_value(0x20, routes))
    kinds = {route.name: route.kind for route in record.routes}
    assert not record.faults
    assert record.tenants is None
    assert kinds == {
        'safe': RouteKind.idempotent,
        'download': RouteKind.idempotent,
        'unsafe': RouteKind.non_idempotent,
        'upload': RouteKind.non_idempotent,
    }


# Guards against a repeated run of a request that may run only once.
def test_an_unknown_type_counts_as_not_repeatable() -> None:
    """The route is in force, and a fault names it."""
    record = _decode(_changed('routes', 0, 'type', 'stream'))
    assert record.routes[0].kind is RouteKind.non_idempotent
    (fault,) = record.faults
    assert (fault.kind, fault.name) == (EntryKind.route, 'read')
    assert fault.in_force


@pytest.mark.parametrize(
    ('table', 'column', 'content'),
    [
        ('routes', 'timeout', 'soon'),
        ('routes', 'timeout', '-1ms'),
        ('routes', 'goal', f'{"9" * 400}s'),
        ('routes', 'type', 7),
        ('routes', 'name', ['read']),
        ('routes', 'attempts', 0),
        ('routes', 'prefix', 'read'),
        ('routes', 'split', [{'service': 'desk', 'weight': -1}]),
        ('routes', 'split', [{'service': 'desk', 'weight': 0}]),
        ('routes', 'split', 'desk'),
        ('routes', 'homeRegions', 'pnw'),
        ('services', 'coldPerS', -1),
        ('services', 'cold', 3),
        ('services', 'maxConns', 'many'),
        ('services', 'name', None),
        ('tenants', 'name', 'no\r\nname'),
        ('tenants', 'apiKeys', 'k-1'),
        ('tenants', 'apiKeys', [7]),
        ('tenants', 'apiKeys', ['']),
        ('tenants', 'ratePerS', -5),
        ('tenants', 'burst', 'much'),
        ('tenants', 'homeRegions', {'pnw': 1}),
        ('tenants', 'priority', 'first'),
    ],
)
def test_an_unreadable_entry_costs_itself_alone(
    table: str, column: str, content: Any
) -> None:
    """All others are in force, and a fault names the entry."""
    sound = _decode(config_value(0x20, list(ROUTES), TENANTS))
    record = _decode(_changed(table, 0, column, content))
    (fault,) = record.faults
    assert fault.kind.value == table.removesuffix('s')
    assert not fault.in_force
    for kept in ('routes', 'services', 'tenants'):
        expected = getattr(sound, kept)[1 if kept == table else 0 :]
        assert getattr(record, kept) == expected


def test_a_fault_of_a_tenant_quotes_no_key() -> None:
    """Guards against keys in log lines, where a column holds another's."""
    for column in ('name', 'ratePerS', 'priority', 'burst'):
        for content in (['k-secret'], {'k-secret': 1}, 'k-\r\nsecret'):
            record = _decode(_changed('tenants', 0, column, content))
            assert len(record.faults) == 1
            assert 'secret' not in repr(record)


@pytest.mark.parametrize('row', [None, 7, [], ['short'], {'name': 'x'}])
def test_a_row_that_does_not_fit_costs_itself_alone(row: Any) -> None:
    """Guards against one short row that costs all others."""
    value = config_value(0x20, list(ROUTES), TENANTS)
    for table in ('routes', 'services', 'tenants'):
        value[table]['rows'].append(row)
    record = _decode(value)
    assert [fault.kind.value for fault in record.faults] == [
        'route',
        'service',
        'tenant',
    ]
    assert len(record.routes) == len(ROUTES)
    assert len(record.tenants or ()) == len(TENANTS)


def test_unreadable_limits_have_their_defaults() -> None:
    """Guards against one odd limit that keeps a configuration out."""
    value = config_value(0x20, list(ROUTES), None, idleTimeout='long')
    record = _decode(value)
    (fault,) = record.faults
    assert (fault.kind, fault.name) == (EntryKind.limits, 'idleTimeout')
    assert record.limits.header_bytes == 16384
    assert len(_decode({**value, 'limits': None}).faults) == 4


@pytest.mark.parametrize(
    'changes',
    [
        {'version': None},
        {'version': 'new'},
        {'routes': []},
        {'services': {'columns': ['name']}},
        {'tenants': [TENANTS]},
        {'tenants': {'columns': ['name', 'name'], 'rows': []}},
        {'routes': {'columns': [7], 'rows': []}},
    ],
)
def test_a_document_without_sound_tables_is_malformed(
    changes: dict[str, Any],
) -> None:
    """Guards against a configuration in force of which nothing is sure."""
    value = config_value(0x20, list(ROUTES), TENANTS)
    with pytest.raises(DocumentMalformed):
        _decode({**value, **changes})


# Guards against requests of an unreadable route that run at the service of a
# shorter prefix.
def test_an_unreadable_route_hides_shorter_prefixes() -> None:
    """Its paths have no route, and are told apart from unknown ones."""
    routes = [
        {'name': 'all', 'prefix': '/', 'service': 'desk'},
        {'name': 'odd', 'prefix': '/odd/', 'service': 'desk', 'timeout': 'x'},
        {'name': 'in', 'prefix': '/odd/in/', 'service': 'desk'},
    ]
    table = RouteTable(_decode(config_value(0x20, routes)))
    host = 'shop.example'
    found = [table.find(host, path) for path in ('/1', '/odd/1', '/odd/in/1')]
    assert [route and route.name for route in found] == ['all', None, 'in']
    assert table.is_unreadable(host, '/odd/1')
    assert not table.is_unreadable('other.example', '/odd/1')


# Guards against callers who are served as another tenant.
def test_a_key_of_two_tenants_names_neither() -> None:
    """Their other keys do, and faults name both tenants by a log line."""
    tenants = [
        {'name': 'tills', 'apiKeys': ['k-1', 'k-shared']},
        {'name': 'vendors', 'apiKeys': ['k-shared', 'k-2']},
    ]
    table = RouteTable(_decode(config_value(0x20, list(ROUTES), tenants)))
    assert table.tenants is not None
    found = [
        table.tenants.identify((f'Bearer {key}',))
        for key in ('k-1', 'k-2', 'k-shared')
    ]
    assert [tenant and tenant.name for tenant in found] == [
        'tills',
        'vendors',
        None,
    ]
    assert [fault.name for fault in table.tenants.faults] == ['vendors']
    assert digest_key('k-1') != b'k-1'


# Guards against a configuration that is kept out, or read again and again, for
# one odd entry.
def test_a_configuration_with_odd_entries_is_in_force(tmp_path: Path) -> None:
    """Each odd entry is counted; callers of an unreadable route get 503."""

    async def _scene(testbed: GatewayTestbed) -> None:
        odd = {'name': 'odd', 'prefix': '/odd/', 'service': 'desk', 'goal': 'x'}
        value = config_value(0x20, [*ROUTES, odd])
        testbed.store.put('op/config', value)
        instance = testbed.instances[0]
        while instance._registry_view.number < 0x20:
            await testbed.send()
        assert (await testbed.send()).status == 200
        reply = await testbed.send('/odd/1')
        assert (reply.status, reply.body) == (503, b'unreadable-route')
        assert instance._counters.counts['configuration.route-unreadable'] == 1

    run_scenario(tmp_path, _scene)
