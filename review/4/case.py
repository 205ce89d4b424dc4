"""CONFIG: a short cut that refuses connections takes servers out for good."""

import asyncio
import contextlib
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from platform_standins import (
    READ,
    Client,
    Deployment,
    Server,
    config,
    main,
)

SEED = 3
CLIENTS = 15
ADDED_AT_S = 2.0
# `node_cut` with `servers` and `refuse`: a share of 0.33 of the servers, from
# all machines, for 5.5 s. Site and standard days: 0.35, and 5.5 to 12 s.
CUT_AT_S = 7.0
CUT_S = 5.5
STABLE_S = 4.0
SECONDS = 40.0
DEADLINE_MS = 1500
SIZES = {**READ, 'name': 'size-chart', 'prefix': '/sizes/', 'service': 'guide'}


class Link:
    """The way to one server, which can be cut so that it refuses."""

    def __init__(self, server):
        self._server = server
        self._direct = server.address
        self._writers = set()
        self._listener = None
        self._port = 0

    async def open(self):
        self._listener = await asyncio.start_server(
            self._relay, '127.0.0.1', self._port
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        self._server.address = f'127.0.0.1:{self._port}'

    def cut(self):
        """Refuses new connections, and resets the open ones."""
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def is_healthy(self):
        """Returns whether the server itself takes connections."""
        host, _, port = self._direct.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()
        return True

    async def _relay(self, reader, writer):
        host, _, port = self._direct.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )
        self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65536):
                writer.write(chunk)
                await writer.drain()
        writer.close()


class LinkedServer(Server):
    """A server that is reached over a link.

    It goes on writing its heartbeats to the store. Nothing but `seq` changes,
    so its entry does not change.
    """

    async def open(self, ip='127.0.0.1'):
        await super().open(ip)
        self.link = Link(self)
        await self.link.open()


async def send_on(client, rng, until, sent, record):
    loop = asyncio.get_running_loop()
    paths = ['/stock/2f']
    while loop.time() < until:
        path = rng.choice(paths)
        began = loop.time()
        request, answer = await client.send(
            'GET', path, rng.randrange(50), DEADLINE_MS
        )
        status = answer[0] if answer else 0
        sent.append((began, path, status))
        why = answer[2].decode() if status == 503 else ""
        record.write(f"{request} {path} answered {status} {why}".rstrip())
        await asyncio.sleep(rng.uniform(0.1, 0.3))
        paths = ['/stock/2f', '/sizes/2f']
    client.close()


async def case(record, has_trouble):
    zones = ('pnw-a', 'mountain-a', 'norcal-a')
    desk = [Server(f'i-{at}', zones[at % 3], run_s=0.1) for at in range(6)]
    guide = [
        LinkedServer(f'i-{at}', zones[at % 3], service='guide', run_s=0.1)
        for at in range(6, 9)
    ]
    sent = []
    async with Deployment(desk + guide, zones, (READ,)) as deployment:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.sleep(ADDED_AT_S)
        deployment.store.put('op/config', config(0x15, [READ, SIZES]))
        record.write('version 00000015 adds the route size-chart')
        # The bound `configApply`.
        await asyncio.sleep(2.5)
        sending = [
            asyncio.create_task(
                send_on(
                    Client(deployment.machines[at % 3], f'c{at}'),
                    random.Random(SEED + at),
                    begun + SECONDS,
                    sent,
                    record,
                )
            )
            for at in range(CLIENTS)
        ]
        await asyncio.sleep(begun + CUT_AT_S - loop.time())
        if has_trouble:
            for server in guide:
                server.link.cut()
            record.write('the links to three of nine servers refuse')
        await asyncio.sleep(CUT_S)
        if has_trouble:
            for server in guide:
                assert await server.link.is_healthy()
                await server.link.open()
            record.write('the links are whole; the servers ran all the while')
        healed = loop.time()
        await asyncio.gather(*sending)
        last = [len(server.arrivals) for server in guide]
    statuses = {'/stock/2f': Counter(), '/sizes/2f': Counter()}
    for began, path, status in sent:
        if began > healed + STABLE_S:
            statuses[path][status] += 1
    shares = {
        path: counts[200] / max(1, counts.total())
        for path, counts in statuses.items()
    }
    record.write(f'from {STABLE_S} s after the cut: {statuses}, {shares}')
    record.write(f'requests that reached the three servers all day: {last}')
    is_steady = statuses['/sizes/2f'].total() >= 20
    first, added = shares['/stock/2f'], shares['/sizes/2f']
    is_broken = is_steady and added < first / 4
    if is_broken:
        record.write('CONFIG broken: the added route is served less than a quarter as often')
    print(
        f'from {STABLE_S} s after the cut to the end, {SECONDS} s: first '
        f'route {dict(statuses["/stock/2f"])}, added route '
        f'{dict(statuses["/sizes/2f"])}; served {first:.3f} and {added:.3f}'
    )
    return is_broken


sys.exit(main(case, FOLDER))
