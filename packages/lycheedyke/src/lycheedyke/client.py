"""The client: look-ups, idempotency keys, resends and deadlines."""

import contextlib
import itertools
import random
import secrets
from collections.abc import Mapping, Sequence
from datetime import timedelta
from types import TracebackType
from typing import NamedTuple, Self

import msgspec

from lycheedyke.clock import Clock, SystemClock
from lycheedyke.exceptions import (
    CallFailed,
    ConnectError,
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
from lycheedyke.transport import HttpClient, HttpResponse

SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
DEFAULT_TIMEOUT = timedelta(seconds=5)
KEY_LIFETIME = timedelta(minutes=2)
RESEND_DELAY = timedelta(milliseconds=100)
MILLISECOND = timedelta(milliseconds=1)
NONCE_BYTES = 12
# The client waits this much longer than the remaining time that it sends.
RESPONSE_MARGIN = timedelta(milliseconds=500)
RETRY_JITTER = 0.5
# Refusals that the same request would get again.
_FINAL_REASONS = frozenset(
    (
        'bad-request',
        'body-too-large',
        'deadline-passed',
        'key-malformed',
        'key-reused',
        'quarantined',
        'unknown-service',
    ),
)
# Unknown outcomes at one entry instance, about which another entry instance
# or the home of the key may know more.
_INCONCLUSIVE_REASONS = frozenset(
    (
        'connection-broken',
        'home-gone',
        'home-unreachable',
        'not-ready',
        'peer-broke',
    ),
)


class Entry(msgspec.Struct, frozen=True):
    """One entry instance in a look-up response."""

    instance: str
    address: str
    incarnation: str
    age_ms: int


class _LookupResponse(msgspec.Struct):
    entries: list[Entry]
    ttl_ms: int


class _CachedLookup(NamedTuple):
    entries: list[Entry]
    looked_up_at: timedelta
    ttl: timedelta


class _Call(NamedTuple):
    method: str
    service: str
    path: str
    body: bytes
    deadline: timedelta


class _AttemptHistory:
    """The results of all attempts with one idempotency key."""

    def __init__(self) -> None:
        self.failure = OutcomeUnknown('connection-broken')
        self.is_final = False
        self._is_sent = False
        self._is_home_unreachable = False

    def record_failure(self, error: Exception, *, is_home: bool) -> None:
        """Records a failed attempt; raises its error if nothing was sent."""
        match error:
            case ConnectError():
                if not self._is_sent:
                    raise error
                self._is_home_unreachable = self._is_home_unreachable or is_home
            case OutcomeUnknown(reason=reason):
                self._is_sent = True
                self.failure = error
                self.is_final = (
                    is_home
                    or reason not in _INCONCLUSIVE_REASONS
                    or (self._is_home_unreachable and reason == 'home-gone')
                )
            case _:
                self._is_sent = True


class Reply(NamedTuple):
    """The complete response of an upstream."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Client:
    """A client of the system, usable with `async with`.

    Args:
        entries: `ip:port` of the entry instances for the first look-up.
        timeout: the longest time for one request, resends included.
        clock: measures time; the system clock by default.
    """

    def __init__(
        self,
        entries: Sequence[str],
        *,
        timeout: timedelta = DEFAULT_TIMEOUT,
        clock: Clock | None = None,
    ) -> None:
        """Initializes the client, which connects at the first request."""
        self._seeds = tuple(entries)
        self._timeout = timeout
        self._clock = clock or SystemClock()
        self._http = HttpClient()
        self._cache: dict[str, _CachedLookup] = {}

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
        """Returns the entry instances to use for a service, best one first.

        The result is cached for the time to live in the response.

        Raises:
            RequestNotRun: no entry instance answered.
        """
        cached = self._cache.get(service)
        now = self._clock.elapsed()
        if cached and now < cached.looked_up_at + cached.ttl:
            return cached.entries
        addresses = (
            [entry.address for entry in cached.entries] if cached else []
        )
        for address in (*addresses, *self._seeds):
            found = await self._look_up_at(address, service)
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
        """Sends a request and returns the complete response of the upstream.

        Raises:
            RequestNotRun: the request did not run and will not run.
            OutcomeUnknown: the request may have run.
        """
        deadline = self._clock.elapsed() + (timeout or self._timeout)
        call = _Call(method, service, path, body, deadline)
        if method in SAFE_METHODS:
            return await self._send_idempotent(call)
        return await self._send_non_idempotent(call)

    async def _send_idempotent(self, call: _Call) -> Reply:
        failure: CallFailed = OutcomeUnknown('deadline-passed')
        while self._clock.elapsed() < call.deadline:
            for entry in await self.lookup(call.service):
                try:
                    return _to_reply(await self._send(entry, call))
                except TransportError:
                    failure = OutcomeUnknown('connection-broken')
                except CallFailed as failed:
                    failure = failed
            await self._wait_before_retry(failure, call.deadline)
            self._cache.pop(call.service, None)
        raise failure

    async def _send_non_idempotent(self, call: _Call) -> Reply:
        failure: CallFailed = RequestNotRun('no-entry-answered', 1)
        while self._clock.elapsed() < call.deadline:
            try:
                return await self._try_entries(call)
            except RequestNotRun as refused:
                # A refused request never runs under its key, so it is safe to
                # send the request with a new key.
                failure = refused
            if failure.reason in _FINAL_REASONS:
                break
            await self._wait_before_retry(failure, call.deadline)
            self._cache.pop(call.service, None)
        raise failure

    async def _try_entries(self, call: _Call) -> Reply:
        entries = await self.lookup(call.service)
        for entry in entries:
            key = IdempotencyKey(
                entry.incarnation,
                entry.age_ms * MILLISECOND + KEY_LIFETIME,
                secrets.token_urlsafe(NONCE_BYTES),
            )
            # If nothing was sent with a key, it is safe to use a new key.
            with contextlib.suppress(ConnectError):
                return await self._resend(entry, entries, call, str(key))
        raise RequestNotRun('no-entry-answered', 1)

    async def _resend(
        self,
        home: Entry,
        entries: list[Entry],
        call: _Call,
        key: str,
    ) -> Reply:
        others = [entry for entry in entries if entry != home]
        attempts = _AttemptHistory()
        for entry in itertools.cycle([home, home, *others]):
            if self._clock.elapsed() >= call.deadline:
                break
            try:
                return _to_reply(await self._send(entry, call, key))
            except (TransportError, OutcomeUnknown) as error:
                attempts.record_failure(error, is_home=entry == home)
            if attempts.is_final:
                break
            await self._clock.sleep(RESEND_DELAY * (1 + random.random()))
        raise attempts.failure

    async def _send(
        self,
        entry: Entry,
        call: _Call,
        key: str = '',
    ) -> HttpResponse:
        remaining = max(MILLISECOND, call.deadline - self._clock.elapsed())
        headers = {REMAINING_HEADER: str(remaining // MILLISECOND)}
        if key:
            headers[KEY_HEADER] = key
        return await self._http.send(
            call.method,
            f'http://{entry.address}/v1/services/{call.service}{call.path}',
            timeout=remaining + RESPONSE_MARGIN,
            headers=headers,
            body=call.body or None,
        )

    async def _look_up_at(
        self, address: str, service: str
    ) -> _CachedLookup | None:
        try:
            response = await self._http.send(
                'GET',
                f'http://{address}/v1/lookup?service={service}',
                timeout=timedelta(seconds=1),
            )
            found = msgspec.json.decode(response.body, type=_LookupResponse)
        except (TransportError, msgspec.MsgspecError):
            return None
        return _CachedLookup(
            found.entries,
            self._clock.elapsed(),
            found.ttl_ms * MILLISECOND,
        )

    async def _wait_before_retry(
        self, failure: CallFailed, deadline: timedelta
    ) -> None:
        delay = RESEND_DELAY
        if isinstance(failure, RequestNotRun):
            delay = timedelta(seconds=failure.retry_after)
        delay *= 1 + RETRY_JITTER * random.random()
        remaining = deadline - self._clock.elapsed()
        if delay >= remaining:
            raise failure
        await self._clock.sleep(delay)


def _to_reply(response: HttpResponse) -> Reply:
    reason = response.headers.get(REASON_HEADER, '')
    match response.headers.get(OUTCOME_HEADER):
        case 'answered':
            return Reply(response.status, response.headers, response.body)
        case 'not-run':
            raise RequestNotRun(reason, _read_retry_after(response))
        case 'unknown':
            raise OutcomeUnknown(reason)
        case other:
            raise OutcomeUnknown(f'unexpected outcome {other!r}')


def _read_retry_after(response: HttpResponse) -> float:
    try:
        return max(0, float(response.headers.get('Retry-After', 1)))
    except ValueError:
        return 1
