"""Routes by host and longest prefix, and splits by weight."""

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
    """A longer prefix goes before a shorter one; hosts are apart."""
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
    """A host or path that no route names has none."""
    table = make_table(make_route('/x/'))
    assert table.find('c', '/x/1') is None
    assert table.find('a', '/y/x/') is None
    assert table.find('a', '') is None


@given(st.lists(st.integers(1, 100), min_size=2, max_size=4))
def test_split_gives_each_part_its_weight(weights: list[int]) -> None:
    """After a whole round the shares are exact."""
    parts = [RoutePart(f's{at}', each) for at, each in enumerate(weights)]
    route = make_route('/', *parts)
    turns = WeightedRoundRobin()
    dealt = Counter(turns.choose(route) for _ in range(sum(weights)))
    assert dealt == {part.service: part.weight for part in parts}


def test_split_follows_new_parts_of_a_route() -> None:
    """Credit of an older version's parts does not carry over."""
    turns = WeightedRoundRobin()
    turns.choose(make_route('/', RoutePart('a', 90), RoutePart('b', 10)))
    only = make_route('/', RoutePart('c', 1))
    assert turns.choose(only) == 'c'
