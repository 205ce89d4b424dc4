"""A small deployment on the users' platform, within one process."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple, Self

import aiohttp
import yarl
from aiohttp import web

from lycheedyke.clock import SystemClock
from lycheedyke_daemon.gateway import GatewayInstance, read_gateway_settings
from standins.deployment import free_ports
from standins.registry_store import (
    FakeRegistryStore,
    config_value,
    upstream_value,
)
from standins.scripted_upstream import ScriptedUpstream

PLATFORM_DIR = Path(__file__).resolve().parents[2] / 'platform'
if str(PLATFORM_DIR) not in sys.path:
    sys.path.insert(0, str(PLATFORM_DIR))

from deployment import deploy

HOST = 'shop.example'
ROUTES = (
    {'name': 'read', 'prefix': '/read/', 'service': 'desk'},
    {
        'name': 'order',
        'prefix': '/order/',
        'type': 'unsafe',
        'service': 'desk',
        'timeout': '800ms',
    },
)
# The place and the addresses of an instance.
LOCATION_SETTINGS = """
[instance]
name = {name}
region = {region}
zone = {zone}

[listen]
caller = 127.0.0.1:{ports[0]}
ready = 127.0.0.1:{ports[1]}
lookup = 127.0.0.1:{ports[2]}
peer = 127.0.0.1:{ports[3]}
metrics = {metrics}

[peers]
seeds = {seeds}

[registry]
address = {store}
"""
SETTINGS = (
    LOCATION_SETTINGS
    + """
[limits]
stop_grace = 2s

[repeats]
extra = 100

[zones]
pnw-a = pnw
nc-a = nc
"""
)


class Reply(NamedTuple):
    """An answer as the caller got it."""

    status: int
    headers: dict[str, str]
    body: bytes


class GatewayTestbed:
    """A store, upstreams and entry instances; used with `async with`.

    Args:
        folder: where the settings files go.
        upstreams: how many upstreams there are.
        instances: how many entry instances there are.
    """

    def __init__(
        self,
        folder: Path,
        upstreams: int = 2,
        instances: int = 1,
    ) -> None:
        """Makes all parts; nothing listens yet."""
        self.store = FakeRegistryStore()
        self.upstreams = [
            ScriptedUpstream(f'i-{at}') for at in range(upstreams)
        ]
        self.instances: list[GatewayInstance] = []
        self.settings: list[Any] = []
        self._folder = folder
        self._count = instances
        self._sent = 0

    async def __aenter__(self) -> Self:
        """Starts everything and waits until the instances are ready."""
        self._runner = web.AppRunner(self.store.app(), access_log=None)
        await self._runner.setup()
        port = free_ports(1)[0]
        self._store = f'127.0.0.1:{port}'
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        self._http = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
        )
        self.store.put('op/config', config_value(0x11, list(ROUTES)))
        for upstream in self.upstreams:
            await upstream.open()
            self.register(upstream)
        for at in range(self._count):
            await self.start(f'edge-{at}')
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops everything."""
        await asyncio.gather(*(each.stop() for each in self.instances))
        for upstream in self.upstreams:
            await upstream.close()
        await self._http.close()
        await self._runner.cleanup()

    def register(self, upstream: ScriptedUpstream, **changes: Any) -> int:
        """Writes what an upstream says of itself."""
        value = upstream_value('desk', upstream.address, **changes)
        return self.store.put(f'servers/{upstream.name}', value)

    async def send(
        self,
        path: str = '/read/1',
        *,
        method: str = 'GET',
        body: Any = None,
        instance: int = 0,
        deadline_ms: int = 1200,
        object_key: str = '17',
    ) -> Reply:
        """Sends one request with an id of its own."""
        self._sent += 1
        address = self.settings[instance].caller_address
        async with self._http.request(
            method,
            yarl.URL(f'http://{address}{path}', encoded=True),
            data=body,
            headers={
                'Host': HOST,
                'Lycheedyke-Request-Id': f'r-{self._sent}',
                'Lycheedyke-Deadline-Ms': str(deadline_ms),
                'Cookie': f'Lycheedyke-Affinity-Key={object_key}',
            },
        ) as answer:
            return Reply(
                answer.status, dict(answer.headers), await answer.read()
            )

    async def get(self, address: str, path: str) -> Reply:
        """Asks any port of an instance."""
        async with self._http.get(f'http://{address}{path}') as answer:
            return Reply(
                answer.status, dict(answer.headers), await answer.read()
            )

    def count_arrivals(self) -> int:
        """Returns the requests that reached the upstreams."""
        return sum(len(each.arrivals) for each in self.upstreams)

    def started(self) -> list[str]:
        """Returns the ids of all requests that ran, once for each run."""
        return [name for each in self.upstreams for name in each.started]

    async def start(
        self,
        name: str,
        seeds: str = '',
        metrics: str = '',
        zone: str = 'pnw-a',
    ) -> None:
        """Starts an entry instance and waits until it is ready."""
        path = self._folder / f'{name}.ini'
        ports = free_ports(5)
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                region=zone.partition('-')[0],
                ports=ports,
                store=self._store,
                seeds=seeds,
                metrics=metrics or f'127.0.0.1:{ports[4]}',
            ),
        )
        settings = read_gateway_settings(path)
        instance = GatewayInstance(settings, deploy(settings), SystemClock())
        await instance.start()
        await instance.wait_ready()
        self.instances.append(instance)
        self.settings.append(settings)


Scenario = Callable[[GatewayTestbed], Awaitable[None]]


def run_scenario(
    folder: Path,
    scenario: Scenario,
    *,
    limit_s: float = 30,
    **parts: int,
) -> None:
    """Plays a scene on a platform of its own.

    Args:
        folder: where the settings files go.
        scene: what happens there.
        limit_s: the longest time, start and stop included.
        parts: how many upstreams and instances there are.
    """

    async def _run() -> None:
        async with GatewayTestbed(folder, **parts) as platform:
            await scenario(platform)

    asyncio.run(asyncio.wait_for(_run(), limit_s))
