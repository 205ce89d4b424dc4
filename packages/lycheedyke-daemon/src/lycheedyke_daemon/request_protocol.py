"""Bounds the heads of requests that a connection sends."""

from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

# The head of one request; each of its fields has a limit of its own.
MAX_HEAD_BYTES_IN_ALL = 131_072


class BoundedRequestHandler(RequestHandler):
    """Answers 400 to a request whose head exceeds the limit.

    The requests before it on the connection are answered first, and what
    follows is not parsed. Bytes that arrive while a body is incomplete do not
    count.
    """

    __slots__ = ('_head_bytes', '_is_refused', '_payload')

    def __init__(self, *args: Any, **options: Any) -> None:
        """Initializes the handler for a connection without a request."""
        super().__init__(*args, **options)
        self._head_bytes = 0
        self._is_refused = False
        self._payload: StreamReader | None = None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._is_refused:
            return
        requests = self._request_count
        is_in_head = self._payload is None or self._payload.is_eof()
        super().data_received(data)
        if self._request_count != requests:
            self._head_bytes = 0
            if self._messages:
                self._payload = self._messages[-1][1]
        elif is_in_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES_IN_ALL:
                self._refuse_head()

    def _refuse_head(self) -> None:
        """Adds an error after the parsed requests, as for malformed bytes."""
        self._is_refused = True
        error = BadHttpMessage('the head of the request is too large')
        refused = _ErrInfo(status=error.code, exc=error, message=error.message)
        self._messages.append((refused, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class BoundedRunner(web.AppRunner):
    """Runs an application whose connections bound the heads of requests."""

    __slots__ = ()

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        server.__class__ = _BoundedServer
        return server


class _BoundedServer(web.Server):
    """Makes a protocol for each connection."""

    def __call__(self) -> RequestHandler:
        return BoundedRequestHandler(self, loop=self._loop, **self._kwargs)
