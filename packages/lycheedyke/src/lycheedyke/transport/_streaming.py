"""Passes the body of a response on while it arrives."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import aiohttp
import multidict

from lycheedyke.exceptions import BodyTooLarge
from lycheedyke.transport._framing import has_body


class BodySink(Protocol):
    """Takes the body of one response."""

    def begin(self, break_off: Callable[[], None]) -> None:
        """Begins to take the body.

        Args:
            break_off: ends the exchange if the memory of the body is needed
                for another one.
        """

    async def write(self, chunk: bytes) -> None:
        """Takes received bytes, and waits until there is room for them.

        Raises:
            BodyMemoryFull: the body was broken off as the largest one.
        """

    def end(self) -> None:
        """Notes that all bytes were received."""

    def fail(self) -> None:
        """Notes that the rest of the body does not come."""


# Returns where to write a body with a length; None to read it as a whole.
Accept = Callable[[int, multidict.CIMultiDictProxy[str]], BodySink | None]


def find_sink(
    method: str, response: aiohttp.ClientResponse, accept: Accept | None
) -> BodySink | None:
    """Returns where to write the body of a response while it arrives.

    Args:
        method: the method of the request.
        response: the response, whose head has been read.
        accept: decides from the status and the headers; None without one.
    """
    if accept is None or not has_body(method, response.status):
        return None
    has_coding = 'Transfer-Encoding' in response.headers
    if has_coding or response.content_length is None:
        return None
    return accept(response.status, response.headers)


async def pass_on(
    response: aiohttp.ClientResponse,
    sink: BodySink,
    max_bytes: int,
    break_off: Callable[[], None],
    on_progress: Callable[[], None],
) -> None:
    """Writes the body of a response to a sink until it is complete.

    Args:
        response: the response, whose head has been read.
        sink: takes the body.
        max_bytes: the maximum size of the body.
        break_off: ends the exchange if the sink breaks the body off.
        on_progress: called when a part of the body has arrived.

    Raises:
        BodyTooLarge: the body is too large, or it was broken off.
    """
    sink.begin(break_off)
    try:
        await _write_all(response, sink, max_bytes, on_progress)
    except BaseException:
        sink.fail()
        raise
    sink.end()


async def _write_all(
    response: aiohttp.ClientResponse,
    sink: BodySink,
    max_bytes: int,
    on_progress: Callable[[], None],
) -> None:
    length = response.content_length or 0
    if length > max_bytes:
        raise BodyTooLarge(
            f'{length} bytes; at most {max_bytes} are allowed',
        )
    received = 0
    async for chunk in response.content.iter_any():
        received += len(chunk)
        on_progress()
        await sink.write(chunk)
        if not response.content.at_eof():
            # The next read may return at once; others get their turn.
            await asyncio.sleep(0)
    if received != length:
        raise aiohttp.ClientPayloadError(
            f'{received} of {length} bytes were received'
        )
