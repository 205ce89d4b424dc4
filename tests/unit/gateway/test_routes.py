"""Tests of the route table and of weighted splits."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import Route, RoutePart
from lycheedyke.state import RouteTable, WeightedRoundRobin
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


@given(st.lists(st.integers(1, 100), min_size=2, max_size=4))
def test_split_gives_each_part_its_weight(weights: list[int]) -> None:
    """After a complete round the shares equal the weights."""
    parts = [RoutePart(f's{at}', each) for at, each in enumerate(weights)]
    route = make_route('/', *parts)
    splitter = WeightedRoundRobin()
    selected = Counter(splitter.choose(route) for _ in range(sum(weights)))
    assert selected == {part.service: part.weight for part in parts}


def test_split_follows_new_parts_of_a_route() -> None:
    """The credit of replaced parts is not used for new parts."""
    splitter = WeightedRoundRobin()
    splitter.choose(make_route('/', RoutePart('a', 90), RoutePart('b', 10)))
    only = make_route('/', RoutePart('c', 1))
    assert splitter.choose(only) == 'c'
