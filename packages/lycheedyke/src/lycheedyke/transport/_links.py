"""Request-reply links between the control ports of instances."""

import asyncio
import contextlib
import functools
import logging
import weakref
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol, TypeVar

import pynng

from lycheedyke.exceptions import (
    ConnectError,
    ExchangeBroken,
    ExchangeTimeout,
)
from lycheedyke.transport._probes import probe

MAX_MESSAGE_BYTES = 1_048_576
LISTENER_CONTEXTS = 8
MAX_CONCURRENT_REQUESTS = 4
CONNECT_TIMEOUT = timedelta(milliseconds=200)
PROBE_TIMEOUT = timedelta(milliseconds=250)
HANDLER_TIMEOUT = timedelta(seconds=5)
ERROR_DELAY = timedelta(milliseconds=50)

_Result = TypeVar('_Result')

PeerHandler = Callable[[bytes], Awaitable[bytes | None]]

_logger = logging.getLogger(__name__)


class Link(Protocol):
    """Sends requests to one peer."""

    async def request(self, message: bytes, *, timeout: timedelta) -> bytes:
        """Sends a message and returns the reply."""

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""


class PeerListener:
    """Receives messages from peers at one address, and replies to them.

    Args:
        address: `ip:port` to listen on.
        handler: called with a message; returns the reply, or None to send
            no reply.
    """

    def __init__(self, address: str, handler: PeerHandler) -> None:
        """Initializes the listener, which `open` starts."""
        self._address = address
        self._handler = handler
        self._socket: pynng.Rep0 | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        """Returns the address."""
        return f'PeerListener({self._address!r})'

    def open(self) -> None:
        """Listens, and starts the tasks that reply to messages."""
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(f'tcp://{self._address}')
        self._tasks = [
            asyncio.create_task(self._serve(self._socket))
            for _ in range(LISTENER_CONTEXTS)
        ]

    async def close(self) -> None:
        """Stops listening and ends the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()

    async def _serve(self, socket: pynng.Rep0) -> None:
        while True:
            try:
                with socket.new_context() as context:
                    await self._serve_context(context)
            except pynng.Closed:
                return
            except (pynng.NNGException, TimeoutError) as error:
                _logger.debug('control message lost: %r', error)
                await asyncio.sleep(ERROR_DELAY.total_seconds())

    async def _serve_context(self, context: pynng.Context) -> None:
        while True:
            message = await _await_operation(context.arecv())
            reply = await self._handle(message)
            if reply is not None:
                async with asyncio.timeout(HANDLER_TIMEOUT.total_seconds()):
                    await _await_operation(context.asend(reply))

    async def _handle(self, message: bytes) -> bytes | None:
        try:
            async with asyncio.timeout(HANDLER_TIMEOUT.total_seconds()):
                return await self._handler(message)
        except TimeoutError:
            _logger.warning('no reply to a control message: handler timed out')
        except Exception:
            # An error of the handler must not end the task of this context.
            _logger.exception('no reply to a control message: handler failed')
        return None


class PeerLink:
    """Sends requests to one peer, a few of them at the same time.

    Args:
        address: `ip:port` of the peer's control port.
    """

    def __init__(self, address: str) -> None:
        """Initializes the link, which connects at the first request."""
        self._address = address
        self._socket: pynng.Req0 | None = None
        self._connected = asyncio.Event()
        self._request_limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    def __repr__(self) -> str:
        """Returns the address."""
        return f'PeerLink({self._address!r})'

    async def request(self, message: bytes, *, timeout: timedelta) -> bytes:
        """Sends a message and returns the reply.

        The timeout includes the time to wait for earlier requests.

        Raises:
            ConnectionRefusedByHost: no process listens at the address.
            ConnectError: the link could not be opened.
            ExchangeBroken: the connection was lost.
            ExchangeTimeout: no reply within `timeout`.
        """
        task = asyncio.create_task(self._request_within_limit(message))
        task.add_done_callback(_retrieve_error)
        try:
            # A cancelled operation of pynng may never end, so a task that
            # has timed out is cancelled but not awaited.
            await asyncio.wait({task}, timeout=timeout.total_seconds())
        finally:
            task.cancel()
        if task.done():
            return task.result()
        self.close()
        self._request_limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        raise ExchangeTimeout(f'peer {self._address}: no reply')

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _request_within_limit(self, message: bytes) -> bytes:
        async with self._request_limit:
            return await self._request(message)

    async def _request(self, message: bytes) -> bytes:
        socket = await self._open()
        try:
            with socket.new_context() as context:
                await _await_operation(context.asend(message))
                return bytes(await _await_operation(context.arecv()))
        except pynng.NNGException as error:
            self._close_if_current(socket)
            raise ExchangeBroken(
                f'peer {self._address}: {error!r}',
            ) from error

    async def _open(self) -> pynng.Req0:
        if self._socket is None:
            self._connected = asyncio.Event()
            self._socket = self._dial()
        socket = self._socket
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                await self._connected.wait()
        except TimeoutError:
            await self._probe(socket)
        return socket

    def _dial(self) -> pynng.Req0:
        try:
            socket = pynng.Req0(
                recv_max_size=MAX_MESSAGE_BYTES,
                resend_time=-1,
            )
            # pynng calls these callbacks in its own threads.
            loop = asyncio.get_running_loop()
            socket.add_post_pipe_connect_cb(
                functools.partial(_call_in_loop, loop, self._connected.set),
            )
            socket.add_post_pipe_remove_cb(
                functools.partial(
                    _call_in_loop,
                    loop,
                    functools.partial(
                        self._handle_disconnect, weakref.ref(socket)
                    ),
                ),
            )
            socket.dial(f'tcp://{self._address}', block=False)
        except pynng.NNGException as error:
            raise ConnectError(
                f'peer {self._address}: {error!r}',
            ) from error
        return socket

    def _handle_disconnect(self, lost: weakref.ref[pynng.Req0]) -> None:
        self._close_if_current(lost())

    def _close_if_current(self, socket: pynng.Req0 | None) -> None:
        """Closes the link if the socket is still the current one."""
        if socket is not None and self._socket is socket:
            self.close()

    async def _probe(self, socket: pynng.Req0) -> None:
        """Raises an error if no connection to the peer can be made."""
        try:
            await probe(self._address, timeout=PROBE_TIMEOUT)
        except ConnectError:
            self._close_if_current(socket)
            raise


async def _await_operation(operation: Awaitable[_Result]) -> _Result:
    """Awaits an operation of pynng without losing a cancellation.

    pynng ignores a cancellation if the operation ends just before.
    """
    task = asyncio.current_task()
    before = task.cancelling() if task else 0
    try:
        return await operation
    finally:
        if task and task.cancelling() > before:
            raise asyncio.CancelledError


def _retrieve_error(task: asyncio.Task[bytes]) -> None:
    """Marks the error of a task as retrieved, as nothing may await it."""
    if not task.cancelled():
        task.exception()


def _call_in_loop(
    loop: asyncio.AbstractEventLoop,
    callback: Callable[[], None],
    _pipe: pynng.Pipe,
) -> None:
    with contextlib.suppress(RuntimeError):
        loop.call_soon_threadsafe(callback)
