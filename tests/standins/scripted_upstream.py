"""Stand-in of an upstream that follows a script of faults.

It writes raw HTTP responses, so that tests can make it violate the protocol.
`script` holds the actions for the next requests; if it is empty, the upstream
answers them. It runs a request only if the request expects this instance.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import NamedTuple

from standins.deployment import free_ports
from standins.relay import reset

REQUEST_ID = 'Lycheedyke-Request-Id'
SEAL = 'Lycheedyke-Server-Seal: seal-1\r\n'
# Refusals that an upstream sends although it runs the request.
STALE = MappingProxyType(
    {
        'stale-503': ('503 Busy', 'Lycheedyke-Not-Run: 1\r\n'),
        'stale-429': ('429 Busy', 'Lycheedyke-Not-Run: 1\r\n'),
        'stale-421': ('421 Misdirected', ''),
        'stale-421-unnamed': ('421 Misdirected', ''),
        'stale-503-unnamed': ('503 Busy', 'Lycheedyke-Not-Run: 1\r\n'),
    }
)


Respond = Callable[[asyncio.StreamWriter, str], Awaitable[bool]]


class Arrival(NamedTuple):
    """A request as the upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float


class ScriptedUpstream:
    """One upstream on a loopback port.

    Attributes:
        name: its id; requests that expect another instance get 421.
        script: names of the actions for the next requests.
        run_s: the run time of a request in seconds.
        run_of_path: returns the run time of a request by its target.
        body: the body of the answers.
        respond: writes the answers to requests that run, from their ids;
            returns whether the connection stays open. None to write `body`.
        says: header lines of all its answers, each with its line break.
        load: the load that complete answers report.
        crashes_on: a path, with a query or for any query, that ends the
            upstream once a request for it begins to run, as the action `crash`
            does.
        crashed: set when the upstream has ended.
        bodiless: the status line and fields, each with its line end, of all
            answers, which then have no body; '' for ordinary answers.
        arrivals: all received requests, whether they ran or not.
        started: the ids of the requests that began to run.
        disconnected: the ids of the requests whose connection was closed
            while they ran.
    """

    def __init__(self, name: str) -> None:
        """Initializes an upstream that does not listen yet."""
        self.name = name
        self.script: deque[str] = deque()
        self.run_s = 0.005
        self.run_of_path: Callable[[str], float] = lambda _: self.run_s
        self.body = b'{"ran": "whole"}'
        self.respond: Respond | None = None
        self.says = ''
        self.load = '1,0,3'
        self.bodiless = ''
        self.crashes_on = ''
        self.crashed = asyncio.Event()
        self.arrivals: list[Arrival] = []
        self.started: list[str] = []
        self.disconnected: list[str] = []
        self.address = ''
        self._server: asyncio.Server | None = None
        self._end: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, port: int = 0) -> None:
        """Starts to listen; port 0 selects a free port.

        It is none that the operating system gives to outgoing connections,
        as a test may close it and listen there again.
        """
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port or free_ports(1)[0]
        )
        host, bound = self._server.sockets[0].getsockname()
        self.address = f'{host}:{bound}'

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        disconnects = (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        )
        with contextlib.suppress(*disconnects):
            while await self._serve_one(reader, writer):
                continue
        self._tasks.discard(task)
        writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        lines = head.split('\r\n')
        method, target, _ = lines[0].split(' ')
        # Of a repeated header, the first one counts.
        headers = dict(
            line.split(': ', 1) for line in reversed(lines[1:]) if line
        )
        action = self.script.popleft() if self.script else 'answer'
        length = int(headers.get('Content-Length', '0'))
        if action == 'early':
            # Sends the response before it has read the body, then reads it.
            await self._answer(writer, headers, b'{"ran": "early"}')
            await reader.readexactly(length)
            return True
        body = await reader.readexactly(length) if length else b''
        if 'chunked' in headers.get('Transfer-Encoding', ''):
            body = await _read_chunks(reader)
        self.arrivals.append(
            Arrival(
                method, target, headers, body, asyncio.get_running_loop().time()
            )
        )
        if headers.get('Lycheedyke-Expect-Instance') != self.name:
            await self._send(writer, headers, '421 Misdirected', '', b'')
            return True
        is_crashing = self.crashes_on in {target, target.partition('?')[0]}
        if is_crashing or action == 'crash':
            self.started.append(headers[REQUEST_ID])
            self._end = self._end or asyncio.create_task(self._crash())
            # Closing ends this task.
            await asyncio.Event().wait()
        return await self._perform(action, reader, writer, headers, target)

    async def _crash(self) -> None:
        await asyncio.sleep(self.run_s)
        await self.close()
        self._end = None
        self.crashed.set()

    async def _perform(
        self,
        action: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        target: str,
    ) -> bool:
        if action == 'shed':
            extra = 'Lycheedyke-Not-Run: 1\r\n'
            await self._send(writer, headers, '503 Busy', extra, b'')
            return True
        if action == 'busy':
            await self._send(writer, headers, '503 Busy', SEAL, b'')
            return True
        if action in STALE:
            # An earlier refusal comes again, and then the answer.
            self.started.append(headers[REQUEST_ID])
            await self._send_stale(writer, action)
            await asyncio.sleep(self.run_of_path(target))
            await self._answer(writer, headers, self._make_body(headers))
            return True
        self.started.append(headers[REQUEST_ID])
        if action == 'silent':
            await asyncio.Event().wait()
        if action == 'wait':
            await self._wait_disconnect(reader, headers)
            return False
        await asyncio.sleep(self.run_of_path(target))
        if action == 'lose':
            reset(writer)
            return False
        if action == 'fail':
            await self._send(writer, headers, '500 Failed', SEAL, b'no')
            return True
        if action in {'cut', 'open-cut', 'open'}:
            return await self._send_partial(action, writer, headers)
        if self.respond is not None:
            return await self.respond(writer, headers[REQUEST_ID])
        if self.bodiless:
            writer.write(
                f'HTTP/1.1 {self.bodiless}{SEAL}'
                f'{REQUEST_ID}: {headers[REQUEST_ID]}\r\n\r\n'.encode()
            )
            return 'Connection: close' not in self.bodiless
        if action == 'other':
            headers = {**headers, REQUEST_ID: 'another'}
        await self._answer(writer, headers, self._make_body(headers))
        if action == 'extra':
            await self._answer(writer, headers, b'{"ran": "extra"}')
        return action != 'close'

    def _make_body(self, headers: dict[str, str]) -> bytes:
        return self.body

    async def _send_stale(
        self, writer: asyncio.StreamWriter, action: str
    ) -> None:
        status, extra = STALE[action]
        earlier = {} if 'unnamed' in action else {REQUEST_ID: 'r-0'}
        await self._send(writer, earlier, status, extra, b'')

    async def _wait_disconnect(
        self,
        reader: asyncio.StreamReader,
        headers: dict[str, str],
    ) -> None:
        if await reader.read(1) == b'':
            self.disconnected.append(headers[REQUEST_ID])

    async def _send_partial(
        self,
        action: str,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> bool:
        length = '' if action.startswith('open') else 'Content-Length: 90\r\n'
        writer.write(
            f'HTTP/1.1 200 OK\r\n{length}{SEAL}Lycheedyke-Request-Id: '
            f'{headers[REQUEST_ID]}\r\n'
            f'Connection: close\r\n\r\nhalf'.encode(),
        )
        await writer.drain()
        await asyncio.sleep(0.02)
        if action != 'open':
            reset(writer)
        return False

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        load = f'Lycheedyke-Server-Load: {self.load}\r\n'
        await self._send(writer, headers, '200 OK', SEAL + load, body)

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        status: str,
        extra: str,
        body: bytes,
    ) -> None:
        extra = f'{extra}{self.says}'
        if REQUEST_ID in headers:
            extra = f'{extra}{REQUEST_ID}: {headers[REQUEST_ID]}\r\n'
        writer.write(
            f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n'
            f'{extra}\r\n'.encode()
            + body,
        )
        await writer.drain()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body
