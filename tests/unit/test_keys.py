"""Tests of writing and parsing idempotency keys."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.exceptions import KeyMalformed
from lycheedyke.protocol import IdempotencyKey

keys = st.builds(
    IdempotencyKey,
    st.from_regex('[a-z0-9]{8,32}', fullmatch=True),
    st.integers(0, 10**11).map(lambda ms: timedelta(milliseconds=ms)),
    st.from_regex('[A-Za-z0-9_-]{8,64}', fullmatch=True),
)


@given(keys)
def test_parse_reads_what_str_wrote(key: IdempotencyKey) -> None:
    """Parsing the header value returns the same key."""
    assert IdempotencyKey.parse(str(key)) == key


@pytest.mark.parametrize('text', ['', 'a.b.c', 'abcdefgh.1.short', '\n'])
def test_other_forms_are_refused(text: str) -> None:
    """The error for a malformed key names the expected form."""
    with pytest.raises(KeyMalformed, match='is not <incarnation>'):
        IdempotencyKey.parse(text)
