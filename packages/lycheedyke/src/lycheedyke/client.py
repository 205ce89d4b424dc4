"""The client for callers: look-ups, keys, resends and deadlines."""

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
KEY_LIFE = timedelta(minutes=2)
RESEND_PAUSE = timedelta(milliseconds=100)
MILLISECOND = timedelta(milliseconds=1)
NONCE_BYTES = 12
ANSWER_MARGIN = timedelta(milliseconds=500)
# Callers wait this much longer than the time that they give the system.
RETRY_JITTER = 0.5
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
# Refusals that the same request would meet again.
_PASSING_REASONS = frozenset(
    (
        'connection-broken',
        'home-gone',
        'home-unreachable',
        'not-ready',
        'peer-broke',
    ),
)
# Unknown outcomes of one entry, for which another or the home may know more.


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


class _Resends:
    """What the resends of one key have found out."""

    def __init__(self) -> None:
        self.failure = OutcomeUnknown('connection-broken')
        self.is_final = False
        self._sent = False
        self._home_ended = False

    def take(self, error: Exception, *, is_home: bool) -> None:
        """Takes in a failed attempt; raises it again if nothing was sent."""
        match error:
            case ConnectError():
                if not self._sent:
                    raise error
                self._home_ended = self._home_ended or is_home
            case OutcomeUnknown(reason=reason):
                self._sent = True
                self.failure = error
                self.is_final = (
                    is_home
                    or reason not in _PASSING_REASONS
                    or (self._home_ended and reason == 'home-gone')
                )
            case _:
                self._sent = True


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
        failure: CallFailed = RequestNotRun('no-entry-answered', 1)
        while self._clock.elapsed() < call.deadline:
            try:
                return await self._try_entries(call)
            except RequestNotRun as refused:
                # The key of a refused request never runs; a new one is safe.
                failure = refused
            if failure.reason in _FINAL_REASONS:
                break
            await self._pause(failure, call.deadline)
            self._cache.pop(call.service, None)
        raise failure

    async def _try_entries(self, call: _Call) -> Reply:
        entries = await self.lookup(call.service)
        for entry in entries:
            key = IdempotencyKey(
                entry.incarnation,
                entry.age_ms * MILLISECOND + KEY_LIFE,
                secrets.token_urlsafe(NONCE_BYTES),
            )
            # Where nothing was sent with a key, a new one is safe.
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
        resends = _Resends()
        for entry in itertools.cycle([home, home, *others]):
            if self._clock.elapsed() >= call.deadline:
                break
            try:
                return _to_reply(await self._send(entry, call, key))
            except (TransportError, OutcomeUnknown) as error:
                resends.take(error, is_home=entry == home)
            if resends.is_final:
                break
            await self._clock.sleep(RESEND_PAUSE * (1 + random.random()))
        raise resends.failure

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
            timeout=remaining + ANSWER_MARGIN,
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
        pause *= 1 + RETRY_JITTER * random.random()
        remaining = deadline - self._clock.elapsed()
        if pause >= remaining:
            raise failure
        await self._clock.sleep(pause)


def _to_reply(answer: HttpResponse) -> Reply:
    reason = answer.headers.get(REASON_HEADER, '')
    match answer.headers.get(OUTCOME_HEADER):
        case 'answered':
            return Reply(answer.status, answer.headers, answer.body)
        case 'not-run':
            raise RequestNotRun(reason, _read_retry_after(answer))
        case 'unknown':
            raise OutcomeUnknown(reason)
        case other:
            raise OutcomeUnknown(f'unexpected outcome {other!r}')


def _read_retry_after(answer: HttpResponse) -> float:
    try:
        return max(0, float(answer.headers.get('Retry-After', 1)))
    except ValueError:
        return 1
