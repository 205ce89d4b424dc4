"""Testbed of the soak test: gateways, stand-ins and the links between them."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import defaultdict
from collections.abc import Iterable
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from aiohttp import web

from bench.soak.echo_upstream import LEAVING, EchoUpstream
from standins.deployment import free_ports
from standins.gateway_testbed import LOCATION_SETTINGS, PLATFORM_DIR
from standins.registry_store import (
    FakeRegistryStore,
    config_value,
    upstream_value,
)
from standins.relay import Relay

ZONES = {'norr-a': 'norr', 'norr-b': 'norr', 'syd-a': 'syd'}
INSTANCES_PER_ZONE = 2
UPSTREAMS = 6
SLOTS = 4
COLD_SECONDS = 3
COLD_PER_S = 7.1
RETRY_RATIO = 0.2
RETRY_WINDOW_SECONDS = 10
RETRY_EXTRA = 30
LEASE_SWEEP_SECONDS = 0.1
FIRST_IDLE_LIMIT = timedelta(milliseconds=1200)
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


class InstanceSpec(NamedTuple):
    """Name, zone, ports and relayed addresses of one instance.

    Attributes:
        name: the instance.
        zone: its zone.
        ports: the ports that it listens on.
        caller_address: address of the relay to its caller port.
        store_address: address of the relay from the instance to the store.
    """

    name: str
    zone: str
    ports: list[int]
    caller_address: str
    store_address: str

    @property
    def metrics_address(self) -> str:
        """The address of the metrics endpoint."""
        return f'127.0.0.1:{self.ports[4]}'

    @property
    def lookup_address(self) -> str:
        """The address of the look-up endpoint."""
        return f'127.0.0.1:{self.ports[2]}'


class ConfigWrite(NamedTuple):
    """A version of the configuration that the store received.

    Attributes:
        at: when, in seconds of the monotonic clock.
        version: its number.
        idle_limit: how long a caller's connection may be idle.
    """

    at: float
    version: int
    idle_limit: timedelta


def may_have_been_idle(
    writes: Iterable[ConfigWrite], idle_since: float, time: float
) -> bool:
    """Returns whether a connection may have reached an idle limit by a time.

    Instances may have any version of the configuration until then.

    Args:
        writes: all versions of the configuration.
        idle_since: the last use of the connection.
        time: the time.
    """
    limits = [each.idle_limit for each in writes if each.at <= time]
    idle = time - idle_since
    return bool(limits) and idle > min(limits).total_seconds()


class Testbed:
    """Store, upstreams, links and gateways; an async context manager.

    Args:
        folder: folder for settings files and logs.
        rng: chooses the increments of the configuration version.
        instances: the number of instances in each zone.

    Attributes:
        folder: folder for settings files and logs.
        pauses: set while an instance is paused for a moment, by its name.
    """

    def __init__(
        self,
        folder: Path,
        rng: random.Random,
        instances: int = INSTANCES_PER_ZONE,
    ) -> None:
        """Initializes the testbed; `async with` starts it."""
        self.store = FakeRegistryStore()
        self.upstreams: list[EchoUpstream] = []
        self.instances: dict[str, InstanceSpec] = {}
        self.links: dict[str, Relay] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.pauses: defaultdict[str, asyncio.Event] = defaultdict(
            asyncio.Event
        )
        self.start_times: dict[str, float] = {}
        self.config_version = 1
        self.config_writes: list[ConfigWrite] = []
        self.idle_limit = FIRST_IDLE_LIMIT
        self.folder = folder
        self._instances_per_zone = instances
        self._routes: list[dict[str, Any]] = []
        self._rng = rng
        self._servers: list[asyncio.Server] = []
        self._lease_task: asyncio.Task[None] | None = None
        self._runner = web.AppRunner(
            self.store.app(), access_log=None, shutdown_timeout=1
        )
        self._upstream_count = 0
        self.crashing_path = f'{rng.choice(ROUTES)["prefix"]}crash'

    async def __aenter__(self) -> 'Testbed':
        """Starts all parts, and waits until the instances are ready."""
        await self._runner.setup()
        port = free_ports(1)[0]
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        self._lease_task = asyncio.create_task(self._expire_leases())
        self.configure(list(ROUTES))
        for at in range(UPSTREAMS):
            await self.add_upstream(list(ZONES)[at % len(ZONES)])
        for zone in ZONES:
            for at in range(self._instances_per_zone):
                await self._add_instance(f'{zone}-{at}', zone, port)
        for name in self.instances:
            self.start(name)
        for name in self.instances:
            await self.wait_ready(name)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops all processes, links and servers."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        if self._lease_task is not None:
            self._lease_task.cancel()
        for server in self._servers:
            server.close()
        for link in self.links.values():
            link.reset()
        for upstream in self.upstreams:
            await upstream.close()
        await self._runner.cleanup()

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Writes the next version of the configuration."""
        self._routes = routes
        self.config_version += self._rng.randint(1, 3)
        milliseconds = self.idle_limit // timedelta(milliseconds=1)
        value = config_value(
            self.config_version, routes, idleTimeout=f'{milliseconds}ms'
        )
        self.config_writes.append(
            ConfigWrite(time.monotonic(), self.config_version, self.idle_limit)
        )
        self.store.put('op/config', value)

    def change_idle_limit(self, limit: timedelta) -> None:
        """Writes a version that differs in its idle limit only."""
        self.idle_limit = limit
        self.configure(self._routes)

    async def add_upstream(
        self,
        zone: str,
        port: int = 0,
        *,
        is_cold: bool = False,
        name: str = '',
        link_port: int = 0,
    ) -> EchoUpstream:
        """Starts an upstream behind a link, and registers it.

        Args:
            zone: its zone.
            port: its port; 0 selects a free port.
            is_cold: whether it is cold at first.
            name: its id; '' selects a new one.
            link_port: the port of its link; 0 selects a free port.
        """
        self._upstream_count += 1
        upstream = EchoUpstream(name or f'i-{self._upstream_count}', zone)
        upstream.crashes_on = self.crashing_path
        await upstream.open(port)
        self.upstreams.append(upstream)
        address = await self._open_link(
            upstream.name, upstream.address, link_port
        )
        upstream.link = self._servers[-1]
        upstream.link_port = int(address.rpartition(':')[2])
        if is_cold:
            upstream.cold_from = time.monotonic()
        self.register(upstream, zone, address, is_cold=is_cold)
        return upstream

    def register(
        self,
        upstream: EchoUpstream,
        zone: str,
        address: str,
        *,
        is_cold: bool = False,
    ) -> None:
        """Writes the record of an upstream to the store."""
        value = upstream_value(
            'desk',
            address,
            born=int(time.time() * 1000),
            zone=zone,
            slots=SLOTS,
            coldLeft=f'{COLD_SECONDS if is_cold else 0}s',
        )
        self.store.put(f'servers/{upstream.name}', value)

    def mark_leaving(self, upstream: EchoUpstream) -> None:
        """Marks an upstream as leaving in the store."""
        key = f'servers/{upstream.name}'
        value = json.loads(self.store.value(key))
        upstream.says = LEAVING
        self.store.put(key, {**value, 'state': 'draining'})
        upstream.left_at = time.monotonic()

    def deregister(self, upstream: EchoUpstream) -> None:
        """Removes the record of an upstream from the store."""
        self.store.remove(f'servers/{upstream.name}')

    def start(self, name: str, level: str = 'info') -> None:
        """Starts the process of an instance."""
        self.write_settings(name, level)
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(PLATFORM_DIR / 'launch.py')],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'LYCHEEDYKE_BOOT': str(self.folder / f'{name}.ini'),
                },
            )
        self.start_times[name] = time.monotonic()

    def write_settings(self, name: str, level: str = 'info') -> None:
        """Writes the settings file of an instance."""
        spec = self.instances[name]
        seeds = [
            f'127.0.0.1:{other.ports[3]}'
            for other in self.instances.values()
            if other.name != name
        ]
        text = SETTINGS.format(
            name=name,
            zone=spec.zone,
            region=ZONES[spec.zone],
            ports=spec.ports,
            metrics=spec.metrics_address,
            seeds=', '.join(seeds),
            store=spec.store_address,
            ratio=RETRY_RATIO,
            window=RETRY_WINDOW_SECONDS,
            extra=RETRY_EXTRA,
            level=level,
        )
        (self.folder / f'{name}.ini').write_text(text)

    async def wait_ready(self, name: str) -> None:
        """Waits until the readiness endpoint of an instance returns 200.

        Raises:
            TimeoutError: the instance is not ready within `START_SECONDS`.
        """
        address = self.instances[name].ports[1]
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
        raise TimeoutError(
            f'{name} is not ready after {START_SECONDS} s; '
            f'its exit status: {self.processes[name].poll()}'
        )

    async def _add_instance(self, name: str, zone: str, store: int) -> None:
        ports = free_ports(5)
        callers = await self._open_link(
            f'callers {name}', f'127.0.0.1:{ports[0]}'
        )
        to_store = await self._open_link(f'store {name}', f'127.0.0.1:{store}')
        self.instances[name] = InstanceSpec(
            name, zone, ports, callers, to_store
        )

    async def _open_link(self, name: str, target: str, port: int = 0) -> str:
        link = Relay(target)
        self.links[name] = link
        server = await asyncio.start_server(link.serve, '127.0.0.1', port)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SWEEP_SECONDS)
            if not self.store.down and not self.store.silent:
                self.store.end_expired_leases()
