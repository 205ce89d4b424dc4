"""The processes and stand-ins of a soak, and the links between them."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from aiohttp import web

from standins.deployment import free_ports
from standins.gateway_testbed import LOCATION_SETTINGS, PLATFORM_DIR
from standins.registry_store import (
    FakeRegistryStore,
    config_value,
    upstream_value,
)
from standins.relay import Relay
from standins.scripted_upstream import ScriptedUpstream

ZONES = {'norr-a': 'norr', 'norr-b': 'norr', 'syd-a': 'syd'}
INSTANCES_PER_ZONE = 2
UPSTREAMS = 6
SLOTS = 4
COLD_SECONDS = 3
COLD_PER_S = 7.1
REPEAT_RATIO = 0.2
REPEAT_WINDOW_SECONDS = 10
REPEAT_EXTRA = 30
LEASE_SWEEP_SECONDS = 0.1
START_SECONDS = 20
ROUTES = (
    {'name': 'read', 'prefix': '/read/', 'service': 'desk'},
    {
        'name': 'order',
        'prefix': '/order/',
        'type': 'unsafe',
        'service': 'desk',
    },
)
SETTINGS = (
    LOCATION_SETTINGS
    + """
[limits]
stop_grace = 4s

[repeats]
ratio = {ratio}
window = {window}s
extra = {extra}

[logs]
level = {level}
sampled_of = 1
lines_per_s = 1000

[zones]
norr-a = norr
norr-b = norr
syd-a = syd
"""
)


class Upstream(ScriptedUpstream):
    """An upstream whose answers name the request that they belong to.

    Attributes:
        left_at: when the store had acknowledged that it leaves, in seconds
            of the monotonic clock.
        cold_from: when it began to be cold.
    """

    def __init__(self, name: str) -> None:
        """Makes an upstream that does not listen yet."""
        super().__init__(name)
        self.left_at: float | None = None
        self.cold_from: float | None = None

    def _make_body(self, headers: dict[str, str]) -> bytes:
        request = headers['Lycheedyke-Request-Id']
        return json.dumps({'ran': request, 'pad': 'x' * 200}).encode()


class Seat(NamedTuple):
    """The place and ports of one instance; links to it and from it."""

    name: str
    zone: str
    ports: list[int]
    callers: str
    store: str

    @property
    def metrics(self) -> str:
        """The address of its metrics."""
        return f'127.0.0.1:{self.ports[4]}'

    @property
    def lookups(self) -> str:
        """The address of its look-ups."""
        return f'127.0.0.1:{self.ports[2]}'


class World:
    """Store, upstreams, links and gateways; used with `async with`.

    Args:
        folder: for settings and logs.
        rng: chooses what tests do not fix.
    """

    def __init__(self, folder: Path, rng: random.Random) -> None:
        """Chooses addresses; nothing is started."""
        self.store = FakeRegistryStore()
        self.upstreams: list[Upstream] = []
        self.seats: dict[str, Seat] = {}
        self.links: dict[str, Relay] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.started: dict[str, float] = {}
        self.number = 1
        self.acknowledged: list[tuple[float, int]] = []
        self._folder = folder
        self._rng = rng
        self._servers: list[asyncio.Server] = []
        self._sweeper: asyncio.Task[None] | None = None
        self._runner = web.AppRunner(
            self.store.app(), access_log=None, shutdown_timeout=1
        )
        self._names = 0

    async def __aenter__(self) -> 'World':
        """Starts everything, and waits until the instances are ready."""
        await self._runner.setup()
        port = free_ports(1)[0]
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        self._sweeper = asyncio.create_task(self._end_leases())
        self.configure(list(ROUTES))
        for at in range(UPSTREAMS):
            await self.add_upstream(list(ZONES)[at % len(ZONES)])
        for zone in ZONES:
            for at in range(INSTANCES_PER_ZONE):
                await self._add_seat(f'{zone}-{at}', zone, port)
        for name in self.seats:
            self.start(name)
        for name in self.seats:
            await self.wait_ready(name)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends what was started."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for server in self._servers:
            server.close()
        for link in self.links.values():
            link.reset()
        for upstream in self.upstreams:
            await upstream.close()
        await self._runner.cleanup()

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Writes the next version of the configuration."""
        self.number += self._rng.randint(1, 3)
        self.store.put('op/config', config_value(self.number, routes))
        self.acknowledged.append((time.monotonic(), self.number))

    async def add_upstream(
        self,
        zone: str,
        port: int = 0,
        *,
        is_cold: bool = False,
    ) -> Upstream:
        """Starts an upstream behind a link, and registers it."""
        self._names += 1
        upstream = Upstream(f'i-{self._names}')
        upstream.run_s = 0.02
        await upstream.open(port)
        self.upstreams.append(upstream)
        address = await self._link(upstream.name, upstream.address)
        if is_cold:
            upstream.cold_from = time.monotonic()
        self.register(upstream, zone, address, is_cold=is_cold)
        return upstream

    def register(
        self,
        upstream: Upstream,
        zone: str,
        address: str,
        *,
        is_cold: bool = False,
    ) -> None:
        """Writes what an upstream says of itself."""
        value = upstream_value(
            'desk',
            address,
            zone=zone,
            slots=SLOTS,
            coldLeft=f'{COLD_SECONDS if is_cold else 0}s',
        )
        self.store.put(f'servers/{upstream.name}', value)

    def leave(self, upstream: Upstream) -> None:
        """Writes that an upstream is leaving."""
        key = f'servers/{upstream.name}'
        value = json.loads(self.store.value(key))
        self.store.put(key, {**value, 'state': 'draining'})
        upstream.left_at = time.monotonic()

    def remove(self, upstream: Upstream) -> None:
        """Removes an upstream's record."""
        self.store.remove(f'servers/{upstream.name}')

    def start(self, name: str, level: str = 'info') -> None:
        """Starts the process of an instance."""
        self.write_settings(name, level)
        with (self._folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(PLATFORM_DIR / 'launch.py')],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'LYCHEEDYKE_BOOT': str(self._folder / f'{name}.ini'),
                },
            )
        self.started[name] = time.monotonic()

    def write_settings(self, name: str, level: str = 'info') -> None:
        """Writes the settings file of an instance."""
        seat = self.seats[name]
        seeds = [
            f'127.0.0.1:{other.ports[3]}'
            for other in self.seats.values()
            if other.name != name
        ]
        text = SETTINGS.format(
            name=name,
            zone=seat.zone,
            region=ZONES[seat.zone],
            ports=seat.ports,
            metrics=seat.metrics,
            seeds=', '.join(seeds),
            store=seat.store,
            ratio=REPEAT_RATIO,
            window=REPEAT_WINDOW_SECONDS,
            extra=REPEAT_EXTRA,
            level=level,
        )
        (self._folder / f'{name}.ini').write_text(text)

    async def wait_ready(self, name: str) -> None:
        """Waits until an instance says that it is ready.

        Raises:
            TimeoutError: it did not within `START_SECONDS`.
        """
        address = self.seats[name].ports[1]
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', address
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.write(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
            status = await reader.readline()
            writer.close()
            if b' 200 ' in status:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{name} is not ready')

    async def _add_seat(self, name: str, zone: str, store: int) -> None:
        ports = free_ports(5)
        callers = await self._link(f'callers {name}', f'127.0.0.1:{ports[0]}')
        to_store = await self._link(f'store {name}', f'127.0.0.1:{store}')
        self.seats[name] = Seat(name, zone, ports, callers, to_store)

    async def _link(self, name: str, target: str) -> str:
        link = Relay(target)
        self.links[name] = link
        server = await asyncio.start_server(link.serve, '127.0.0.1', 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SWEEP_SECONDS)
            if not self.store.down and not self.store.silent:
                self.store.end_expired_leases()
