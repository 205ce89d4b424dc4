"""Turns the errors of aiohttp into those of the transport layer."""

import aiohttp

from lycheedyke.exceptions import (
    BodyMemoryFull,
    BodyTooLarge,
    ConnectError,
    ConnectionRefusedByHost,
    ExchangeBroken,
    ExchangeTimeout,
    ResponseMemoryFull,
    ResponseTooLarge,
    TransportError,
)
from lycheedyke.transport._write_gate import WriteGate

MAX_DETAIL_CHARACTERS = 500


def too_large_error(
    response: aiohttp.ClientResponse, error: BodyTooLarge
) -> ResponseTooLarge:
    """Returns the error of a response whose body exceeds a limit."""
    detail = f'{response.url}: response of at least {error}'
    if isinstance(error, BodyMemoryFull):
        return ResponseMemoryFull(detail)
    return ResponseTooLarge(detail)


def exchange_error(
    gate: WriteGate, method: str, url: str, error: Exception
) -> TransportError:
    """Returns the error of an exchange; it tells whether bytes were sent."""
    if not gate.is_open:
        return _to_connect_error(gate, url, error)
    if isinstance(error, TimeoutError):
        return ExchangeTimeout(f'{method} {url}: no complete response in time')
    # Errors of the parser quote what was received.
    detail = repr(error)[:MAX_DETAIL_CHARACTERS]
    return ExchangeBroken(f'{method} {url}: {detail}')


def _to_connect_error(
    gate: WriteGate, url: str, error: Exception
) -> ConnectError:
    """Returns the error of an exchange whose request was not written."""
    if gate.has_timed_out:
        return ConnectError(f'{url}: not connected in time')
    cause = getattr(error, 'os_error', error)
    if isinstance(cause, ConnectionRefusedError):
        return ConnectionRefusedByHost(f'{url}: connection refused')
    return ConnectError(f'{url}: {cause!r}'[:MAX_DETAIL_CHARACTERS])
