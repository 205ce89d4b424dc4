"""A request of a caller, as the components of an instance pass it on."""

import hashlib
from collections.abc import Iterator, Mapping
from datetime import timedelta
from typing import NamedTuple, Protocol

from lycheedyke.protocol import (
    REMAINING_HEADER,
    IdempotencyKey,
    RouteKind,
)
from lycheedyke.transport import BodySink

SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
HOP_BY_HOP_HEADERS = frozenset(
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
# Characters of a host or a path in a log line.
MAX_LOGGED = 200


class ResponseTarget(Protocol):
    """Takes the response to one request while it arrives.

    Once the caller may have received a part of it, the request must not be
    repeated.
    """

    @property
    def has_begun(self) -> bool:
        """Whether the caller may have received a part of it."""

    @property
    def was_held_up(self) -> bool:
        """Whether the caller delayed it."""

    def open(
        self, status: int, headers: tuple[tuple[str, str], ...], length: int
    ) -> BodySink | None:
        """Returns where to write the body; None to receive it as a whole."""


class Work(NamedTuple):
    """One request of a caller.

    Attributes:
        service: the requested service.
        method: the HTTP method.
        target: the path and the query, as sent to the upstream.
        headers: the end-to-end headers.
        body: the complete body.
        deadline: the time of the monotonic clock after which the result
            is no longer needed.
        client: the IP address of the caller.
        key: the idempotency key; None for idempotent work.
        home: the home region of the client as the entry instance determined
            it, or ''.
        resent: whether the caller has sent the request before.
        may_wait: whether the request may wait for a slot.
        kind: whether the request may run more than once; None to decide by the
            method.
        request_id: the id that the caller gave this attempt, or ''.
        host: the host in the request, if the target is relative to it; '' if
            it is relative to the service.
        response_target: takes a large response while it arrives; None to
            receive each response as a whole.
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
    host: str = ''
    response_target: ResponseTarget | None = None

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        if self.kind is not None:
            return self.kind is RouteKind.idempotent
        return self.method in SAFE_METHODS

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.partition('?')[0]

    def describe(self) -> dict[str, object]:
        """Returns the fields by which log lines name the request."""
        return {
            'caller': self.client,
            'host': (self.host or self.service)[:MAX_LOGGED],
            'method': self.method,
            'path': self.path[:MAX_LOGGED],
            'body_bytes': len(self.body),
        }

    def fingerprint(self) -> bytes:
        """Returns a digest that is equal for equal requests."""
        return _digest(self.body, self.service, self.method, self.target)

    def repeat_fingerprint(self) -> bytes:
        """Returns a digest that is equal if a caller repeats a request.

        A repeated request may have another query, and a route may send it to
        another service.
        """
        scope = self.host or self.service
        return _digest(self.body, self.client, scope, self.method, self.path)

    def shared_fingerprint(self) -> bytes:
        """Returns a digest that is equal if any caller repeats a request.

        One caller may come from many addresses.
        """
        scope = self.host or self.service
        return _digest(self.body, scope, self.method, self.path)

    def upstream_headers(
        self,
        remaining: timedelta,
    ) -> tuple[tuple[str, str], ...]:
        """Returns the headers to send to the upstream.

        Args:
            remaining: the time left until the deadline.
        """
        limit = (REMAINING_HEADER, str(remaining // MILLISECOND))
        return (*self.headers, limit)


def _digest(body: bytes, *parts: str) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(body)
    return digest.digest()


def end_to_end_headers(headers: Mapping[str, str]) -> Iterator[tuple[str, str]]:
    """Yields the headers that are not hop-by-hop, including repeated ones."""
    named = headers.get('Connection', '').lower().split(',')
    dropped = HOP_BY_HOP_HEADERS.union(name.strip() for name in named)
    for name, text in headers.items():
        if name.lower() not in dropped:
            yield _to_utf8(name), _to_utf8(text)


def _to_utf8(text: str) -> str:
    return text.encode(errors='surrogateescape').decode(errors='replace')
