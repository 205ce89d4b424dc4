"""Bounds what a connection may send besides the bodies of responses."""

from typing import Any

from aiohttp.client_proto import ResponseHandler

from lycheedyke.exceptions import ExchangeBroken, ResponseTooLarge

# The heads of one response, with those of its informational responses.
MAX_HEADS_BYTES = 131_072
MAX_INFORMATIONAL_RESPONSES = 32
# What heads and the framing of a chunked body may take, besides as many bytes
# as the content of the body.
MAX_FRAMING_BYTES = MAX_HEADS_BYTES + 65_536
# Received bytes are parsed in slices, so that few are parsed beyond a limit.
SLICE_BYTES = 8192
HTTP_SWITCHING_PROTOCOLS = 101
HTTP_OK = 200
# Below 100 there is none, and no request asks for another protocol.
_NO_STATUSES = frozenset((*range(100), HTTP_SWITCHING_PROTOCOLS))


class BoundedResponseHandler(ResponseHandler):
    """Parses responses, and closes the connection at the first excess.

    A response may have informational responses before it, headers, and a body
    with some framing, all within limits. Bytes that follow a complete response
    belong to no request, so they end the connection without being parsed.
    """

    def __init__(self, loop: Any) -> None:
        """Initializes the handler for a connection without a response."""
        super().__init__(loop)
        self._received = 0
        self._informational = 0
        self._has_head = False
        self._is_refused = False
        self._held = b''
        self.keep_alive: str | None = None

    def set_response_params(self, **params: Any) -> None:
        """Prepares for the next response on this connection."""
        self._received = 0
        self._informational = 0
        self._has_head = False
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, or resumes parsing if there are none.

        While the reader of a body is behind, the rest is held unparsed.
        """
        received = self._held + data
        self._held = b''
        if not received:
            self._receive(received)
        for start in range(0, len(received), SLICE_BYTES):
            if self._is_refused:
                return
            if self._reading_paused:
                self._held = received[start:]
                return
            self._receive(received[start : start + SLICE_BYTES])

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the exchange, and drops bytes that were held unparsed."""
        self._held = b''
        super().connection_lost(exc)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Accepts a parsed head, and the content of its body to come."""
        message, _ = data
        if self._is_refused:
            return
        if self._has_head:
            self._refuse(ExchangeBroken('bytes after a complete response'))
            return
        if message.code in _NO_STATUSES:
            self._refuse(ExchangeBroken(f'status {message.code}'))
            return
        if message.code >= HTTP_OK:
            self._has_head = True
            self.keep_alive = message.headers.get('Keep-Alive')
        else:
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL_RESPONSES:
                self._refuse(ResponseTooLarge('too many informational ones'))
                return
        super().feed_data(data, size)

    def _receive(self, data: bytes) -> None:
        if data and self._is_complete():
            self._refuse(ExchangeBroken('bytes after a complete response'))
            return
        self._received += len(data)
        ResponseHandler.data_received(self, data)
        if not self._is_refused:
            self._check_size()
        if self._is_refused:
            # The end of the connection must not replace the error.
            self._payload = None

    def _is_complete(self) -> bool:
        payload = self._payload
        return self._has_head and payload is not None and payload.is_eof()

    def _check_size(self) -> None:
        if not self._has_head:
            if self._received > MAX_HEADS_BYTES:
                self._refuse(
                    ResponseTooLarge(f'{self._received} bytes of heads')
                )
            return
        content = self._payload.total_bytes if self._payload else 0
        framing = self._received - content
        if framing > MAX_FRAMING_BYTES + content:
            self._refuse(
                ResponseTooLarge(f'{framing} bytes beside {content} of content')
            )

    def _refuse(self, error: ExchangeBroken) -> None:
        """Closes the connection; its exchange, if any, fails."""
        self._is_refused = True
        if self.transport is not None:
            self.transport.abort()
        self.set_exception(error)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
