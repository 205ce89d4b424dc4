"""A ticket-driven instance that runs within one process.

The platform and an upstream run beside it, all on loopback.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import aiohttp
from aiohttp import web

from lycheedyke_daemon.instance import Instance
from lycheedyke_daemon.settings import Secrets, read_settings
from standins.deployment import (
    ADMIN_SECRET,
    SETTINGS,
    InstanceSpec,
    admin_headers,
    free_ports,
    make_instance_spec,
)
from standins.operators import make_ticket
from standins.platform import Store
from standins.upstream import Upstream
from standins.virtual_time import LoopClock, run_in_virtual_time

ZONE = 'norr-a'
REGION = 'norr'
PEER_SECRET = b'peer-secret-for-tests'
START_POLLS = 200
POLL_SECONDS = 0.1
HTTP_OK = 200


class TicketTestbed:
    """A platform, one upstream and one instance that owns it.

    It is an asynchronous context manager.

    Args:
        folder: the directory of the settings file.
        service: options of the service of the ticket.

    Attributes:
        spec: the addresses of the instance.
        instance: the instance.
    """

    def __init__(self, folder: Path, **service: Any) -> None:
        """Chooses the addresses; `__aenter__` starts all parts."""
        self._folder = folder
        self._service = service
        self._runners: list[web.AppRunner] = []
        self._upstream_port, self._platform_port = free_ports(2)
        self.spec = make_instance_spec(f'{ZONE}-0', ZONE, REGION)
        self.instance = self.make_instance(self.spec)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Starts all parts and waits until the instance serves a ticket."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None)
        )
        await self._open(Store({}).app(), self._platform_port)
        await self._open(Upstream().app(), self._upstream_port)
        await self.instance.start()
        ticket = make_ticket(
            {ZONE: REGION}, 'kassa', [self._upstream_port], **self._service
        )
        status = await self._call(
            'POST',
            f'http://{self.spec.admin}/v1/tickets',
            headers=admin_headers(),
            json={'author': 'tests-0001', 'based_on': 0, **ticket},
        )
        assert status == HTTP_OK
        for _ in range(START_POLLS):
            url = f'http://{self.spec.admin}/readyz'
            if await self._call('GET', url) == HTTP_OK:
                return self
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError('the instance is not ready')

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends the platform and the upstream; the instance has stopped."""
        assert self._session is not None
        await self._session.close()
        for runner in self._runners:
            await runner.cleanup()

    def make_instance(self, spec: InstanceSpec, seeds: str = '') -> Instance:
        """Returns an instance that has not started.

        Args:
            spec: its name, location and addresses.
            seeds: the control addresses of others.
        """
        path = self._folder / f'{spec.name}.ini'
        path.write_text(
            SETTINGS.format(
                **spec._asdict(),
                customer='pantsaker',
                platform=f'127.0.0.1:{self._platform_port}',
                seeds=seeds,
                secrets='none',
                routes='',
            )
        )
        secrets = Secrets(PEER_SECRET, ADMIN_SECRET)
        return Instance(read_settings(path), secrets, LoopClock())

    async def set_faults(self, **faults: Any) -> None:
        """Sets faults of the upstream."""
        url = f'http://127.0.0.1:{self._upstream_port}/fault'
        assert await self._call('POST', url, json=faults) == HTTP_OK

    async def send(self, method: str, path: str, **headers: str) -> str:
        """Returns the outcome of a request on a connection of its own.

        It is `refused` where nobody listens, and `cut` where the connection
        closed without a whole answer.
        """
        assert self._session is not None
        url = f'http://{self.spec.caller}/v1/services/kassa{path}'
        try:
            async with self._session.request(
                method, url, headers={'Connection': 'close', **headers}
            ) as response:
                await response.read()
                return response.headers['Lycheedyke-Outcome']
        except aiohttp.ClientConnectorError:
            return 'refused'
        except aiohttp.ClientError:
            return 'cut'

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns a connection to the callers' port."""
        host, _, port = self.spec.caller.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def count_runs(self) -> int:
        """Returns how many requests the upstream has begun to run."""
        assert self._session is not None
        url = f'http://127.0.0.1:{self._upstream_port}/record'
        async with self._session.get(url) as response:
            record = await response.json()
        return sum(record['runs'].values())

    async def _open(self, app: web.Application, port: int) -> None:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        self._runners.append(runner)

    async def _call(self, method: str, url: str, **options: Any) -> int:
        assert self._session is not None
        async with self._session.request(method, url, **options) as response:
            await response.read()
            return response.status


def run_ticket_scenario(
    folder: Path,
    scenario: Callable[[TicketTestbed], Awaitable[None]],
    *,
    limit_s: float,
    **service: Any,
) -> None:
    """Runs a scenario in virtual time on a new testbed.

    Args:
        folder: the directory of the settings file.
        scenario: the coroutine function that is called with the testbed.
        limit_s: the limit in seconds of virtual time.
        service: options of the service of the ticket.
    """

    async def _run() -> None:
        async with TicketTestbed(folder, **service) as testbed:
            await scenario(testbed)

    run_in_virtual_time(asyncio.wait_for(_run(), limit_s))
