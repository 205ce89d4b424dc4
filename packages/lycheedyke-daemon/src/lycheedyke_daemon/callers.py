"""The HTTP API for callers: lookups of entry instances, and requests."""

import ipaddress
import re
from collections.abc import Callable
from datetime import timedelta

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from lycheedyke.clock import Clock
from lycheedyke.coordination import Members, TicketLog
from lycheedyke.exceptions import KeyMalformed, StateError
from lycheedyke.protocol import (
    ATTEMPT_HEADER,
    CLIENT_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REMAINING_HEADER,
    Answered,
    IdempotencyKey,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from lycheedyke.state import Counters
from lycheedyke_daemon.bodies import BodyReader, BodyRefused
from lycheedyke_daemon.dispatch import Dispatcher
from lycheedyke_daemon.pipeline import may_pass_on
from lycheedyke_daemon.stopping import Handler
from lycheedyke_daemon.work import SAFE_METHODS, Work, end_to_end_headers

HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503
HTTP_BAD_GATEWAY = 502
DEFAULT_REMAINING = timedelta(seconds=5)
MAX_REMAINING = timedelta(seconds=60)
MILLISECOND = timedelta(milliseconds=1)
_REMAINING_PATTERN = re.compile('[0-9]{1,9}')
_CONSUMED_HEADERS = frozenset(
    name.lower()
    for name in (KEY_HEADER, REMAINING_HEADER, CLIENT_HEADER, ATTEMPT_HEADER)
)
_JSON = CIMultiDict({'Content-Type': 'application/json'})
_BAD_REQUESTS = frozenset(
    (
        Reason.bad_request,
        Reason.key_missing,
        Reason.key_malformed,
        Reason.key_reused,
        Reason.key_too_long_lived,
        Reason.unknown_service,
        Reason.body_too_large,
    ),
)


class _Refused(StateError):
    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class CallerApi:
    """Serves the caller port.

    Args:
        dispatcher: runs requests.
        find_entries: returns the lookup answer for a service and a client.
        log: the configuration in force.
        members: this instance and its live peers.
        bodies: reads the bodies of requests.
        clock: measures deadlines and latencies.
        counters: counts outcomes and refusals by reason.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        find_entries: Callable[[str, str], bytes],
        log: TicketLog,
        members: Members,
        bodies: BodyReader,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Initializes the API."""
        self._dispatcher = dispatcher
        self._find_entries = find_entries
        self._log = log
        self._members = members
        self._bodies = bodies
        self._clock = clock
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the class and the name of the instance."""
        return f'<CallerApi of {self._members.own.name}>'

    def routes(
        self,
        watch: Callable[[Handler], Handler],
    ) -> list[web.RouteDef]:
        """Returns the routes of the caller port.

        Args:
            watch: wraps the request handler, to track requests in flight.
        """
        return [
            web.get('/v1/lookup', self._handle_lookup),
            web.route(
                '*',
                '/v1/services/{service}/{tail:.*}',
                watch(self._handle_request),
            ),
        ]

    async def _handle_lookup(self, request: web.Request) -> web.Response:
        service = request.query.get('service', '')
        refusal = self._find_refusal(service)
        if refusal is not None:
            return self._respond(refusal)
        client = request.query.get('client', '') or request.remote or ''
        try:
            body = self._find_entries(service, client)
        except ValueError:
            return self._respond(NotRun(Reason.bad_request))
        self._counters.count('lookup')
        return web.Response(body=body, headers=_JSON)

    async def _handle_request(self, request: web.Request) -> web.Response:
        started = self._clock.elapsed()
        try:
            key = _read_key(request)
        except KeyMalformed:
            return self._respond(NotRun(Reason.key_malformed))
        try:
            outcome = await self._serve(request, key, started)
        except _Refused as refusal:
            outcome = self._dispatcher.refuse(key, refusal.reason)
        return self._respond(outcome)

    async def _serve(
        self,
        request: web.Request,
        key: IdempotencyKey | None,
        started: timedelta,
    ) -> Outcome:
        service = request.match_info['service']
        refusal = self._find_refusal(service)
        if refusal is not None:
            raise _Refused(refusal.reason)
        target = _read_target(service, request)
        remaining = _read_remaining(request)
        client = _read_client(request)
        try:
            async with self._bodies.read(request, remaining) as body:
                work = Work(
                    service=service,
                    method=request.method,
                    target=target,
                    headers=_forwarded_headers(request),
                    body=body,
                    deadline=started + remaining,
                    client=client,
                    key=key,
                    resent=request.headers.get(ATTEMPT_HEADER, '1') != '1',
                )
                is_in_time = await may_pass_on(
                    request,
                    work.deadline - self._clock.elapsed(),
                    is_repeatable=work.idempotent,
                )
                if not is_in_time:
                    raise _Refused(Reason.deadline_passed)
                outcome = await self._dispatcher.run(work)
        except BodyRefused as refused:
            raise _Refused(refused.reason) from refused
        self._counters.record_latency(service, self._clock.elapsed() - started)
        return outcome

    def _find_refusal(self, service: str) -> NotRun | None:
        if not self._log.number:
            return NotRun(Reason.not_ready)
        if service not in self._log.configuration.services:
            return NotRun(Reason.unknown_service)
        return None

    def _respond(self, outcome: Outcome) -> web.Response:
        match outcome:
            case Answered(status, headers, body, _):
                response = web.Response(status=status, body=body)
                response.headers.extend(headers)
                response.headers[OUTCOME_HEADER] = 'answered'
                self._counters.count('outcome.answered')
            case NotRun(reason, retry_after):
                response = _refusal_response(
                    HTTP_BAD_REQUEST
                    if reason in _BAD_REQUESTS
                    else HTTP_UNAVAILABLE,
                    'not-run',
                    reason,
                )
                response.headers['Retry-After'] = (
                    f'{retry_after.total_seconds():g}'
                )
                self._counters.count(f'not-run.{reason.value}')
            case Unknown(reason):
                response = _refusal_response(
                    HTTP_BAD_GATEWAY, 'unknown', reason
                )
                self._counters.count(f'unknown.{reason.value}')
        return response


def _read_key(request: web.Request) -> IdempotencyKey | None:
    texts = request.headers.getall(KEY_HEADER, [])
    if not texts or request.method in SAFE_METHODS:
        return None
    if len(texts) > 1:
        raise KeyMalformed(f'{len(texts)} idempotency keys in one request')
    return IdempotencyKey.parse(texts[0])


def _read_target(service: str, request: web.Request) -> str:
    prefix = f'/v1/services/{service}'
    path = request.raw_path
    if not path.isascii() or not path.startswith(f'{prefix}/'):
        raise _Refused(Reason.bad_request)
    return path.removeprefix(prefix)


def _read_remaining(request: web.Request) -> timedelta:
    text = request.headers.get(REMAINING_HEADER)
    if text is None:
        return DEFAULT_REMAINING
    if not _REMAINING_PATTERN.fullmatch(text):
        raise _Refused(Reason.bad_request)
    remaining = int(text) * MILLISECOND
    if not remaining:
        raise _Refused(Reason.deadline_passed)
    return min(remaining, MAX_REMAINING)


def _read_client(request: web.Request) -> str:
    address = request.headers.get(CLIENT_HEADER)
    if address is None:
        return request.remote or ''
    try:
        return str(ipaddress.ip_address(address))
    except ValueError:
        raise _Refused(Reason.bad_request) from None


def _forwarded_headers(request: web.Request) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, text)
        for name, text in end_to_end_headers(request.headers)
        if name.lower() not in _CONSUMED_HEADERS
    )


def _refusal_response(
    status: int, outcome: str, reason: Reason
) -> web.Response:
    body = {'outcome': outcome, 'reason': reason.value}
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
        headers={OUTCOME_HEADER: outcome, REASON_HEADER: reason.value},
    )
