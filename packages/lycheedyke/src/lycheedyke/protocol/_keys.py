"""Idempotency keys, which contain their home and their expiry."""

import re
from datetime import timedelta
from typing import NamedTuple, Self

from lycheedyke.exceptions import KeyMalformed

_KEY_PATTERN = re.compile(
    r'(?P<home>[a-z0-9]{8,32})\.(?P<expiry>[0-9]{1,12})'
    r'\.(?P<nonce>[A-Za-z0-9_-]{8,64})',
)
MILLISECOND = timedelta(milliseconds=1)


class IdempotencyKey(NamedTuple):
    """An idempotency key of the form `home.expiry.nonce`.

    Attributes:
        home: the only incarnation that may run requests with the key.
        expiry: the time since the start of the home at which the key
            expires.
        nonce: a unique part that the caller chooses.
    """

    home: str
    expiry: timedelta
    nonce: str

    def __str__(self) -> str:
        """Returns the value of the header."""
        return f'{self.home}.{self.expiry // MILLISECOND}.{self.nonce}'

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parses the value of the header.

        Raises:
            KeyMalformed: the text does not have the form of a key.
        """
        match = _KEY_PATTERN.fullmatch(text)
        if match is None:
            raise KeyMalformed(
                f'idempotency key {text[:80]!r} is not <incarnation>.'
                '<expiry in ms>.<8 to 64 letters, digits, _ or ->',
            )
        expiry = int(match['expiry']) * MILLISECOND
        return cls(match['home'], expiry, match['nonce'])
