"""A request on its way through the system, and its classes."""

import hashlib
from collections.abc import Iterator, Mapping
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import (
    REMAINING_HEADER,
    IdempotencyKey,
    RouteKind,
)

SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
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

MILLISECOND = timedelta(milliseconds=1)


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
        may_wait: whether it may wait for a slot.
        kind: whether it may run more than once; None if the method tells.
        request_id: the caller's id of this attempt, or ''.
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
    may_wait: bool = True
    kind: RouteKind | None = None
    request_id: str = ''

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        if self.kind is not None:
            return self.kind is RouteKind.idempotent
        return self.method in SAFE_METHODS

    def fingerprint(self) -> bytes:
        """Returns a digest that is equal for equal requests."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.service, self.method, self.target):
            digest.update(part.encode())
            digest.update(b'\0')
        digest.update(self.body)
        return digest.digest()

    def upstream_headers(
        self,
        remaining: timedelta,
    ) -> tuple[tuple[str, str], ...]:
        """Returns the headers that the upstream gets.

        Args:
            remaining: the time left until the deadline.
        """
        limit = (REMAINING_HEADER, str(remaining // MILLISECOND))
        return (*self.headers, limit)


def end_to_end_headers(headers: Mapping[str, str]) -> Iterator[tuple[str, str]]:
    """Returns the headers that a hop passes on, repeated ones included."""
    named = headers.get('Connection', '').lower().split(',')
    dropped = HOP_HEADERS.union(name.strip() for name in named)
    for name, text in headers.items():
        if name.lower() not in dropped:
            yield _to_utf8(name), _to_utf8(text)


def _to_utf8(text: str) -> str:
    return text.encode(errors='surrogateescape').decode(errors='replace')
