"""Tests that all faults of a ticket are reported before it is written."""

import json
from datetime import timedelta
from typing import Any

import pytest

from lycheedyke.clock import SystemClock
from lycheedyke.coordination import TicketLog
from lycheedyke.exceptions import DocumentMalformed, DocumentTooNew
from lycheedyke.protocol import (
    Ticket,
    decode_ticket,
    encode_ticket,
    parse_ticket,
)
from lycheedyke.state import (
    Configuration,
    find_faults,
    find_time_faults,
    make_plan,
)

UPSTREAM = {'service': 'kassa', 'zone': 'norr-a', 'address': '10.0.0.1:80'}
BASE: dict[str, Any] = {
    'zones': {'norr-a': {'region': 'norr'}, 'syd-a': {'region': 'syd'}},
    'services': {'kassa': {'customer': 'pantsaker'}},
    'upstreams': {'kassa-1': {**UPSTREAM, 'slots': 9}},
    'blocks': {'10.0.0.0/8': {'home': 'syd'}},
}
SHIFT = {'service': 'kassa', 'source': 'norr', 'destination': 'syd', 'cap': 1}


def _read(based_on: int = 0, **parts: Any) -> Ticket:
    document = {'author': 'a', 'based_on': based_on, **parts}
    return parse_ticket(json.dumps(document).encode())


BEFORE = Configuration().apply(1, _read(**BASE))


@pytest.mark.parametrize(
    ('parts', 'faults'),
    [
        ({}, ['changes nothing']),
        ({'based_on': 2, 'zones': {'x': {'region': 'x'}}}, ['newer than']),
        (
            {'zones': {'norr-a': None, 'x': None}, 'services': {'kassa': None}},
            [
                "zone 'x' cannot be removed",
                "zone 'norr-a' does not exist",
                "service 'kassa' does not exist",
            ],
        ),
        ({'zones': {'syd-a': None}}, ["home 'syd'"]),
        (
            {'upstreams': {'kassa-1': {**UPSTREAM, 'slots': 0}}},
            ['is serving with 0 slots'],
        ),
        (
            {'upstreams': {'kassa-2': {**UPSTREAM, 'slots': 1}}},
            ["already used by upstream 'kassa-1'"],
        ),
        (
            {
                'upstreams': {
                    'u': {**UPSTREAM, 'slots': 1, 'address': '300.0.0.1:99999'}
                }
            },
            ['is not an IP address and a port'],
        ),
        (
            {'upstreams': {'kassa-1': None}},
            ['would lose its last serving upstream'],
        ),
        ({'upstreams': {'kassa-1': None}, 'allow_last': True}, []),
        (
            {
                'shifts': {
                    'a': SHIFT,
                    'b': {**SHIFT, 'start_share': 1, 'cap': 0.5},
                    'c': {**SHIFT, 'destination': 'nowhere', 'service': 'x'},
                }
            },
            [
                'start_share is above the cap',
                "region 'nowhere' does not exist",
                "service 'x' does not exist",
                "same traffic as shift 'a'",
            ],
        ),
        (
            {
                'blocks': {
                    '10.0.0.1/8': None,
                    '2001:DB8::/32': {'home': 'norr'},
                }
            },
            ['is not a network prefix', "must be written '2001:db8::/32'"],
        ),
    ],
)
def test_each_impossible_ticket_is_refused(
    parts: dict[str, Any],
    faults: list[str],
) -> None:
    """Exactly the expected faults are reported."""
    found = find_faults(BEFORE, _read(**parts))
    assert len(found) == len(faults), found
    for fault in faults:
        assert any(fault in sentence for sentence in found), found


def test_schema_faults_are_named_at_once() -> None:
    """The error of a malformed document names every fault."""
    document = (
        b'{"author": "", "shifts": {"s": {"service": "k", "source": "a", '
        b'"destination": "b", "cap": 1.5, "x": 1}}, "zones": {"z": {}}}'
    )
    with pytest.raises(DocumentMalformed) as caught:
        parse_ticket(document)
    for fault in (
        'author: ',
        'based_on is missing',
        'shifts.s.cap: ',
        'shifts.s.x: unknown field',
        'zones.z.region is missing',
    ):
        assert fault in str(caught.value)
    with pytest.raises(DocumentMalformed, match='zones.z stands twice'):
        parse_ticket(
            b'{"author": "a", "based_on": 0, "zones": '
            b'{"z": {"region": "r"}, "z": {"region": "q"}}}',
        )
    with pytest.raises(DocumentMalformed, match='at most 1000000'):
        decode_ticket(b' ' * 1_000_001)


def test_absurd_creation_time_is_refused() -> None:
    """A time more than an hour off is a fault; the time may be omitted."""
    now = SystemClock().now()
    for hours, count in ((0, 0), (2, 1), (-2, 1)):
        created = (now + timedelta(hours=hours)).isoformat()
        found = find_time_faults(_read(created=created, **BASE), now)
        assert len(found) == count
    assert not find_time_faults(_read(**BASE), now)


def test_plan_shows_changes_and_slots() -> None:
    """A plan lists each object before and after, and the slots by region."""
    ticket = _read(upstreams={'kassa-1': {**UPSTREAM, 'slots': 4}})
    plan = make_plan(BEFORE, ticket, [])
    (change,) = plan.changes
    assert (change.before.slots, change.after.slots) == (9, 4)
    (slots,) = plan.headroom
    assert (slots.region, slots.before, slots.after) == ('norr', 9, 4)


def test_unusable_documents_in_the_log() -> None:
    """A malformed document is void; one of a newer version blocks the log."""
    counted: list[str] = []
    log = TicketLog(lambda _: None, counted.append)
    void = (
        b'\xff',
        encode_ticket(_read(upstreams={'u': {**UPSTREAM, 'slots': 1}})),
        b'{"author": "a", "based_on": 0, "blocks": {"x": null}}',
    )
    for number, document in enumerate(void, 1):
        assert log.apply(number, document)
    assert counted == ['ticket.void'] * 3
    assert not log.configuration.upstreams
    assert not log.apply(4, b'{"version": 2, "unheard": {}}')
    assert (log.number, counted[-1]) == (3, 'ticket.too-new')
    assert 'ticket 4' in log.blocked
    assert log.apply(4, encode_ticket(_read(**BASE)))
    assert not log.blocked
    with pytest.raises(DocumentTooNew):
        decode_ticket(b'{"author": "a", "based_on": 0, "version": 2}')
