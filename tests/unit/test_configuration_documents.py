"""The contents of configurations, and how they are encoded for peers."""

from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.coordination import ConfigurationDocuments
from lycheedyke.exceptions import DocumentMalformed
from lycheedyke.protocol import (
    CallerLimits,
    Route,
    RouteKind,
    RoutePart,
    RoutingRecord,
    Tenant,
)

SECOND = timedelta(seconds=1)
MANY = 1_400
KEPT = 8
SMALL_BYTES = 400
WHOLE: frozenset[bytes] = frozenset()


def _route(name: str, service: str = 'desk') -> Route:
    return Route(
        name,
        'shop.example',
        f'/{name}/',
        RouteKind.idempotent,
        (RoutePart(service, 1),),
        SECOND,
        SECOND,
        homes=frozenset(('north', 'south', 'west')),
    )


def _record(number: int, names: list[str], **changes: Any) -> RoutingRecord:
    routes = tuple(_route(name) for name in names)
    return RoutingRecord(number, routes, (), CallerLimits(), **changes)


_names = st.lists(st.text('abcdef', min_size=1, max_size=6), max_size=40)


@given(_names, _names)
def test_a_difference_gives_the_whole_content(
    before: list[str], after: list[str]
) -> None:
    """Whatever changes, including the order and repetitions."""
    sender, receiver = ConfigurationDocuments(), ConfigurationDocuments()
    old, new = _record(1, before), _record(2, after)
    sender.of(old)
    base = receiver.of(_record(1, before))
    sent = sender.of(new)
    encoding = sender.encode(sent.digest, receiver.digests)
    assert encoding.base == base.digest
    content = receiver.decode(encoding.encoded, encoding.base)
    assert receiver.add(content, sent.digest).record == new


def test_a_small_change_of_a_large_content_is_small() -> None:
    """The order, the keys and all other routes stay."""
    names = [f'{at * 7919:x}' for at in range(MANY)]
    keys = tuple(bytes([at % 256, at // 256]) * 8 for at in range(MANY))
    tenants = (Tenant('first', keys),)
    documents = ConfigurationDocuments()
    old = documents.of(_record(1, names, tenants=tenants))
    tenants = (Tenant('first', keys[1:]),)
    new = documents.of(_record(2, [*names, 'added'], tenants=tenants))
    encoding = documents.encode(new.digest, [old.digest])
    assert len(encoding.encoded) < SMALL_BYTES
    whole = documents.encode(new.digest, WHOLE)
    assert documents.decode(whole.encoded, whole.base) == new.content


def test_the_digest_does_not_depend_on_the_order_of_a_set() -> None:
    """Processes iterate over sets in different orders."""
    homes = [str(at) for at in range(MANY)]
    digests = set()
    for order in (homes, homes[::-1]):
        tenant = Tenant('first', homes=frozenset(order))
        record = _record(1, [], tenants=(tenant,))
        digests.add(ConfigurationDocuments().of(record).digest)
    assert len(digests) == 1


def test_what_does_not_fit_is_rejected() -> None:
    """Each with an error that tells why."""
    documents = ConfigurationDocuments()
    known = documents.of(_record(1, ['a']))
    with pytest.raises(DocumentMalformed, match='unknown content'):
        documents.decode(b'', b'other')
    with pytest.raises(DocumentMalformed, match='configuration'):
        documents.decode(b'no stream', known.digest)
    with pytest.raises(DocumentMalformed, match='another digest'):
        documents.add(known.content, b'other')


def test_the_oldest_contents_are_dropped() -> None:
    """The latest ones stay, each once."""
    documents = ConfigurationDocuments()
    digests = [
        documents.of(_record(number, ['a'])).digest
        for number in range(2 * KEPT)
    ]
    assert documents.digests == digests[: -KEPT - 1 : -1]
    assert documents.find(digests[0]) is None
