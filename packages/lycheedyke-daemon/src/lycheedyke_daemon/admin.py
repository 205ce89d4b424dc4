"""The administration API for the tools of operators."""

import functools
import hmac
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from lycheedyke.coordination import Members
from lycheedyke.state import Counters, report_headroom
from lycheedyke_daemon.routing_table import RoutingTable
from lycheedyke_daemon.ticket_api import (
    TicketApi,
    error_response,
    json_response,
)
from lycheedyke_daemon.tickets import TicketComponents
from lycheedyke_daemon.upstream_runner import UpstreamRunner

HTTP_UNAUTHORIZED = 401
HTTP_UNAVAILABLE = 503

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminApi:
    """Serves the admin port.

    Every call except the health checks must carry the admin token.

    Args:
        token: the admin secret.
        tickets: the ticket log and its writer.
        members: the live instances.
        runner: the upstreams that this instance uses.
        counters: the counters to report.
        table: the loads of all upstreams.
    """

    def __init__(
        self,
        token: str,
        tickets: TicketComponents,
        members: Members,
        runner: UpstreamRunner,
        counters: Counters,
        *,
        table: RoutingTable,
    ) -> None:
        """Initializes the API."""
        self._token = token
        self._log = tickets.log
        self._tickets = TicketApi(tickets)
        self._members = members
        self._runner = runner
        self._counters = counters
        self._table = table

    def __repr__(self) -> str:
        """Returns the class and the name of the instance."""
        return f'<AdminApi of {self._members.own.name}>'

    def require_token(self, handler: _Handler) -> _Handler:
        """Returns a handler that rejects calls without the admin token."""
        return functools.partial(self._authenticate, handler)

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the admin port."""
        return [
            web.get('/healthz', self._health),
            web.get('/readyz', self._ready),
            web.get('/v1/status', self.require_token(self._status)),
            web.get('/v1/instances', self.require_token(self._instances)),
            web.get('/v1/headroom', self.require_token(self._headroom)),
            web.get('/v1/drains', self.require_token(self._drains)),
            web.get('/v1/counters', self.require_token(self._list_counters)),
            web.post('/v1/tickets', self.require_token(self._tickets.apply)),
            web.get(
                '/v1/tickets', self.require_token(self._tickets.list_recent)
            ),
            web.get(
                '/v1/tickets/{number}', self.require_token(self._tickets.show)
            ),
            web.post('/v1/plans', self.require_token(self._tickets.plan)),
            web.get(
                '/v1/authors/{author}',
                self.require_token(self._tickets.find_by_author),
            ),
        ]

    async def _authenticate(
        self,
        handler: _Handler,
        request: web.Request,
    ) -> web.StreamResponse:
        received = request.headers.get('Authorization', '')
        expected = f'Bearer {self._token}'
        if hmac.compare_digest(received.encode(), expected.encode()):
            return await handler(request)
        self._counters.count('admin.unauthenticated')
        return error_response(HTTP_UNAUTHORIZED, 'unauthenticated', 'no token')

    async def _health(self, request: web.Request) -> web.Response:
        return json_response({'healthy': True})

    async def _ready(self, request: web.Request) -> web.Response:
        if not self._log.number:
            return error_response(
                HTTP_UNAVAILABLE, 'not-ready', 'no ticket known'
            )
        if not self._runner.ready:
            return error_response(
                HTTP_UNAVAILABLE, 'not-ready', 'no owners known'
            )
        return json_response(
            {
                'ready': True,
                'ticket': self._log.number,
                'blocked': self._log.blocked,
            },
        )

    async def _status(self, request: web.Request) -> web.Response:
        own = self._members.own
        return json_response(
            {
                'instance': own.name,
                'incarnation': own.incarnation,
                'zone': own.zone,
                'ticket': self._log.number,
                'blocked': self._log.blocked,
                'live_peers': len(self._members.live()),
                'upstreams': [
                    msgspec.structs.asdict(load)
                    for load in self._runner.loads()
                ],
            },
        )

    async def _instances(self, request: web.Request) -> web.Response:
        return json_response(
            [
                {
                    'name': peer.info.name,
                    'zone': peer.info.zone,
                    'incarnation': peer.info.incarnation,
                    'ticket': peer.ticket,
                    'stopping': peer.stopping,
                }
                for peer in self._members.live()
            ],
        )

    async def _headroom(self, request: web.Request) -> web.Response:
        loads = self._table.loads().values()
        return json_response(report_headroom(self._log.configuration, loads))

    async def _drains(self, request: web.Request) -> web.Response:
        return json_response(self._runner.drains.drains())

    async def _list_counters(self, request: web.Request) -> web.Response:
        return json_response(
            {
                'counts': dict(self._counters.counts),
                'latencies_ms': self._counters.latencies(),
            },
        )
