"""The tree in which configurations are passed on."""

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.coordination import ancestors_of, rank_by_link
from lycheedyke.protocol import EntryRecord

THIN_MBPS = 5.0
THICK_MBPS = 100.0
THIN_COPIES = 2
DESIGN_SIZE = 27
MAX_DEPTH = 4


def _entry(number: int, link_mbps: float) -> EntryRecord:
    name = f'edge-{number}'
    return EntryRecord(
        name, 'x', 'a', 'r', '', f'{name}:1', link_mbps=link_mbps
    )


def _ranked(links: list[float]) -> list[EntryRecord]:
    return rank_by_link(_entry(at, each) for at, each in enumerate(links))


@given(st.lists(st.sampled_from([0, THIN_MBPS, THICK_MBPS]), max_size=80))
def test_everyone_has_a_way_to_the_root(links: list[float]) -> None:
    """No thin link carries more than two copies."""
    ranked = _ranked(links)
    parents = []
    for entry in ranked[1:]:
        ancestors = ancestors_of(entry.name, ranked)
        assert ancestors[-1] == ranked[0]
        assert entry not in ancestors
        parents.append(ancestors[0])
    assert all(
        parents.count(entry) <= THIN_COPIES
        for entry in ranked
        if entry.link_mbps < THICK_MBPS
    )


def test_the_root_has_the_most_room() -> None:
    """Equal links are ordered by name, so that all instances agree."""
    ranked = _ranked([THIN_MBPS, THICK_MBPS, THIN_MBPS])
    assert ranked[0].name == 'edge-1'
    assert ancestors_of('edge-1', ranked) == []
    assert ancestors_of('unknown', ranked) == []


def test_a_zone_of_thin_links_is_no_deeper_than_four() -> None:
    """The time grows with the logarithm of the instances."""
    ranked = _ranked([THIN_MBPS] * DESIGN_SIZE)
    depths = [len(ancestors_of(each.name, ranked)) for each in ranked]
    assert max(depths) <= MAX_DEPTH
