"""Tests of the route table."""

from lycheedyke.protocol import Route
from lycheedyke.state import RouteTable
from standins.records import make_route, make_routing


def make_table(*routes: Route) -> RouteTable:
    """Returns a table of version 1."""
    return RouteTable(make_routing(1, *routes))


def test_longest_prefix_of_the_host_wins() -> None:
    """The longest prefix of the requested host is selected."""
    table = make_table(
        make_route('/'),
        make_route('/x/'),
        make_route('/x/y/'),
        make_route('/x/y/z/', host='b'),
    )
    found = {
        path: table.find('a', path)
        for path in ('/', '/x', '/x/', '/x/1', '/x/y/z/1')
    }
    assert {path: each and each.prefix for path, each in found.items()} == {
        '/': '/',
        '/x': '/',
        '/x/': '/x/',
        '/x/1': '/x/',
        '/x/y/z/1': '/x/y/',
    }


def test_no_route_for_other_hosts_and_paths() -> None:
    """A host or path without a matching route has no route."""
    table = make_table(make_route('/x/'))
    assert table.find('c', '/x/1') is None
    assert table.find('a', '/y/x/') is None
    assert table.find('a', '') is None
