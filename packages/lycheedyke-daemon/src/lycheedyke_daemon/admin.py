"""The administration API, which operators' tools use."""

import functools
import hmac
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from lycheedyke.coordination import Members, TicketFollower, TicketLog
from lycheedyke.exceptions import (
    DocumentMalformed,
    LycheedykeError,
    TicketConflict,
    TicketInvalid,
    TicketUnknown,
)
from lycheedyke.protocol import decode_ticket
from lycheedyke.state import Counters, Suspect
from lycheedyke_daemon.runner import Runner
from lycheedyke_daemon.spread import SuspectSpread

HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminApi:
    """Serves operators; every call but the health checks needs the token.

    Args:
        token: the admin secret.
        log: the tickets in force.
        follower: hands tickets in.
        members: the live instances.
        runner: the owned upstreams.
        spread: lists and clears suspects.
        counters: the counters to show.
    """

    def __init__(
        self,
        token: str,
        log: TicketLog,
        follower: TicketFollower,
        members: Members,
        runner: Runner,
        spread: SuspectSpread,
        counters: Counters,
    ) -> None:
        """Makes the API over the parts of one instance."""
        self._token = token
        self._log = log
        self._follower = follower
        self._members = members
        self._runner = runner
        self._spread = spread
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<AdminApi of {self._members.own.name}>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the admin port."""
        return [
            web.get('/healthz', self._health),
            web.get('/readyz', self._ready),
            web.get('/v1/status', self._guard(self._status)),
            web.get('/v1/instances', self._guard(self._instances)),
            web.get('/v1/counters', self._guard(self._count)),
            web.post('/v1/tickets', self._guard(self._apply)),
            web.get('/v1/tickets/{number}', self._guard(self._show)),
            web.get('/v1/suspects', self._guard(self._list_suspects)),
            web.delete('/v1/suspects', self._guard(self._clear_suspects)),
        ]

    def _guard(self, handler: _Handler) -> _Handler:
        return functools.partial(self._check, handler)

    async def _check(
        self,
        handler: _Handler,
        request: web.Request,
    ) -> web.StreamResponse:
        given = request.headers.get('Authorization', '')
        expected = f'Bearer {self._token}'
        if hmac.compare_digest(given.encode(), expected.encode()):
            return await handler(request)
        self._counters.count('admin.unauthenticated')
        return _fail(HTTP_UNAUTHORIZED, 'unauthenticated', 'no token')

    async def _health(self, request: web.Request) -> web.Response:
        return _reply({'healthy': True})

    async def _ready(self, request: web.Request) -> web.Response:
        if not self._log.number:
            return _fail(HTTP_UNAVAILABLE, 'not-ready', 'no ticket known')
        return _reply({'ready': True, 'ticket': self._log.number})

    async def _status(self, request: web.Request) -> web.Response:
        own = self._members.own
        return _reply(
            {
                'instance': own.name,
                'incarnation': own.incarnation,
                'zone': own.zone,
                'ticket': self._log.number,
                'live_peers': len(self._members.live()),
                'upstreams': self._runner.loads(),
            },
        )

    async def _instances(self, request: web.Request) -> web.Response:
        return _reply(
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

    async def _count(self, request: web.Request) -> web.Response:
        return _reply(
            {
                'counts': dict(self._counters.counts),
                'latencies_ms': self._counters.latencies(),
            },
        )

    async def _list_suspects(self, request: web.Request) -> web.Response:
        return _reply([_describe(each) for each in self._spread.list()])

    async def _clear_suspects(self, request: web.Request) -> web.Response:
        fingerprint = request.query.get('fingerprint')
        cleared = await self._spread.clear(fingerprint)
        return _reply([_describe(each) for each in cleared])

    async def _apply(self, request: web.Request) -> web.Response:
        try:
            ticket = decode_ticket(await request.read())
            number = await self._follower.apply(ticket)
        except LycheedykeError as error:
            return _explain(error)
        return _reply({'accepted': number})

    async def _show(self, request: web.Request) -> web.Response:
        number = request.match_info['number']
        document = None
        if number.isdecimal():
            document = self._log.show(int(number))
        if document is None:
            return _fail(
                HTTP_NOT_FOUND,
                'not-found',
                f'ticket {number!r} does not exist here',
            )
        return web.Response(body=document, content_type='application/json')


def _reply(content: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content),
        content_type='application/json',
    )


def _describe(suspect: Suspect) -> dict[str, Any]:
    return {
        'fingerprint': suspect.fingerprint,
        'crashed': suspect.crashed,
        'remaining_ms': suspect.remaining_ms,
        'quarantined': suspect.quarantined,
    }


def _explain(error: LycheedykeError) -> web.Response:
    match error:
        case DocumentMalformed():
            return _fail(HTTP_BAD_REQUEST, 'malformed', str(error))
        case TicketInvalid(faults=faults):
            return _fail(HTTP_BAD_REQUEST, 'invalid', *faults)
        case TicketConflict():
            return _fail(HTTP_CONFLICT, 'conflict', str(error))
        case TicketUnknown():
            return _fail(HTTP_UNAVAILABLE, 'unknown', str(error))
        case _:
            raise error


def _fail(status: int, error: str, *details: str) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode({'error': error, 'details': details}),
        content_type='application/json',
    )
