"""Tests that the block map gives the results of a linear search."""

import ipaddress

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.protocol import Block
from lycheedyke.state import BlockMap, _blocks

Network = ipaddress.IPv4Network | ipaddress.IPv6Network
# Few distinct leading bits, so that prefixes nest and repeat.
hosts4 = st.integers(0, 255).map(lambda low: 0x0A000000 | low * 0x010101)
hosts6 = st.integers(0, 255).map(lambda low: 0x20010DB8 << 96 | low * 0x10001)
networks = st.one_of(
    st.tuples(hosts4, st.integers(0, 32)),
    st.tuples(hosts6, st.sampled_from([0, 32, 48, 64, 65, 112, 120, 128])),
).map(lambda pair: ipaddress.ip_network(pair, strict=False))
changes = st.dictionaries(
    networks,
    st.sampled_from([None, 'norr', 'vast', 'syd']),
    max_size=12,
)
addresses = st.one_of(
    hosts4.map(ipaddress.IPv4Address),
    hosts6.map(ipaddress.IPv6Address),
)


def _search(expected: dict[Network, str], address: object) -> object:
    holding = [net for net in expected if address in net]
    if not holding:
        return None
    best = max(holding, key=lambda net: net.prefixlen)
    return (str(best), expected[best])


@given(st.lists(changes, max_size=6), st.lists(addresses, max_size=8))
def test_longest_prefix_as_the_naive_search(
    steps: list[dict[Network, str | None]],
    queried: list[ipaddress.IPv4Address],
) -> None:
    """Overlaid, merged and restored maps give the results of the search."""
    limit = _blocks.MAX_OVERLAY
    _blocks.MAX_OVERLAY = 8
    expected: dict[Network, str] = {}
    blocks = BlockMap()
    for step in steps:
        blocks = blocks.change(
            {
                str(net): Block(home) if home else None
                for net, home in step.items()
            },
        )
        expected.update({net: home for net, home in step.items() if home})
        for net, home in step.items():
            if home is None:
                expected.pop(net, None)
    _blocks.MAX_OVERLAY = limit
    for found in (blocks, BlockMap.restore(*blocks.export())):
        assert len(found) == len(expected)
        assert found.homes() == set(expected.values())
        for address in queried:
            assert found.find(str(address)) == _search(expected, address)
        for net, home in expected.items():
            assert found.get(str(net)) == home
