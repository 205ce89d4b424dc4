"""A request on its way through the system, and its classes."""

import hashlib
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import IdempotencyKey

SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


class Work(NamedTuple):
    """One request of a caller.

    Attributes:
        service: the service that it asks.
        method: the HTTP method.
        target: path and query, as the upstream gets them.
        headers: end-to-end headers.
        body: the whole body.
        deadline: time of the clock after which the work is pointless.
        client: the caller's IP address.
        key: the idempotency key, None for idempotent work.
        home: the client's home region as the entry judged it, or ''.
        resent: whether the caller has sent it before.
    """

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: timedelta
    client: str
    key: IdempotencyKey | None = None
    home: str = ''
    resent: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.method in SAFE_METHODS

    def fingerprint(self) -> bytes:
        """Returns a digest that is equal for equal requests."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.service, self.method, self.target):
            digest.update(part.encode())
            digest.update(b'\0')
        digest.update(self.body)
        return digest.digest()
