"""Request-and-reply links between the control ports of instances."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pynng

from lycheedyke.exceptions import ConnectionNotMade, ExchangeTimeout

MAX_MESSAGE_BYTES = 1_048_576
CONTEXTS = 8
MILLISECONDS = 1000

PeerHandler = Callable[[bytes], Awaitable[bytes | None]]

_logger = logging.getLogger(__name__)


class PeerListener:
    """Answers peers' messages at one address.

    Args:
        address: `ip:port` to listen at.
        handler: gets a message, returns the reply, or None for no reply.
    """

    def __init__(self, address: str, handler: PeerHandler) -> None:
        """Makes a listener that is not open yet."""
        self._address = address
        self._handler = handler
        self._socket: pynng.Rep0 | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        """Returns the address."""
        return f'PeerListener({self._address!r})'

    def open(self) -> None:
        """Listens, and answers in tasks of the running loop."""
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(f'tcp://{self._address}')
        self._tasks = [
            asyncio.create_task(self._answer(self._socket.new_context()))
            for _ in range(CONTEXTS)
        ]

    async def close(self) -> None:
        """Stops listening and ends the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()

    async def _answer(self, context: pynng.Context) -> None:
        while True:
            message = await context.arecv()
            reply = await self._handler(message)
            if reply is None:
                continue
            try:
                await context.asend(reply)
            except pynng.NNGException as error:
                _logger.debug('reply lost: %r', error)


class PeerLink:
    """Asks one peer; requests on one link go one after another.

    Args:
        address: `ip:port` of the peer's control port.
    """

    def __init__(self, address: str) -> None:
        """Makes a link that connects at the first request."""
        self._address = address
        self._socket: pynng.Req0 | None = None
        self._lock = asyncio.Lock()

    def __repr__(self) -> str:
        """Returns the address."""
        return f'PeerLink({self._address!r})'

    async def ask(self, message: bytes, *, timeout: timedelta) -> bytes:
        """Sends a message and returns the reply.

        Raises:
            ConnectionNotMade: the link could not be opened.
            ExchangeTimeout: no reply within `timeout`.
        """
        async with self._lock:
            socket = self._open()
            limit_ms = int(timeout.total_seconds() * MILLISECONDS)
            socket.send_timeout = limit_ms
            socket.recv_timeout = limit_ms
            try:
                await socket.asend(message)
                return bytes(await socket.arecv())
            except pynng.NNGException as error:
                self.close()
                raise ExchangeTimeout(
                    f'peer {self._address}: {error!r}',
                ) from error

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _open(self) -> pynng.Req0:
        if self._socket is None:
            try:
                self._socket = pynng.Req0(
                    recv_max_size=MAX_MESSAGE_BYTES,
                    resend_time=-1,
                )
                self._socket.dial(f'tcp://{self._address}', block=False)
            except pynng.NNGException as error:
                raise ConnectionNotMade(
                    f'peer {self._address}: {error!r}',
                ) from error
        return self._socket
