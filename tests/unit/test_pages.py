"""Checks that the operations page documents every reason."""

from pathlib import Path

import pytest

from lycheedyke.protocol import Reason
from lycheedyke_daemon.gateway._upstream_client import (
    LARGE_COUNTER,
    MEMORY_FULL_COUNTER,
)

PAGE = Path(__file__).resolve().parents[2] / 'docs' / 'OPERATIONS.md'


@pytest.mark.parametrize('reason', Reason)
def test_each_reason_is_explained(reason: Reason) -> None:
    """The operations page has an entry for each reason."""
    assert f'`{reason.value}`' in PAGE.read_text(encoding='utf-8')


@pytest.mark.parametrize('counter', [MEMORY_FULL_COUNTER, LARGE_COUNTER])
def test_each_counter_of_broken_answers_is_explained(counter: str) -> None:
    """The operations page tells the causes of broken answers apart."""
    assert f'| `{counter}` |' in PAGE.read_text(encoding='utf-8')
