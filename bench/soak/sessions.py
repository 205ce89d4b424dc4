"""HTTP sessions of callers that send one request after another."""

from types import SimpleNamespace
from typing import Any

import aiohttp

CALLER_ADDRESSES = 12


class ConnectionUse:
    """The connection that a request was sent on.

    Attributes:
        is_new: whether it was opened for the request.
    """

    def __init__(self) -> None:
        """Initializes the use of a kept connection."""
        self.is_new = False


class UnansweredError(aiohttp.ClientError):
    """A connection was closed before the response; its cause says how."""


def caller_address(number: int) -> str:
    """Returns the loopback address of a caller."""
    return f'127.0.0.{number % CALLER_ADDRESSES + 2}'


def open_session(address: str = '127.0.0.1') -> aiohttp.ClientSession:
    """Returns a session that never repeats a request by itself.

    A repeat that the caller does not see would hide a lost answer. Requests
    may pass a `ConnectionUse` as `trace_request_ctx`.

    Args:
        address: the loopback address of the caller.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_note_new)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(local_addr=(address, 0)),
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=[_refuse_repeat],
        trace_configs=[trace],
    )


async def _note_new(
    _session: aiohttp.ClientSession, context: SimpleNamespace, _details: Any
) -> None:
    if isinstance(context.trace_request_ctx, ConnectionUse):
        context.trace_request_ctx.is_new = True


async def _refuse_repeat(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Raises errors after which aiohttp would repeat a request as others."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise UnansweredError from error
