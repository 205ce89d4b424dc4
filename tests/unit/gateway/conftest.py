"""Every line that a gateway's test causes is one that the page lists."""

import logging
from collections.abc import Iterator

import pytest

from standins.log_lines import check_record

PREFIXES = (
    'lycheedyke_daemon.gateway',
    'lycheedyke.state',
    'lycheedyke.coordination',
    'store',
)


@pytest.fixture(autouse=True)
def _lines_are_listed(caplog: pytest.LogCaptureFixture) -> Iterator[None]:
    with caplog.at_level(logging.INFO):
        yield
    found = [
        check_record(record)
        for record in caplog.get_records('call')
        if record.name.startswith(PREFIXES)
    ]
    assert not {line for line in found if line}
