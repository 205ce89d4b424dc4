"""A relay of TCP links that can be cut and restored.

Run as `python -m standins.relay CONTROL LISTEN=TARGET [LISTEN=TARGET ...]`.
POST {"LISTEN": false} to http://CONTROL/links cuts a link: the relay holds
the bytes of both directions, and of new connections, until the same call with
true restores the link.
"""

import asyncio
import socket
import struct
import sys
import time

from aiohttp import web

CHUNK_BYTES = 65_536


class Relay:
    """One relayed link, whose target sees the addresses of its callers.

    Attributes:
        open: set while bytes pass; otherwise the relay holds the bytes of both
            directions.
        to_target: set while bytes pass to the target.
        to_client: set while bytes pass to the side that connected.
        delay_s: the delay of each chunk in seconds.
        resets_new: whether new connections are reset.
        failed_connects: the monotonic times in seconds at which the
            connection to the target failed.
    """

    def __init__(self, target: str) -> None:
        """Initializes an open link to a target."""
        self.open = asyncio.Event()
        self.to_target = asyncio.Event()
        self.to_client = asyncio.Event()
        self.delay_s = 0.0
        self.resets_new = False
        self.failed_connects: list[float] = []
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self.heal()

    def heal(self) -> None:
        """Ends all faults; held bytes pass first."""
        self.delay_s = 0
        self.resets_new = False
        for gate in (self.open, self.to_target, self.to_client):
            gate.set()

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            reset(writer)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relays one connection until both directions have ended."""
        await self.open.wait()
        host, _, port = self._target.rpartition(':')
        if self.resets_new:
            reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, port, local_addr=_caller_of(writer)
            )
        except OSError:
            self.failed_connects.append(time.monotonic())
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        await asyncio.gather(
            self._pump(reader, far_writer, self.to_target),
            self._pump(far_reader, writer, self.to_client),
        )
        self._writers -= pair

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self.open.wait()
                await gate.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()


def _caller_of(writer: asyncio.StreamWriter) -> tuple[str, int]:
    """Returns the loopback address that a connection comes from."""
    host, _ = writer.get_extra_info('peername')
    return host, 0


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset instead of an orderly close."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


async def _serve(control: str, pairs: list[str]) -> None:
    links = {}
    for pair in pairs:
        address, _, target = pair.partition('=')
        links[address] = Relay(target)
        host, _, port = address.rpartition(':')
        await asyncio.start_server(links[address].serve, host, int(port))

    async def switch(request: web.Request) -> web.Response:
        for address, is_open in (await request.json()).items():
            event = links[address].open
            event.set() if is_open else event.clear()
        return web.json_response({})

    app = web.Application()
    app.add_routes([web.post('/links', switch)])
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = control.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    await asyncio.Event().wait()


def main() -> None:
    """Serves until the process is ended."""
    asyncio.run(_serve(sys.argv[1], sys.argv[2:]))


if __name__ == '__main__':
    main()
