"""The HTTP API for callers of a gateway."""

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple

from aiohttp import web

from lycheedyke.protocol import (
    Answered,
    NotRun,
    Outcome,
    Reason,
    Route,
    Unknown,
)
from lycheedyke.state import (
    MemoryBudget,
    Request,
    RouteTable,
    WeightedRoundRobin,
    wait_share_of,
)
from lycheedyke_daemon.bodies import BodyReader, BodyRefused
from lycheedyke_daemon.gateway._decision_log import Telemetry
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway._router import GatewayRouter
from lycheedyke_daemon.gateway._upstream_client import HeaderNames
from lycheedyke_daemon.idle_connections import IdleConnectionCloser
from lycheedyke_daemon.stopping import RequestTracker
from lycheedyke_daemon.work import Work, end_to_end_headers

MILLISECOND = timedelta(milliseconds=1)
DEFAULT_REMAINING = timedelta(seconds=10)
MOST_REMAINING = timedelta(minutes=5)
RETRY_AFTER_START = timedelta(milliseconds=300)
RETRY_AFTER_STOP = timedelta(milliseconds=20)

_STATUSES = {  # noqa: WPS407
    Reason.unknown_route: HTTPStatus.NOT_FOUND,
    Reason.bad_request: HTTPStatus.BAD_REQUEST,
    Reason.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.body_too_slow: HTTPStatus.REQUEST_TIMEOUT,
    Reason.upstream_timeout: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.upstream_silent: HTTPStatus.GATEWAY_TIMEOUT,
}


class _Arrival(NamedTuple):
    """A request as it came, before its body is read."""

    http: web.Request
    table: RouteTable
    route: Route
    service: str
    started: timedelta
    deadline: timedelta


class GatewayCallerApi:
    """Takes callers' requests and answers each once.

    Args:
        beliefs: the routes in force.
        router: runs the requests.
        names: the headers of the deployment.
        memory: the memory for all bodies.
        gate: counts the requests in flight.
        instruments: counts outcomes and tells of each request.
        is_closing: whether new requests are refused, as a stop is near.
    """

    def __init__(
        self,
        beliefs: RegistryView,
        router: GatewayRouter,
        names: HeaderNames,
        memory: MemoryBudget,
        gate: RequestTracker,
        instruments: Telemetry,
        *,
        is_closing: Callable[[], bool],
    ) -> None:
        """Makes an API over the parts of one instance."""
        self._beliefs = beliefs
        self._router = router
        self._names = names
        self._memory = memory
        self._gate = gate
        self._clock = instruments.clock
        self._counters = instruments.counters
        self._decisions = instruments.decision_log
        self._is_closing = is_closing
        self._turns = WeightedRoundRobin()

    def __repr__(self) -> str:
        """Returns the beliefs."""
        return f'<GatewayCallerApi with {self._beliefs!r}>'

    def routes(self, idle: IdleConnectionCloser) -> list[web.RouteDef]:
        """Returns the routes of the callers' port.

        Args:
            idle: knows which connections are idle.
        """
        handler = idle.track(self._gate.track(self._serve))
        return [web.route('*', '/{path:.*}', handler)]

    async def _serve(self, http: web.Request) -> web.StreamResponse:
        started = self._clock.elapsed()
        found = self._admit(http, started)
        if isinstance(found, NotRun):
            return self._respond(http, None, found, started)
        outcome = await self._run(found)
        return self._respond(http, found, outcome, started)

    def _admit(
        self,
        http: web.Request,
        started: timedelta,
    ) -> _Arrival | NotRun:
        table = self._beliefs.table
        if table is None:
            return NotRun(Reason.not_ready, RETRY_AFTER_START)
        host = http.host.partition(':')[0]
        route = table.find(host, http.raw_path.partition('?')[0])
        if route is None:
            return NotRun(Reason.unknown_route)
        if self._is_closing():
            return NotRun(Reason.stopping, RETRY_AFTER_STOP)
        remaining = self._read_remaining(http)
        if remaining is None or not http.headers.get(self._names.request):
            return NotRun(Reason.bad_request)
        return _Arrival(
            http,
            table,
            route,
            self._turns.choose(route),
            started,
            started + min(remaining, route.timeout),
        )

    async def _run(self, arrival: _Arrival) -> Outcome:
        http = arrival.http
        table = arrival.table
        bodies = BodyReader(self._memory, table.limits.body_bytes)
        left = arrival.deadline - arrival.started
        try:
            async with bodies.read(http, left) as body:
                work = self._to_work(arrival, body)
                request = Request(
                    arrival.route,
                    arrival.service,
                    self._read_thing(arrival),
                    wait_share_of(table.rank(arrival.route, arrival.service)),
                )
                return await self._router.run(request, work)
        except BodyRefused as refused:
            return NotRun(refused.reason)

    def _to_work(self, arrival: _Arrival, body: bytes) -> Work:
        http = arrival.http
        own = {self._names.remaining.lower()}
        headers = tuple(
            (name, text)
            for name, text in end_to_end_headers(http.headers)
            if name.lower() not in own
        )
        return Work(
            service=arrival.service,
            method=http.method,
            target=http.raw_path,
            headers=(('Host', http.headers['Host']), *headers),
            body=body,
            deadline=arrival.deadline,
            client=http.remote or '',
            kind=arrival.route.kind,
            request_id=http.headers[self._names.request],
        )

    def _read_thing(self, arrival: _Arrival) -> str:
        if not arrival.route.sticky:
            return ''
        return arrival.http.cookies.get(self._names.object_key_cookie, '')

    def _read_remaining(self, http: web.Request) -> timedelta | None:
        text = http.headers.get(self._names.remaining)
        if text is None:
            return DEFAULT_REMAINING
        if not text.isdecimal():
            return None
        return min(int(text) * MILLISECOND, MOST_REMAINING)

    def _respond(
        self,
        http: web.Request,
        arrival: _Arrival | None,
        outcome: Outcome,
        started: timedelta,
    ) -> web.Response:
        took = self._clock.elapsed() - started
        match outcome:
            case Answered(status, headers, body, _):
                self._counters.count('outcome.answered')
                response = web.Response(status=status, body=body)
                response.headers.extend(headers)
            case NotRun(reason, retry_after):
                self._counters.count(f'not-run.{reason.value}')
                response = _refuse(reason, HTTPStatus.SERVICE_UNAVAILABLE)
                seconds = retry_after.total_seconds()
                response.headers['Retry-After'] = f'{seconds:.3f}'
            case Unknown(reason):
                self._counters.count(f'unknown.{reason.value}')
                response = _refuse(reason, HTTPStatus.BAD_GATEWAY)
        if arrival is not None:
            self._counters.record_latency(arrival.service, took)
        self._decisions.write(
            'request ended',
            http.headers.get(self._names.request, ''),
            outcome,
            route=arrival.route.name if arrival else '',
            service=arrival.service if arrival else '',
            version=self._beliefs.number,
            took_ms=took // MILLISECOND,
            retry_after=response.headers.get('Retry-After', ''),
        )
        return response


def _refuse(reason: Reason, status: HTTPStatus) -> web.Response:
    return web.Response(status=_STATUSES.get(reason, status), text=reason.value)
