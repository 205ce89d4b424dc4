"""The commands for tickets.

`apply` prints the ticket's author id before it calls a server, so that the
outcome of an interrupted call can be queried with `ticket status --author ID`.
A ticket that is submitted again with the same author id is not applied twice.

The exit status is 0 if the ticket is accepted, 1 if it is definitely not
accepted, 2 if the input is invalid, 3 if the outcome is unknown, and 4 if no
server was reached.
"""

import secrets
import sys
from pathlib import Path
from typing import Any

import msgspec

from lycheedyke.exceptions import DocumentMalformed
from lycheedyke_ctl.admin_api import (
    AdminAccess,
    ResponseLost,
    ServerRefused,
    call,
    read_access,
)
from lycheedyke_ctl.tables import show

AUTHOR_BYTES = 8
STATUS_COMMAND = 'lycheedykectl ticket status --author'


def apply(
    ticket: Path,
    *,
    config: Path | None = None,
    json: bool = False,
) -> None:
    """Submit a ticket; the outcome is accepted, not accepted, or unknown.

    Args:
        ticket: The ticket's file, in JSON.
        config: The tool's INI file.
        json: Print JSON.
    """
    access = read_access(config)
    document = _read_ticket(access, ticket)
    author = document['author']
    sys.stderr.write(f'author: {author}\n')
    sys.stderr.flush()
    try:
        accepted = _send(access, '/v1/tickets', document)
    except (ResponseLost, ServerRefused) as error:
        if isinstance(error, ResponseLost) or error.error == 'unknown':
            sys.stderr.write(f'query the outcome: {STATUS_COMMAND} {author}\n')
        raise
    show(accepted, as_json=json)


def plan(
    ticket: Path,
    *,
    config: Path | None = None,
    json: bool = False,
) -> None:
    """Show what a ticket would change, and its faults, without applying it.

    Args:
        ticket: The ticket's file, in JSON.
        config: The tool's INI file.
        json: Print JSON.
    """
    access = read_access(config)
    planned = _send(access, '/v1/plans', _read_ticket(access, ticket))
    if json:
        show(planned, as_json=True)
        return
    for part in ('faults', 'changes', 'headroom'):
        show(f'{part}:', as_json=False)
        show(_to_rows(planned[part]), as_json=False)


def status(
    *,
    author: str,
    config: Path | None = None,
    json: bool = False,
) -> None:
    """Show whether a ticket was accepted.

    Args:
        author: The author id that `apply` printed.
        config: The tool's INI file.
        json: Print JSON.
    """
    found = call(read_access(config), 'GET', f'/v1/authors/{author}')
    show(found, as_json=json)


def list_tickets(*, config: Path | None = None, json: bool = False) -> None:
    """List the newest tickets.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    show(call(read_access(config), 'GET', '/v1/tickets'), as_json=json)


def show_ticket(
    number: int,
    *,
    config: Path | None = None,
    json: bool = False,
) -> None:
    """Show one ticket.

    Args:
        number: The ticket's number.
        config: The tool's INI file.
        json: Print JSON.
    """
    found = call(read_access(config), 'GET', f'/v1/tickets/{number}')
    show(found, as_json=json)


def _send(access: AdminAccess, path: str, document: dict[str, Any]) -> Any:
    return call(access, 'POST', path, msgspec.json.encode(document))


def _read_ticket(access: AdminAccess, ticket: Path) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(ticket.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise DocumentMalformed(f'{ticket}: {error}') from error
    if not isinstance(document, dict):
        raise DocumentMalformed(f'{ticket}: the document is not a JSON object')
    document.setdefault('author', secrets.token_hex(AUTHOR_BYTES))
    if 'based_on' not in document:
        document['based_on'] = call(access, 'GET', '/v1/status')['ticket']
    return document


def _to_rows(part: list[Any]) -> list[Any]:
    return [
        each if isinstance(each, dict) else {'fault': each} for each in part
    ]
