"""A small deployment of the gateway that runs within one process.

The instances use the registry client and the wire formats of the folder
`platform`.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType, TracebackType
from typing import Any, NamedTuple, Self

import aiohttp
import yarl
from aiohttp import web

from lycheedyke.protocol import Registry, RegistryRecord
from lycheedyke_daemon.gateway import (
    GatewayInstance,
    GatewaySettings,
    read_gateway_settings,
)
from standins.deployment import free_ports
from standins.registry_store import (
    FakeRegistryStore,
    config_value,
    upstream_value,
)
from standins.scripted_upstream import ScriptedUpstream
from standins.virtual_time import LoopClock, run_in_virtual_time

PLATFORM_DIR = Path(__file__).resolve().parents[2] / 'platform'
if str(PLATFORM_DIR) not in sys.path:
    sys.path.insert(0, str(PLATFORM_DIR))

from deployment import deploy
from store import StoreRegistry
from wire import decode

HOST = 'shop.example'
NO_HEADERS: Mapping[str, str] = MappingProxyType({})
# Of 10 ms each.
ARRIVAL_POLLS = 1000
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
# The location and the addresses of an instance.
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
memory_mb = 152
stop_grace = 2s

[repeats]
extra = 100

[zones]
pnw-a = pnw
nc-a = nc
"""
)


def decode_record(key: str, content: bytes) -> RegistryRecord:
    """Decodes a record of the platform's store."""
    return decode(key, content)


def connect_store(address: str, timeout: timedelta) -> Registry:
    """Returns the platform's client of a registry store."""
    return StoreRegistry(address, timeout)


def make_instance(settings: GatewaySettings) -> GatewayInstance:
    """Returns an instance on the platform whose time is that of its loop."""
    return GatewayInstance(settings, deploy(settings), LoopClock())


class Reply(NamedTuple):
    """A response as the caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes


class GatewayTestbed:
    """A registry store, upstreams and entry instances.

    It is an asynchronous context manager.

    Args:
        folder: the directory of the settings files.
        upstreams: the number of upstreams.
        instances: the number of entry instances.
    """

    def __init__(
        self,
        folder: Path,
        upstreams: int = 2,
        instances: int = 1,
    ) -> None:
        """Creates the store and the upstreams; `__aenter__` starts them."""
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
        """Starts all parts and waits until the instances are ready."""
        self._runner = web.AppRunner(
            self.store.app(), access_log=None, shutdown_timeout=1
        )
        await self._runner.setup()
        port = free_ports(1)[0]
        self._store = f'127.0.0.1:{port}'
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        self._http = _open_session('127.0.0.1')
        self._callers = {'127.0.0.1': self._http}
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
        """Stops all parts."""
        await asyncio.gather(*(each.stop() for each in self.instances))
        for upstream in self.upstreams:
            await upstream.close()
        for session in self._callers.values():
            await session.close()
        await self._runner.cleanup()

    def register(self, upstream: ScriptedUpstream, **changes: Any) -> int:
        """Writes the record of an upstream to the store."""
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
        caller: str = '127.0.0.1',
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Reply:
        """Sends a request with a new request id to an entry instance.

        Args:
            path: the path and the query.
            method: the HTTP method.
            body: the body, if any.
            instance: the number of the entry instance.
            deadline_ms: how long the caller waits, in ms.
            object_key: the object that the request concerns.
            caller: the loopback address that the request comes from.
            headers: further headers.
        """
        self._sent += 1
        address = self.settings[instance].caller_address
        if caller not in self._callers:
            self._callers[caller] = _open_session(caller)
        async with self._callers[caller].request(
            method,
            yarl.URL(f'http://{address}{path}', encoded=True),
            data=body,
            headers={
                'Host': HOST,
                'Lycheedyke-Request-Id': f'r-{self._sent}',
                'Lycheedyke-Deadline-Ms': str(deadline_ms),
                'Cookie': f'Lycheedyke-Affinity-Key={object_key}',
                **headers,
            },
        ) as answer:
            return Reply(
                answer.status, dict(answer.headers), await answer.read()
            )

    async def send_to(
        self, address: str, path: str, headers: dict[str, str]
    ) -> Reply:
        """Sends a GET request with the given headers to any address."""
        async with self._http.get(
            yarl.URL(f'http://{address}{path}', encoded=True), headers=headers
        ) as answer:
            return Reply(
                answer.status, dict(answer.headers), await answer.read()
            )

    async def get(self, address: str, path: str) -> Reply:
        """Sends a GET request to any address of an instance."""
        async with self._http.get(f'http://{address}{path}') as answer:
            return Reply(
                answer.status, dict(answer.headers), await answer.read()
            )

    def count_arrivals(self) -> int:
        """Returns the number of requests that reached the upstreams."""
        return sum(len(each.arrivals) for each in self.upstreams)

    async def wait_arrival(self, count: int = 1) -> None:
        """Waits until requests have reached the upstreams."""
        for _ in range(ARRIVAL_POLLS):
            if self.count_arrivals() >= count:
                return
            await asyncio.sleep(0.01)
        raise TimeoutError('no request arrived')

    async def wait_all_listed(self) -> None:
        """Waits until all instances know each other."""
        for _ in range(ARRIVAL_POLLS):
            if all(
                len(each._registry_view.active_entries()) == len(self.instances)
                for each in self.instances
            ):
                return
            await asyncio.sleep(0.01)
        raise TimeoutError('the instances do not know each other')

    def started(self) -> list[str]:
        """Returns the ids of all requests that ran, one entry for each run."""
        return [name for each in self.upstreams for name in each.started]

    async def start(
        self,
        name: str,
        seeds: str = '',
        metrics: str = '',
        zone: str = 'pnw-a',
        extra: str = '',
    ) -> None:
        """Starts an entry instance and waits until it is ready.

        Args:
            name: its name.
            seeds: peer addresses of other instances.
            metrics: where its metrics are scraped; by default at a free port.
            zone: its zone.
            extra: further sections of its settings.
        """
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
            )
            + extra,
        )
        settings = read_gateway_settings(path)
        instance = make_instance(settings)
        await instance.start()
        await instance.wait_ready()
        self.instances.append(instance)
        self.settings.append(settings)


def _open_session(address: str) -> aiohttp.ClientSession:
    """Returns a session of a caller at a loopback address."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(local_addr=(address, 0)),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )


Scenario = Callable[[GatewayTestbed], Awaitable[None]]


def run_scenario(
    folder: Path,
    scenario: Scenario,
    *,
    limit_s: float = 30,
    **parts: int,
) -> None:
    """Runs a scenario on a new testbed.

    Args:
        folder: the directory of the settings files.
        scenario: the coroutine function that is called with the testbed.
        limit_s: the time limit in seconds, including start and stop.
        parts: the numbers of upstreams and instances, see `GatewayTestbed`.
    """

    async def _run() -> None:
        async with GatewayTestbed(folder, **parts) as testbed:
            await scenario(testbed)

    run_in_virtual_time(asyncio.wait_for(_run(), limit_s))
