"""The commands of the tool; each prints what it found."""

import secrets
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from lycheedyke.exceptions import DocumentMalformed
from lycheedyke_ctl.server import call, read_access
from lycheedyke_ctl.tables import show

AUTHOR_BYTES = 8


def status(*, config: Path | None = None, json: bool = False) -> None:
    """Show the instance that answers and what it owns.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/status', config, as_json=json)


def instances(*, config: Path | None = None, json: bool = False) -> None:
    """Show the live instances as the answering one sees them.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/instances', config, as_json=json)


def counters(*, config: Path | None = None, json: bool = False) -> None:
    """Show the counters and latencies of the answering instance.

    Args:
        config: The tool's INI file.
        json: Print JSON.
    """
    _get('/v1/counters', config, as_json=json)


def apply(
    ticket: Path,
    *,
    config: Path | None = None,
    json: bool = False,
) -> None:
    """Hand in a ticket.

    Args:
        ticket: The ticket's file, in JSON.
        config: The tool's INI file.
        json: Print JSON.
    """
    access = read_access(config)
    found = call(access, 'GET', '/v1/status')
    document = _complete(ticket, found['ticket'])
    accepted = call(access, 'POST', '/v1/tickets', document)
    show(accepted, as_json=json)


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
    _get(f'/v1/tickets/{number}', config, as_json=json)


def _get(path: str, config: Path | None, *, as_json: bool) -> None:
    show(call(read_access(config), 'GET', path), as_json=as_json)


def _complete(ticket: Path, newest: int) -> bytes:
    try:
        document: dict[str, Any] = msgspec.json.decode(ticket.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise DocumentMalformed(f'{ticket}: {error}') from error
    document.setdefault('author', secrets.token_hex(AUTHOR_BYTES))
    document.setdefault('based_on', newest)
    document.setdefault('created', datetime.now(UTC).isoformat())
    return msgspec.json.encode(document)
