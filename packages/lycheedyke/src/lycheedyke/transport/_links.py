"""Request-and-reply links between the control ports of instances."""

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
CONTEXTS = 8
MOST_CONCURRENT = 4
CONNECT_LIMIT = timedelta(milliseconds=200)
PROBE_LIMIT = timedelta(milliseconds=250)
HANDLER_LIMIT = timedelta(seconds=5)
ERROR_PAUSE = timedelta(milliseconds=50)

_Outcome = TypeVar('_Outcome')

PeerHandler = Callable[[bytes], Awaitable[bytes | None]]

_logger = logging.getLogger(__name__)


class Link(Protocol):
    """A way to ask one peer."""

    async def request(self, message: bytes, *, timeout: timedelta) -> bytes:
        """Sends a message and returns the reply."""

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""


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
            asyncio.create_task(self._answer(self._socket))
            for _ in range(CONTEXTS)
        ]

    async def close(self) -> None:
        """Stops listening and ends the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()

    async def _answer(self, socket: pynng.Rep0) -> None:
        while True:
            try:
                with socket.new_context() as context:
                    await self._answer_all(context)
            except pynng.Closed:
                return
            except (pynng.NNGException, TimeoutError) as error:
                _logger.debug('reply lost: %r', error)
                await asyncio.sleep(ERROR_PAUSE.total_seconds())

    async def _answer_all(self, context: pynng.Context) -> None:
        while True:
            message = await _complete(context.arecv())
            reply = await self._handle(message)
            if reply is not None:
                async with asyncio.timeout(HANDLER_LIMIT.total_seconds()):
                    await _complete(context.asend(reply))

    async def _handle(self, message: bytes) -> bytes | None:
        try:
            async with asyncio.timeout(HANDLER_LIMIT.total_seconds()):
                return await self._handler(message)
        except TimeoutError:
            _logger.warning('message not answered in time')
        except Exception:
            # A fault in one answer must not end the task of this context.
            _logger.exception('message not answered')
        return None


class PeerLink:
    """Asks one peer; a few requests may be under way at the same time.

    Args:
        address: `ip:port` of the peer's control port.
    """

    def __init__(self, address: str) -> None:
        """Makes a link that connects at the first request."""
        self._address = address
        self._socket: pynng.Req0 | None = None
        self._connected = asyncio.Event()
        self._asking = asyncio.Semaphore(MOST_CONCURRENT)

    def __repr__(self) -> str:
        """Returns the address."""
        return f'PeerLink({self._address!r})'

    async def request(self, message: bytes, *, timeout: timedelta) -> bytes:
        """Sends a message and returns the reply.

        The time includes the wait for requests that are under way.

        Raises:
            ConnectionRefusedByHost: no process listens at the address.
            ConnectError: the link could not be opened.
            ExchangeBroken: the connection was lost.
            ExchangeTimeout: no reply within `timeout`.
        """
        task = asyncio.create_task(self._ask_in_turn(message))
        task.add_done_callback(_take_error)
        try:
            # A cancelled operation of the library may never end, so the
            # task is given up rather than awaited.
            await asyncio.wait({task}, timeout=timeout.total_seconds())
        finally:
            task.cancel()
        if task.done():
            return task.result()
        self.close()
        self._asking = asyncio.Semaphore(MOST_CONCURRENT)
        raise ExchangeTimeout(f'peer {self._address}: no reply')

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _ask_in_turn(self, message: bytes) -> bytes:
        async with self._asking:
            return await self._ask(message)

    async def _ask(self, message: bytes) -> bytes:
        socket = await self._open()
        try:
            with socket.new_context() as context:
                await _complete(context.asend(message))
                return bytes(await _complete(context.arecv()))
        except pynng.NNGException as error:
            self._drop(socket)
            raise ExchangeBroken(
                f'peer {self._address}: {error!r}',
            ) from error

    async def _open(self) -> pynng.Req0:
        if self._socket is None:
            self._connected = asyncio.Event()
            self._socket = self._dial()
        socket = self._socket
        try:
            async with asyncio.timeout(CONNECT_LIMIT.total_seconds()):
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
            # The library calls these in threads of its own.
            loop = asyncio.get_running_loop()
            socket.add_post_pipe_connect_cb(
                functools.partial(_call_in, loop, self._connected.set),
            )
            socket.add_post_pipe_remove_cb(
                functools.partial(
                    _call_in,
                    loop,
                    functools.partial(self._lose, weakref.ref(socket)),
                ),
            )
            socket.dial(f'tcp://{self._address}', block=False)
        except pynng.NNGException as error:
            raise ConnectError(
                f'peer {self._address}: {error!r}',
            ) from error
        return socket

    def _lose(self, lost: weakref.ref[pynng.Req0]) -> None:
        self._drop(lost())

    def _drop(self, socket: pynng.Req0 | None) -> None:
        """Closes a socket, but not one that has taken its place."""
        if socket is not None and self._socket is socket:
            self.close()

    async def _probe(self, socket: pynng.Req0) -> None:
        """Finds out why the library has not connected yet."""
        try:
            await probe(self._address, timeout=PROBE_LIMIT)
        except ConnectError:
            self._drop(socket)
            raise


async def _complete(operation: Awaitable[_Outcome]) -> _Outcome:
    """Awaits an operation of the library, which may swallow a cancellation.

    It does so where the operation ends just before it can be cancelled.
    """
    task = asyncio.current_task()
    before = task.cancelling() if task else 0
    try:
        return await operation
    finally:
        if task and task.cancelling() > before:
            raise asyncio.CancelledError


def _take_error(task: asyncio.Task[bytes]) -> None:
    """Marks an error as seen where nobody waits for the task any more."""
    if not task.cancelled():
        task.exception()


def _call_in(
    loop: asyncio.AbstractEventLoop,
    callback: Callable[[], None],
    _pipe: pynng.Pipe,
) -> None:
    with contextlib.suppress(RuntimeError):
        loop.call_soon_threadsafe(callback)
