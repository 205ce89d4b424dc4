"""The client for callers: look-ups, keys, resends and deadlines."""

import contextlib
import secrets
from collections.abc import Mapping, Sequence
from datetime import timedelta
from types import TracebackType
from typing import NamedTuple, Self

import msgspec

from lycheedyke.clock import Clock, SystemClock
from lycheedyke.exceptions import (
    CallFailed,
    ConnectionNotMade,
    ExchangeBroken,
    OutcomeUnknown,
    RequestNotRun,
    TransportError,
)
from lycheedyke.protocol import (
    KEY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REMAINING_HEADER,
    IdempotencyKey,
)
from lycheedyke.transport import HttpAnswer, HttpClient

SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
DEFAULT_TIMEOUT = timedelta(seconds=5)
KEY_LIFE = timedelta(minutes=2)
RESEND_PAUSE = timedelta(milliseconds=100)
MILLISECOND = timedelta(milliseconds=1)
NONCE_BYTES = 12


class Entry(msgspec.Struct, frozen=True):
    """One entry instance named by a look-up."""

    instance: str
    address: str
    incarnation: str
    age_ms: int


class _LookupAnswer(msgspec.Struct):
    entries: list[Entry]
    ttl_ms: int


class _Cached(NamedTuple):
    entries: list[Entry]
    looked_up: timedelta
    ttl: timedelta


class _Call(NamedTuple):
    method: str
    service: str
    path: str
    body: bytes
    deadline: timedelta


class Reply(NamedTuple):
    """The whole answer of an upstream."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Client:
    """A session with the system, usable with `async with`.

    Args:
        entries: `ip:port` of entry instances to ask at first.
        timeout: the time for one request, resends included.
        clock: measures time; the system's by default.
    """

    def __init__(
        self,
        entries: Sequence[str],
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        clock: Clock | None = None,
    ) -> None:
        """Makes a client that connects at the first request."""
        self._seeds = tuple(entries)
        self._timeout = timeout
        self._clock = clock or SystemClock()
        self._http = HttpClient()
        self._cache: dict[str, _Cached] = {}

    def __repr__(self) -> str:
        """Returns the constructor call."""
        return f'Client({self._seeds!r})'

    async def __aenter__(self) -> Self:
        """Returns the client itself."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self.close()

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.close()

    async def get(self, service: str, path: str) -> Reply:
        """Sends an idempotent GET request; see `request`."""
        return await self.request('GET', service, path)

    async def post(self, service: str, path: str, body: bytes) -> Reply:
        """Sends a non-idempotent POST request; see `request`."""
        return await self.request('POST', service, path, body=body)

    async def lookup(self, service: str) -> list[Entry]:
        """Returns the entries to use for a service, the best one first.

        The answer is kept for as long as it says.

        Raises:
            RequestNotRun: no entry instance answered.
        """
        cached = self._cache.get(service)
        now = self._clock.elapsed()
        if cached and now < cached.looked_up + cached.ttl:
            return cached.entries
        addresses = (
            [entry.address for entry in cached.entries] if cached else []
        )
        for address in (*addresses, *self._seeds):
            found = await self._ask(address, service)
            if found is not None:
                self._cache[service] = found
                return found.entries
        raise RequestNotRun('no-entry-answered', 1)

    async def request(
        self,
        method: str,
        service: str,
        path: str,
        *,
        body: bytes = b'',
        timeout: timedelta | None = None,
    ) -> Reply:
        """Sends a request and returns the upstream's whole answer.

        Raises:
            RequestNotRun: it did not run and will not.
            OutcomeUnknown: it may have run.
        """
        deadline = self._clock.elapsed() + (timeout or self._timeout)
        call = _Call(method, service, path, body, deadline)
        if method in SAFE_METHODS:
            return await self._send_safe(call)
        return await self._send_once(call)

    async def _send_safe(self, call: _Call) -> Reply:
        failure: CallFailed = OutcomeUnknown('deadline-passed')
        while self._clock.elapsed() < call.deadline:
            for entry in await self.lookup(call.service):
                try:
                    return _to_reply(await self._send(entry, call))
                except TransportError:
                    failure = OutcomeUnknown('connection-broken')
                except CallFailed as failed:
                    failure = failed
            await self._pause(failure, call.deadline)
            self._cache.pop(call.service, None)
        raise failure

    async def _send_once(self, call: _Call) -> Reply:
        for entry in await self.lookup(call.service):
            key = IdempotencyKey(
                entry.incarnation,
                entry.age_ms * MILLISECOND + KEY_LIFE,
                secrets.token_urlsafe(NONCE_BYTES),
            )
            # Where nothing was sent with a key, a new one is safe.
            with contextlib.suppress(ConnectionNotMade):
                return await self._resend(entry, call, str(key))
        self._cache.pop(call.service, None)
        raise RequestNotRun('no-entry-answered', 1)

    async def _resend(self, entry: Entry, call: _Call, key: str) -> Reply:
        sent = False
        while self._clock.elapsed() < call.deadline:
            try:
                return _to_reply(await self._send(entry, call, key))
            except ExchangeBroken:
                sent = True
            except ConnectionNotMade:
                if not sent:
                    raise
            await self._clock.sleep(RESEND_PAUSE)
        raise OutcomeUnknown('connection-broken')

    async def _send(
        self,
        entry: Entry,
        call: _Call,
        key: str = '',
    ) -> HttpAnswer:
        remaining = max(MILLISECOND, call.deadline - self._clock.elapsed())
        headers = {REMAINING_HEADER: str(remaining // MILLISECOND)}
        if key:
            headers[KEY_HEADER] = key
        return await self._http.send(
            call.method,
            f'http://{entry.address}/v1/services/{call.service}{call.path}',
            timeout=remaining,
            headers=headers,
            body=call.body or None,
        )

    async def _ask(self, address: str, service: str) -> _Cached | None:
        try:
            answer = await self._http.send(
                'GET',
                f'http://{address}/v1/lookup?service={service}',
                timeout=timedelta(seconds=1),
            )
            found = msgspec.json.decode(answer.body, type=_LookupAnswer)
        except (TransportError, msgspec.MsgspecError):
            return None
        return _Cached(
            found.entries,
            self._clock.elapsed(),
            found.ttl_ms * MILLISECOND,
        )

    async def _pause(self, failure: CallFailed, deadline: timedelta) -> None:
        pause = RESEND_PAUSE
        if isinstance(failure, RequestNotRun):
            pause = timedelta(seconds=failure.retry_after)
        remaining = deadline - self._clock.elapsed()
        if pause >= remaining:
            raise failure
        await self._clock.sleep(pause)


def _to_reply(answer: HttpAnswer) -> Reply:
    reason = answer.headers.get(REASON_HEADER, '')
    match answer.headers.get(OUTCOME_HEADER):
        case 'answered':
            return Reply(answer.status, answer.headers, answer.body)
        case 'not-run':
            retry_after = float(answer.headers.get('Retry-After', 1))
            raise RequestNotRun(reason, retry_after)
        case 'unknown':
            raise OutcomeUnknown(reason)
        case other:
            raise OutcomeUnknown(f'unexpected outcome {other!r}')
