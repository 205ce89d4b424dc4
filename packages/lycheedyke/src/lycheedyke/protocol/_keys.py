"""Idempotency keys, which carry their home and their expiry."""

import re
from datetime import timedelta
from typing import NamedTuple, Self

from lycheedyke.exceptions import KeyMalformed

_FORM = re.compile(
    r'(?P<home>[a-z0-9]{8,32})\.(?P<expiry>[0-9]{1,12})'
    r'\.(?P<nonce>[A-Za-z0-9_-]{8,64})',
)
MILLISECOND = timedelta(milliseconds=1)


class IdempotencyKey(NamedTuple):
    """A key `home.expiry.nonce`.

    Attributes:
        home: the incarnation that alone may run the key.
        expiry: the age of the home, since its start, at which it expires.
        nonce: the caller's own unique part.
    """

    home: str
    expiry: timedelta
    nonce: str

    def __str__(self) -> str:
        """Returns the form that travels in the header."""
        return f'{self.home}.{self.expiry // MILLISECOND}.{self.nonce}'

    @classmethod
    def parse(cls, text: str) -> Self:
        """Reads the form that travels in the header.

        Raises:
            KeyMalformed: the text has another form.
        """
        found = _FORM.fullmatch(text)
        if found is None:
            raise KeyMalformed(
                f'idempotency key {text[:80]!r} is not <incarnation>.'
                '<expiry in ms>.<8 to 64 letters, digits, _ or ->',
            )
        expiry = int(found['expiry']) * MILLISECOND
        return cls(found['home'], expiry, found['nonce'])
