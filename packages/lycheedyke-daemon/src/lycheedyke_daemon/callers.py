"""The HTTP API for callers: look-ups and requests."""

import ipaddress
from collections.abc import Callable
from datetime import timedelta

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from lycheedyke.clock import Clock
from lycheedyke.coordination import Members, TicketLog
from lycheedyke.exceptions import KeyMalformed
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
from lycheedyke_daemon.dispatch import Dispatcher
from lycheedyke_daemon.stopping import Handler
from lycheedyke_daemon.work import HOP_HEADERS, SAFE_METHODS, Work

HTTP_BAD_REQUEST = 400
HTTP_UNAVAILABLE = 503
HTTP_BAD_GATEWAY = 502
DEFAULT_REMAINING = timedelta(seconds=5)
MOST_REMAINING = timedelta(seconds=60)
MILLISECOND = timedelta(milliseconds=1)
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


class CallerApi:
    """Serves callers.

    Args:
        dispatcher: runs requests.
        find_entries: returns the look-up answer for a service and client.
        log: the configuration in force.
        members: this instance and its peers.
        clock: measures deadlines and latencies.
        counters: counts refusals by reason.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        find_entries: Callable[[str, str], bytes],
        log: TicketLog,
        members: Members,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Makes the API over the parts of one instance."""
        self._dispatcher = dispatcher
        self._find_entries = find_entries
        self._log = log
        self._members = members
        self._clock = clock
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<CallerApi of {self._members.own.name}>'

    def routes(
        self,
        watch: Callable[[Handler], Handler],
    ) -> list[web.RouteDef]:
        """Returns the routes of the caller port.

        Args:
            watch: wraps the handler of requests.
        """
        return [
            web.get('/v1/lookup', self._lookup),
            web.route(
                '*', '/v1/services/{service}/{tail:.*}', watch(self._request)
            ),
        ]

    async def _lookup(self, request: web.Request) -> web.Response:
        service = request.query.get('service', '')
        refusal = self._refuse(service)
        if refusal is not None:
            return self._respond(refusal)
        client = request.query.get('client', '') or request.remote or ''
        try:
            body = self._find_entries(service, client)
        except ValueError:
            return self._respond(NotRun(Reason.bad_request))
        self._counters.count('lookup')
        return web.Response(body=body, headers=_JSON)

    async def _request(self, request: web.Request) -> web.Response:
        service = request.match_info['service']
        refusal = self._refuse(service)
        if refusal is not None:
            return self._respond(refusal)
        started = self._clock.elapsed()
        try:
            work = await self._read(service, request)
        except web.HTTPRequestEntityTooLarge:
            return self._respond(NotRun(Reason.body_too_large))
        except (KeyMalformed, ValueError) as error:
            return self._respond(_bad_request(error))
        outcome = await self._dispatcher.run(work)
        self._counters.time(service, self._clock.elapsed() - started)
        return self._respond(outcome)

    def _refuse(self, service: str) -> NotRun | None:
        if not self._log.number:
            return NotRun(Reason.not_ready)
        if service not in self._log.configuration.services:
            return NotRun(Reason.unknown_service)
        return None

    async def _read(self, service: str, request: web.Request) -> Work:
        prefix = f'/v1/services/{service}'
        key = request.headers.get(KEY_HEADER, '')
        is_keyed = bool(key) and request.method not in SAFE_METHODS
        return Work(
            service=service,
            method=request.method,
            target=request.raw_path.removeprefix(prefix),
            headers=_end_to_end(request),
            body=await request.read(),
            deadline=self._clock.elapsed() + _remaining(request),
            client=_client(request),
            key=IdempotencyKey.parse(key) if is_keyed else None,
            resent=request.headers.get(ATTEMPT_HEADER, '1') != '1',
        )

    def _respond(self, outcome: Outcome) -> web.Response:
        match outcome:
            case Answered(status, headers, body, _):
                response = web.Response(status=status, body=body)
                response.headers.extend(headers)
                response.headers[OUTCOME_HEADER] = 'answered'
                self._counters.count('outcome.answered')
            case NotRun(reason, retry_after):
                response = _refusal(
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
                response = _refusal(HTTP_BAD_GATEWAY, 'unknown', reason)
                self._counters.count(f'unknown.{reason.value}')
        return response


def _remaining(request: web.Request) -> timedelta:
    text = request.headers.get(REMAINING_HEADER)
    if text is None:
        return DEFAULT_REMAINING
    return min(int(text) * MILLISECOND, MOST_REMAINING)


def _client(request: web.Request) -> str:
    given = request.headers.get(CLIENT_HEADER)
    if given is None:
        return request.remote or ''
    return str(ipaddress.ip_address(given))


def _end_to_end(request: web.Request) -> tuple[tuple[str, str], ...]:
    own = {
        KEY_HEADER.lower(),
        REMAINING_HEADER.lower(),
        CLIENT_HEADER.lower(),
        ATTEMPT_HEADER.lower(),
    }
    return tuple(
        (str(name), text)
        for name, text in request.headers.items()
        if name.lower() not in HOP_HEADERS and name.lower() not in own
    )


def _bad_request(error: Exception) -> NotRun:
    if isinstance(error, KeyMalformed):
        return NotRun(Reason.key_malformed)
    return NotRun(Reason.bad_request)


def _refusal(status: int, outcome: str, reason: Reason) -> web.Response:
    body = {'outcome': outcome, 'reason': reason.value}
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
        headers={OUTCOME_HEADER: outcome, REASON_HEADER: reason.value},
    )
