"""The HTTP API for callers of a gateway."""

import asyncio
import logging
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
    RouteKind,
    Tenant,
    Unknown,
)
from lycheedyke.state import (
    Request,
    RouteTable,
    WeightedRoundRobin,
    wait_share_of,
)
from lycheedyke.transport import BodyMemory
from lycheedyke_daemon.bodies import BodyReader, BodyRefused
from lycheedyke_daemon.cancellation import is_cancelled
from lycheedyke_daemon.gateway._answer_headers import HeaderNames
from lycheedyke_daemon.gateway._decision_log import Telemetry
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway._router import GatewayRouter
from lycheedyke_daemon.gateway._stop_schedule import StopSchedule
from lycheedyke_daemon.gateway._unanswered import SENT_TO, UnansweredReport
from lycheedyke_daemon.gateway.bodies import (
    STREAM,
    ResponseStream,
    ResponseStreams,
)
from lycheedyke_daemon.gateway.rates import RunWithinQuota, run_freely
from lycheedyke_daemon.pipeline import TURN, may_pass_on
from lycheedyke_daemon.work import MAX_LOGGED, Work, end_to_end_headers

MILLISECOND = timedelta(milliseconds=1)
DEFAULT_REMAINING = timedelta(seconds=10)
MAX_REMAINING = timedelta(minutes=5)
RETRY_AFTER_START = timedelta(milliseconds=300)
RETRY_AFTER_STOP = timedelta(milliseconds=20)
# Until the operators have written a configuration that can be read.
RETRY_AFTER_UNREADABLE = timedelta(seconds=5)
AUTHORIZATION = 'Authorization'

_STATUSES = {  # noqa: WPS407
    Reason.unknown_route: HTTPStatus.NOT_FOUND,
    Reason.unknown_key: HTTPStatus.UNAUTHORIZED,
    Reason.quota_exceeded: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.bad_request: HTTPStatus.BAD_REQUEST,
    Reason.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.body_too_slow: HTTPStatus.REQUEST_TIMEOUT,
    Reason.upstream_timeout: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.upstream_silent: HTTPStatus.GATEWAY_TIMEOUT,
}


_logger = logging.getLogger(__name__)


class _AdmittedRequest(NamedTuple):
    """An admitted request, before its body is read.

    Attributes:
        deadline: when its run ends at the latest; a stop may shorten it.
        due: when its caller must have the answer, in elapsed time.
    """

    http: web.Request
    table: RouteTable
    route: Route
    service: str
    started: timedelta
    deadline: timedelta
    due: timedelta
    tenant: Tenant | None


class GatewayCallerApi:
    """Accepts callers' requests and answers each exactly once.

    Args:
        registry_view: provides the routes in force.
        router: sends the requests to upstreams.
        names: the header names of the deployment.
        memory: bounds the memory of all bodies together.
        streams: passes large responses on while they arrive; its tracker
            counts the requests in flight.
        telemetry: counts outcomes and logs each request.
        schedule: decides which requests a planned stop refuses, and how long
            the others may run.

    Attributes:
        run_within_quota: runs a request if its tenant has a permit for it.
        allocates_slots: whether slots are allocated between callers that
            compete.
    """

    def __init__(
        self,
        registry_view: RegistryView,
        router: GatewayRouter,
        names: HeaderNames,
        memory: BodyMemory,
        streams: ResponseStreams,
        telemetry: Telemetry,
        *,
        schedule: StopSchedule,
    ) -> None:
        """Initializes the API."""
        self.run_within_quota: RunWithinQuota = run_freely
        self.allocates_slots = True
        self._registry_view = registry_view
        self._router = router
        self._names = names
        self._memory = memory
        self._tracker = streams.tracker
        self._clock = telemetry.clock
        self._counters = telemetry.counters
        self._decision_log = telemetry.decision_log
        self._schedule = schedule
        self._handovers = streams.handovers
        self._streams = streams
        self._unanswered = UnansweredReport(names.request, telemetry, schedule)
        self._round_robin = WeightedRoundRobin(telemetry.instance)

    def __repr__(self) -> str:
        """Returns the registry view."""
        return f'<GatewayCallerApi with {self._registry_view!r}>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the callers' port."""
        handler = self._unanswered.track(self._tracker.track(self._serve))
        return [web.route('*', '/{path:.*}', handler)]

    async def _serve(self, http: web.Request) -> web.StreamResponse:
        # A request waits unread while too many before it are unanswered.
        started = self._clock.elapsed() - http[TURN].age
        http[TURN].request = http.headers.get(self._names.request, '')
        admitted = self._admit(http, started)
        if isinstance(admitted, NotRun):
            return self._respond(http, None, admitted, started)
        is_streamed = admitted.route.streamed
        with self._streams.open(http, is_streamed=is_streamed) as stream:
            outcome = await self.run_within_quota(
                admitted.tenant,
                admitted.deadline - self._clock.elapsed(),
                lambda: self._run(admitted),
            )
            response = self._respond(http, admitted, outcome, started)
            return await self._hand_over(admitted, outcome, response, stream)

    async def _hand_over(
        self,
        admitted: _AdmittedRequest,
        outcome: Outcome,
        response: web.Response,
        stream: ResponseStream,
    ) -> web.StreamResponse:
        """Returns the answer, of which a stream has written all."""
        route = admitted.route.name
        if not isinstance(outcome, Answered):
            return await stream.finish(outcome, response)
        if not stream.size:
            self._handovers.record_size(route, len(outcome.body))
            return response
        self._handovers.record_size(route, stream.size)
        with self._handovers.measure(route, admitted.due):
            return await stream.finish(outcome, response)

    def _admit(
        self,
        http: web.Request,
        started: timedelta,
    ) -> _AdmittedRequest | NotRun:
        table = self._registry_view.table
        if table is None:
            return NotRun(Reason.not_ready, RETRY_AFTER_START)
        host = http.host.partition(':')[0]
        path = http.raw_path.partition('?')[0]
        route = table.find(host, path)
        if route is None:
            if table.is_unreadable(host, path):
                return NotRun(Reason.unreadable_route, RETRY_AFTER_UNREADABLE)
            return NotRun(Reason.unknown_route)
        tenant = _identify(http, table)
        if tenant is None and table.tenants is not None and not route.public:
            return NotRun(Reason.unknown_key)
        self._registry_view.route_use.record(route)
        service = self._round_robin.choose(route)
        self._registry_view.arrivals.record(service)
        remaining = self._read_remaining(http)
        if remaining is None or not http.headers.get(self._names.request):
            return NotRun(Reason.bad_request)
        due = started + min(remaining, route.timeout)
        if not self._may_take(http, route, service, due):
            return NotRun(Reason.stopping, RETRY_AFTER_STOP)
        return _AdmittedRequest(
            http,
            table,
            route,
            service,
            started,
            self._schedule.bound_deadline(due),
            due,
            tenant,
        )

    def _may_take(
        self, http: web.Request, route: Route, service: str, due: timedelta
    ) -> bool:
        """Returns whether a stop, if one has begun, lets a request run."""
        turn = http[TURN]
        is_behind = turn.is_closing or not turn.is_first
        if self._schedule.has_begun and is_behind:
            return False
        return self._fits_stop(route, service, due)

    def _fits_stop(self, route: Route, service: str, due: timedelta) -> bool:
        """Returns whether a stop leaves the time for a run and its answer."""
        if not self._schedule.has_begun:
            return True
        return self._schedule.may_take(
            self._router.expected_run(route, service),
            self._handovers.expected(route, due - self._clock.elapsed()),
        )

    async def _run(self, admitted: _AdmittedRequest) -> Outcome:
        """Returns the outcome; a stop that can't wait for it interrupts it."""
        http = admitted.http
        bodies = BodyReader(self._memory, admitted.table.limits.body_bytes)
        left = admitted.deadline - admitted.started
        try:
            async with (
                self._tracker.interruptible(),
                bodies.read(http, left) as body,
            ):
                return await self._pass_on(admitted, body)
        except BodyRefused as refused:
            return NotRun(refused.reason)
        except TimeoutError:
            if http[TURN].is_passed_on:
                return Unknown(Reason.stopping)
            return NotRun(Reason.stopping, RETRY_AFTER_STOP)
        except asyncio.CancelledError:
            if is_cancelled():
                raise
            # The server would close the connection without an answer.
            _logger.exception('exchange cancelled')
            return Unknown(Reason.internal_error)

    async def _pass_on(
        self, admitted: _AdmittedRequest, body: bytes
    ) -> Outcome:
        is_allowed = await may_pass_on(
            admitted.http,
            admitted.deadline - self._clock.elapsed(),
            is_repeatable=admitted.route.kind is RouteKind.idempotent,
            is_stopping=lambda: self._schedule.has_begun,
        )
        if not is_allowed:
            is_late = self._clock.elapsed() >= admitted.deadline
            reason = Reason.deadline_passed if is_late else Reason.stopping
            return NotRun(reason, RETRY_AFTER_STOP)
        # A stop may have begun while the body arrived.
        if not self._fits_stop(admitted.route, admitted.service, admitted.due):
            return NotRun(Reason.stopping, RETRY_AFTER_STOP)
        table = admitted.table
        request = Request(
            admitted.route,
            admitted.service,
            self._read_object_key(admitted),
            wait_share_of(
                table.rank(admitted.route, admitted.service, admitted.tenant)
            ),
            admitted.tenant,
            self._urgency_of(admitted),
            body_bytes=len(body),
        )
        work = self._to_work(admitted, body)
        return await self._router.run(request, work, admitted.http[SENT_TO])

    def _urgency_of(self, admitted: _AdmittedRequest) -> float | None:
        if not self.allocates_slots:
            return None
        return admitted.table.urgency_of(admitted.route, admitted.tenant)

    def _to_work(self, admitted: _AdmittedRequest, body: bytes) -> Work:
        http = admitted.http
        replaced = {
            self._names.remaining.lower(),
            self._names.expected_upstream.lower(),
        }
        if admitted.table.tenants is not None:
            replaced |= {AUTHORIZATION.lower(), self._names.tenant.lower()}
        headers = tuple(
            (name, text)
            for name, text in end_to_end_headers(http.headers)
            if name.lower() not in replaced
        )
        if admitted.tenant is not None:
            headers = (*headers, (self._names.tenant, admitted.tenant.name))
        return Work(
            service=admitted.service,
            method=http.method,
            target=http.raw_path,
            headers=(('Host', http.headers['Host']), *headers),
            body=body,
            deadline=admitted.deadline,
            client=http.remote or '',
            kind=admitted.route.kind,
            request_id=http.headers[self._names.request],
            host=admitted.route.host,
            response_target=http[STREAM],
        )

    def _read_object_key(self, admitted: _AdmittedRequest) -> str:
        if not admitted.route.sticky:
            return ''
        return admitted.http.cookies.get(self._names.object_key_cookie, '')

    def _read_remaining(self, http: web.Request) -> timedelta | None:
        text = http.headers.get(self._names.remaining)
        if text is None:
            return DEFAULT_REMAINING
        if not text.isdecimal():
            return None
        return min(int(text) * MILLISECOND, MAX_REMAINING)

    def _respond(
        self,
        http: web.Request,
        admitted: _AdmittedRequest | None,
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
                if response.status == HTTPStatus.UNAUTHORIZED:
                    response.headers['WWW-Authenticate'] = 'Bearer'
                seconds = retry_after.total_seconds()
                response.headers['Retry-After'] = f'{seconds:.3f}'
            case Unknown(reason):
                self._counters.count(f'unknown.{reason.value}')
                response = _refuse(reason, HTTPStatus.BAD_GATEWAY)
        if admitted is not None:
            self._counters.record_latency(admitted.service, took)
        turn = http[TURN]
        self._decision_log.write(
            'request ended',
            turn.request,
            outcome,
            caller=http.remote or '',
            host=http.host[:MAX_LOGGED],
            method=http.method,
            path=http.path[:MAX_LOGGED],
            behind=turn.behind,
            behind_ms=turn.waited // MILLISECOND,
            route=admitted.route.name if admitted else '',
            service=admitted.service if admitted else '',
            tenant=_tenant_name(admitted),
            version=self._registry_view.number,
            took_ms=took // MILLISECOND,
            retry_after=response.headers.get('Retry-After', ''),
        )
        return response


def _refuse(reason: Reason, status: HTTPStatus) -> web.Response:
    return web.Response(status=_STATUSES.get(reason, status), text=reason.value)


def _identify(http: web.Request, table: RouteTable) -> Tenant | None:
    """Returns the tenant whose key a request carries, if any."""
    if table.tenants is None:
        return None
    return table.tenants.identify(http.headers.getall(AUTHORIZATION, ()))


def _tenant_name(admitted: _AdmittedRequest | None) -> str:
    if admitted is None or admitted.tenant is None:
        return ''
    return admitted.tenant.name
