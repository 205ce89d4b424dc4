"""A small deployment: gateways as processes, a store, backends, callers."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, TextIO

from backend import Backend
from store import Store
from wire_io import Message, encode, free_ports, read_message, reset

ROOT = Path(__file__).resolve().parents[2]
HOST = 'till.example'
STABLE_S = 4.0
ZONES = {
    'norr-a': 'norr',
    'norr-b': 'norr',
    'vast-a': 'vast',
    'vast-b': 'vast',
}
# deploy/settings.ini, filled in for a small deployment of pantbricka.
SETTINGS = """[instance]
name = {name}
region = {region}
zone = {zone}

[listen]
caller = 127.0.0.1:{ports[0]}
ready = 127.0.0.1:{ports[1]}
lookup = 127.0.0.1:{ports[2]}
peer = 127.0.0.1:{ports[3]}
metrics = 127.0.0.1:{ports[4]}

[peers]
seeds = {seeds}

[registry]
address = {store}

[limits]
memory_mb = 222
cores = 1
cpu_share = 0.602
link_mbps = 700.0
stop_grace = 6s

[repeats]
ratio = 0.2
window = 10s
extra = 139

[shifts]
most = 0.15

[placement]
max_homes = 8
allocate_slots = no

[zones]
{zones}
"""
ROUTE_COLUMNS = (
    'name',
    'host',
    'prefix',
    'type',
    'timeout',
    'goal',
    'priority',
    'split',
    'attempts',
    'sticky',
    'homeRegions',
    'service',
)


def route(name: str, prefix: str, kind: str, **changes: Any) -> list[Any]:
    """Returns the row of a route."""
    fields = {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'type': kind,
        'timeout': '6000ms',
        'goal': '600ms',
        'priority': 1,
        'attempts': 2 if kind in {'safe', 'download'} else 1,
        'sticky': True,
        'homeRegions': [],
        'service': 'kassa',
        **changes,
    }
    return [fields.get(column) for column in ROUTE_COLUMNS]


def configuration(version: int, *routes: list[Any]) -> dict[str, Any]:
    """Returns a configuration of the service `kassa`."""
    return {
        'version': f'{version:08x}',
        'routes': {'columns': list(ROUTE_COLUMNS), 'rows': list(routes)},
        'services': {
            'columns': ['name', 'healthPath', 'maxConns', 'cold', 'coldPerS'],
            'rows': [['kassa', '/health', 845, '3s', 5.7]],
        },
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    }


class Gateway:
    """One machine, whose process `platform/launch.py` is."""

    def __init__(self, name: str, zone: str, store: Store, folder: Path) -> None:
        """Chooses the ports of the machine."""
        self.name = name
        self.zone = zone
        self.ports = free_ports(5)
        self.front = f'127.0.0.1:{self.ports[0]}'
        self.peer = f'127.0.0.1:{self.ports[3]}'
        # The machine is in touch from `STABLE_S` after its last trouble on.
        self.troubled_at = 0.0
        self._store = store
        self._settings = folder / f'{name}.ini'
        self._log = folder / f'{name}.log'
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log_path(self) -> Path:
        """Where its output goes."""
        return self._log

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self, seeds: list[str]) -> None:
        """Starts the process, as the deploy file does."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                region=ZONES[self.zone],
                zone=self.zone,
                ports=self.ports,
                seeds=','.join(seeds),
                store=self._store.address,
                zones='\n'.join(f'{k} = {v}' for k, v in ZONES.items()),
            )
        )
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, 'platform/launch.py'],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **kept,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'LYCHEEDYKE_BOOT': str(self._settings),
                },
            )
        self.troubled_at = time.monotonic()

    def signal(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        assert self._process is not None
        self._process.send_signal(number)
        self.troubled_at = time.monotonic()

    def kill(self) -> None:
        """Kills the process, if it runs, and waits for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self.troubled_at = time.monotonic()

    async def is_ready(self) -> bool:
        """Asks as the platform does."""
        answer = await call(
            f'127.0.0.1:{self.ports[1]}', 'GET', '/ready', {}, limit_s=1
        )
        return answer is not None and answer.status == 200


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    limit_s: float = 6.0,
) -> Message | None:
    """Sends a request on a new connection; None without a whole answer."""
    host, _, port = address.partition(':')
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            sent = {'Host': HOST, **headers}
            writer.write(encode(f'{method} {path} HTTP/1.1', sent, body))
            await writer.drain()
            return await read_message(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        if writer is not None:
            reset(writer)
        return None
    finally:
        if writer is not None:
            writer.close()


class Sent(NamedTuple):
    """A request of a caller and what became of it."""

    request: str
    machine: str
    path: str
    at: float
    ended: float
    status: int


class Deployment:
    """The parts of one case, and its record."""

    def __init__(self, folder: Path, record: TextIO, zones: list[str]) -> None:
        """Describes a machine for each named zone.

        Args:
            folder: where the processes' settings and logs are written.
            record: the record of the case.
            zones: the zones, or `NAME@ZONE` for a machine with that name.
        """
        self.started = time.monotonic()
        self.store = Store(free_ports(1)[0])
        self.backends: list[Backend] = []
        self.machines: list[Gateway] = []
        for at, text in enumerate(zones):
            name, _, zone = text.rpartition('@')
            name = name or f'edge-{zone}-{at}'
            self.machines.append(Gateway(name, zone, self.store, folder))
        self.sent: dict[str, Sent] = {}
        self._record = record
        self._count = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def seeds(self) -> list[str]:
        """The addresses of three machines at most."""
        return [machine.peer for machine in self.machines[:3]]

    def now(self) -> float:
        """Returns the time since the start of the case."""
        return time.monotonic() - self.started

    def tell(self, text: str, at: float | None = None) -> None:
        """Writes a line of the record."""
        moment = self.now() if at is None else at - self.started
        self._record.write(f'{moment:8.3f} {text}\n')

    def add_backends(self, zones: list[str], **options: Any) -> None:
        """Adds a backend of `kassa` in each named zone."""
        for port, zone in zip(free_ports(len(zones)), zones, strict=True):
            name = f'i-{len(self.backends):02d}'
            self.backends.append(
                Backend(name, 'kassa', zone, port, self.store, **options)
            )

    async def start(
        self, config: dict[str, Any], *, had_drill: bool = False
    ) -> None:
        """Starts everything; returns once all machines are ready.

        Args:
            config: the first configuration.
            had_drill: whether the store came back from a copy once, before
                the machines were started.
        """
        await self.store.open()
        self.run(self.store.sweep())
        self.store.put('op/config', config)
        if had_drill:
            copy = self.store.copy()
            self.store.go_away()
            await asyncio.sleep(0.1)
            await self.store.come_back(copy)
        self.tell(f'the store states era {self.store.era}')
        for backend in self.backends:
            await backend.start()
            await asyncio.sleep(0.05)
        for machine in self.machines:
            machine.start(self.seeds)
        for machine in self.machines:
            await self.wait_ready(machine)
        self.tell('all machines are ready')

    async def wait_ready(self, machine: Gateway) -> None:
        """Waits until a machine is ready."""
        end = time.monotonic() + 20
        while not await machine.is_ready():
            if time.monotonic() > end:
                raise TimeoutError(f'{machine.name} is not ready')
            await asyncio.sleep(0.05)

    def run(self, work: Any) -> asyncio.Task[None]:
        """Runs a coroutine beside the case."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def until(self, at: float) -> None:
        """Waits until a time of the case."""
        await asyncio.sleep(max(0, at - self.now()))

    async def send(
        self,
        machine: Gateway,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        thing: str = '',
        deadline_ms: int = 4000,
    ) -> Sent:
        """Sends one request to a machine, and keeps what became of it."""
        self._count += 1
        request = f'r{self._count:06d}'
        headers = {
            'Lycheedyke-Request-Id': request,
            'Lycheedyke-Deadline-Ms': str(deadline_ms),
        }
        if thing:
            headers['Cookie'] = f'Lycheedyke-Affinity-Key={thing}'
        at = time.monotonic()
        self.sent[request] = Sent(request, machine.name, path, at, at, 0)
        answer = await call(
            machine.front, method, path, headers, body, deadline_ms / 1000
        )
        status = answer.status if answer is not None else 0
        result = Sent(
            request, machine.name, path, at, time.monotonic(), status
        )
        self.sent[request] = result
        return result

    async def load(self, method: str, prefix: str, pause_s: float) -> None:
        """Sends requests to the running machines in turn, until cancelled."""
        calls: set[asyncio.Task[Sent]] = set()
        number = 0
        while True:
            number += 1
            machine = self.machines[number % len(self.machines)]
            if machine.is_running:
                task = asyncio.create_task(
                    self.send(
                        machine,
                        method,
                        f'{prefix}{number % 97}',
                        thing=str(number % 97),
                    )
                )
                calls.add(task)
                task.add_done_callback(calls.discard)
            await asyncio.sleep(pause_s)

    def machine(self, name: str) -> Gateway:
        """Returns a machine by its name."""
        return next(each for each in self.machines if each.name == name)

    def write_all(self) -> None:
        """Writes what was sent, answered and run to the record."""
        for sent in self.sent.values():
            took = round((sent.ended - sent.at) * 1000)
            self.tell(
                f'sent {sent.request} {sent.path} to {sent.machine}: '
                f'{sent.status or "no answer"} after {took} ms',
                sent.at,
            )
        for backend in self.backends:
            for arrival in backend.arrivals:
                verb = 'ran' if arrival.ran else 'turned away'
                self.tell(
                    f'{arrival.backend} in {arrival.zone} {verb} '
                    f'{arrival.request} {arrival.path}',
                    arrival.at,
                )

    async def end(self) -> None:
        """Ends all processes and listeners that this case started."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()
        for backend in self.backends:
            for later in tuple(backend._later):
                later.cancel()
            backend.stop()
        self.store.close()
        await asyncio.sleep(0.1)


Scenario = Callable[[Deployment, bool], Awaitable[bool]]


def play(
    scenario: Scenario,
    zones: list[str],
    record: Path,
    *,
    with_trouble: bool,
    limit_s: float = 110,
) -> int:
    """Plays a case and returns the exit status of its script.

    Args:
        scenario: plays the case, told whether with the disruption; returns
            whether the rule was broken.
        zones: the machines, as for `Deployment`.
        record: the file that is written.
        with_trouble: whether the disruption is played.
        limit_s: the longest time.
    """
    async def run(folder: Path, file: TextIO) -> int:
        task = asyncio.current_task()
        assert task is not None
        # Ends all processes also if the script itself is ended.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        deployment = Deployment(folder, file, zones)
        try:
            async with asyncio.timeout(limit_s):
                is_broken = await scenario(deployment, with_trouble)
        except Exception as error:
            deployment.tell(f'the case could not run: {error!r}')
            for machine in deployment.machines:
                if machine.log_path.exists():
                    tail = machine.log_path.read_text(errors='replace')[-2000:]
                    deployment.tell(f'log of {machine.name}: {tail}')
            return 2
        finally:
            await deployment.end()
            deployment.write_all()
        deployment.tell('RULE BROKEN' if is_broken else 'rule held')
        return 1 if is_broken else 0

    with tempfile.TemporaryDirectory() as name, record.open('w') as file:
        status = asyncio.run(run(Path(name), file))
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            for log in Path(name).glob('*.log'):
                (Path(kept) / log.name).write_bytes(log.read_bytes())
    lines = record.read_text().splitlines()
    for line in lines:
        if 'sent r' not in line and ' ran ' not in line and 'turned' not in line:
            print(line)
    return status
