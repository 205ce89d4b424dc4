"""A relay of TCP links that can be cut and healed.

Run as `python -m standins.relay CONTROL LISTEN=TARGET [LISTEN=TARGET ...]`.
POST {"LISTEN": false} to http://CONTROL/links cuts a link: its bytes wait,
both ways, and new connections get nothing, until it is healed with true.
"""

import asyncio
import sys

from aiohttp import web

CHUNK_BYTES = 65_536


class Relay:
    """One relayed link."""

    def __init__(self, target: str) -> None:
        """Makes an open link to a target."""
        self.open = asyncio.Event()
        self.open.set()
        self._target = target

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relays one connection."""
        await self.open.wait()
        host, _, port = self._target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, far_writer),
            self._pump(far_reader, writer),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self.open.wait()
                writer.write(chunk)
                await writer.drain()
        except OSError:
            writer.transport.abort()
        writer.close()


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
