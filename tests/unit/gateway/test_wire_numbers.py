"""The platform may write any number of its records with decimals."""

import json
import re
from typing import Any

import pytest

from lycheedyke.protocol import RoutingRecord, UpstreamRecord
from lycheedyke.state import WeightedRoundRobin
from standins.gateway_testbed import decode_record
from standins.registry_store import config_value, upstream_value

SPLIT = [{'service': 'desk', 'weight': 1}, {'service': 'guide', 'weight': 3}]
ROUTES: list[dict[str, Any]] = [
    {'name': 'read', 'prefix': '/read/', 'split': SPLIT}
]
# A number that is no part of a text.
NUMBER = re.compile(r'(?<=[\[:, ])(\d+)(?=[,}\]])')


def _with_decimals(record: Any, digits: str) -> list[bytes]:
    """Returns the record once for each number, written with decimals."""
    text = json.dumps(record)
    found = [
        f'{text[: match.end()]}.{digits}{text[match.end() :]}'.encode()
        for match in NUMBER.finditer(text)
    ]
    assert len(found) > 1
    return found


@pytest.mark.parametrize('digits', ['0', '714285714285715'])
def test_every_number_of_a_configuration_may_have_decimals(
    digits: str,
) -> None:
    """Guards against a configuration that no instance applies."""
    for content in _with_decimals(config_value(0x11, ROUTES), digits):
        record = decode_record('op/config', content)
        assert isinstance(record, RoutingRecord), content
        (route,) = record.routes
        assert (record.number, route.attempts) == (0x11, 2)
        assert record.limits.body_bytes == 67_108_864


@pytest.mark.parametrize('digits', ['0', '714285714285715'])
def test_every_number_of_an_upstream_may_have_decimals(digits: str) -> None:
    """Slots are rounded down, so no upstream gets more than it has."""
    value = upstream_value('desk', '10.0.0.1:80', slots=9)
    for content in _with_decimals(value, digits):
        record = decode_record('servers/i-1', content)
        assert isinstance(record, UpstreamRecord), content
        assert record.slots == 9


def test_weights_keep_their_decimals() -> None:
    """Rounded weights would change the shares, or leave none."""
    split = [{**SPLIT[0], 'weight': 0.25}, {**SPLIT[1], 'weight': 0.75}]
    content = json.dumps(config_value(0x11, [{**ROUTES[0], 'split': split}]))
    record = decode_record('op/config', content.encode())
    assert isinstance(record, RoutingRecord)
    choose = WeightedRoundRobin().choose
    chosen = [choose(record.routes[0]) for _ in range(40)]
    assert chosen.count('desk') == 10
