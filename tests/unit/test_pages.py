"""Checks that the operations page documents every reason."""

from pathlib import Path

import pytest

from lycheedyke.protocol import Reason

PAGE = Path(__file__).resolve().parents[2] / 'docs' / 'OPERATIONS.md'


@pytest.mark.parametrize('reason', Reason)
def test_each_reason_is_explained(reason: Reason) -> None:
    """The operations page has an entry for each reason."""
    assert f'`{reason.value}`' in PAGE.read_text(encoding='utf-8')
