"""The calls of the administration API that concern tickets.

`POST /v1/tickets` applies a ticket, and `POST /v1/plans` shows the changes
that a ticket would make. `GET /v1/tickets` lists recent tickets,
`GET /v1/tickets/<number>` shows one, and `GET /v1/authors/<id>` reports whether
the ticket of an author was accepted.
"""

from typing import Any

import msgspec
from aiohttp import web

from lycheedyke.exceptions import (
    AuthorIdReused,
    DocumentMalformed,
    LycheedykeError,
    PlatformError,
    TicketConflict,
    TicketInvalid,
    TicketNotAccepted,
    TicketOutcomeUnknown,
    TicketOutdated,
)
from lycheedyke.protocol import parse_ticket
from lycheedyke_daemon.tickets import TicketComponents

HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
MAX_LISTED = 100


class TicketApi:
    """Serves the calls of operators that concern tickets.

    Args:
        components: the ticket log and its writer.
    """

    def __init__(self, components: TicketComponents) -> None:
        """Initializes the API."""
        self._log = components.log
        self._writer = components.writer

    def __repr__(self) -> str:
        """Returns the class and the ticket log."""
        return f'<TicketApi of {self._log!r}>'

    async def apply(self, request: web.Request) -> web.Response:
        """Applies the ticket in the body."""
        try:
            ticket = parse_ticket(await request.read())
            number = await self._writer.apply(ticket)
        except LycheedykeError as error:
            return to_error_response(error)
        return json_response({'accepted': number, 'author': ticket.author})

    async def plan(self, request: web.Request) -> web.Response:
        """Shows the changes that the ticket in the body would make."""
        try:
            ticket = parse_ticket(await request.read())
            plan = await self._writer.plan(ticket)
        except LycheedykeError as error:
            return to_error_response(error)
        return json_response(plan)

    async def find_by_author(self, request: web.Request) -> web.Response:
        """Reports whether the ticket of an author was accepted."""
        author = request.match_info['author']
        try:
            record = await self._writer.find(author)
        except PlatformError as error:
            return error_response(HTTP_UNAVAILABLE, 'unknown', str(error))
        if record is None:
            return error_response(
                HTTP_NOT_FOUND,
                'not-accepted',
                f'no ticket of author {author!r} up to {self._log.number}',
            )
        return json_response({'accepted': record.number, 'author': author})

    async def list_recent(self, request: web.Request) -> web.Response:
        """Lists the newest tickets, the newest first."""
        records = self._log.history.records[-MAX_LISTED:]
        return json_response(
            [
                {
                    'number': record.number,
                    'author': record.author,
                    'objects': len(record.touches),
                }
                for record in reversed(records)
            ],
        )

    async def show(self, request: web.Request) -> web.Response:
        """Shows the document of one ticket."""
        number = request.match_info['number']
        document = None
        if number.isdecimal():
            document = self._log.document(int(number))
        if document is None:
            return error_response(
                HTTP_NOT_FOUND,
                'not-found',
                f'ticket {number!r} is not kept here',
            )
        return web.Response(body=document, content_type='application/json')


def json_response(content: Any) -> web.Response:
    """Returns a response with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(content),
        content_type='application/json',
    )


def error_response(status: int, error: str, *details: str) -> web.Response:
    """Returns an error response with a machine-readable error code."""
    return web.Response(
        status=status,
        body=msgspec.json.encode({'error': error, 'details': details}),
        content_type='application/json',
    )


def to_error_response(error: LycheedykeError) -> web.Response:
    """Returns the error response for an exception.

    Raises:
        LycheedykeError: the exception itself, if operators do not cause it.
    """
    match error:
        case DocumentMalformed():
            return error_response(HTTP_BAD_REQUEST, 'malformed', str(error))
        case TicketInvalid(faults=faults):
            return error_response(HTTP_BAD_REQUEST, 'invalid', *faults)
        case TicketConflict() | TicketOutdated() | AuthorIdReused():
            return error_response(HTTP_CONFLICT, 'conflict', str(error))
        case TicketNotAccepted() | PlatformError():
            return error_response(HTTP_UNAVAILABLE, 'not-accepted', str(error))
        case TicketOutcomeUnknown():
            return error_response(HTTP_UNAVAILABLE, 'unknown', str(error))
        case _:
            raise error
