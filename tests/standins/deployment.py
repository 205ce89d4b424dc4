"""Starts and stops a deployment of real processes on loopback."""

import fcntl
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import IO, Any, NamedTuple, Self

import aiohttp

TESTS = Path(__file__).resolve().parent.parent
START_SECONDS = 20
POLL_SECONDS = 0.05
PORT_LOCKS = Path(tempfile.gettempdir()) / 'lycheedyke-ports'
PORT_RANGE = (10_000, 32_000)
ADMIN_SECRET = 'admin-secret-for-tests'

_random = random.SystemRandom()
_claimed_ports: dict[int, IO[str]] = {}

SETTINGS = """
[instance]
name = {name}
customer = {customer}
region = {region}
zone = {zone}

[listen]
caller = {caller}
peer = {peer}
control = {control}
admin = {admin}

[platform]
address = {platform}

[peers]
seeds = {seeds}

[secrets]
file = {secrets}

[limits]
stop_linger_ms = 1000

[routes]
{routes}
"""


class InstanceSpec(NamedTuple):
    """The name, location and addresses of one entry instance."""

    name: str
    zone: str
    region: str
    caller: str
    peer: str
    control: str
    admin: str


def free_ports(count: int) -> list[int]:
    """Returns distinct ports on which nothing listens.

    The ports are outside the range from which the operating system assigns
    the local ports of outgoing connections.
    """
    found: list[int] = []
    while len(found) < count:
        port = _random.randrange(*PORT_RANGE)
        if port not in _claimed_ports and _is_free(port) and _claim(port):
            found.append(port)
    return found


def _claim(port: int) -> bool:
    """Reserves a port against other test runs on this machine.

    Returns whether the port was free to reserve. The operating system
    releases the lock when this process ends.
    """
    PORT_LOCKS.mkdir(exist_ok=True)
    lock = (PORT_LOCKS / str(port)).open('w')
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return False
    _claimed_ports[port] = lock
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def make_instance_spec(name: str, zone: str, region: str) -> InstanceSpec:
    """Returns an instance whose addresses are free ports on loopback."""
    addresses = [f'127.0.0.1:{port}' for port in free_ports(4)]
    return InstanceSpec(name, zone, region, *addresses)


class RelayedLink(NamedTuple):
    """A relayed link from one zone to one address."""

    source: str
    destination: str
    address: str
    target: str


class Deployment:
    """Processes on loopback that are killed at the end of the `with` block.

    Args:
        folder: the directory of settings files and logs.
        zones: the region name of each zone name.
        entries: the number of entry instances in each zone.
        customer: the name of the customer that is served.
        links: whether traffic between zones and to the platform goes
            through a relay, so that `cut` can interrupt it.
    """

    def __init__(
        self,
        folder: Path,
        *,
        zones: dict[str, str],
        entries: int = 1,
        customer: str = 'pantsaker',
        links: bool = False,
    ) -> None:
        """Chooses all addresses; `__enter__` starts the processes."""
        self.folder = folder
        # A new secret keeps processes that another test left behind from
        # becoming peers of these instances.
        self.peer_secret = secrets.token_hex()
        self.customer = customer
        self.zones = zones
        self.instances = {
            f'{zone}-{index}': make_instance_spec(
                f'{zone}-{index}', zone, region
            )
            for zone, region in zones.items()
            for index in range(entries)
        }
        self.seeds = [each.control for each in self.instances.values()][:3]
        self.platform = f'127.0.0.1:{free_ports(1)[0]}'
        self.links: list[RelayedLink] = self._plan_links() if links else []
        self.relay = f'127.0.0.1:{free_ports(1)[0]}'
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        """Starts the platform and all entry instances."""
        try:
            self._start_all()
        except BaseException:
            # `__exit__` is not called when `__enter__` raises.
            self.__exit__()
            raise
        return self

    def _start_all(self) -> None:
        self.start_platform()
        if self.links:
            self._start_relay()
        for name in self.instances:
            self.start_entry(name, wait=False)
        for instance in self.instances.values():
            wait_for_port(instance.caller, self.folder / f'{instance.name}.log')

    def __exit__(self, *_: object) -> None:
        """Kills all processes that still run."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    def start_platform(self) -> None:
        """Starts the stand-in of the platform."""
        instances = [
            f'{instance.name}={instance.control}'
            for instance in self.instances.values()
        ]
        port = self.platform.rpartition(':')[2]
        self.start('platform', '-m', 'standins.platform', port, *instances)
        wait_for_port(self.platform)

    def start_entry(self, name: str, *, wait: bool = True) -> None:
        """Starts a daemon; by default waits until its caller port is open."""
        config = self._write_settings(self.instances[name])
        self.start(name, '-m', 'lycheedyke_daemon', '--config', str(config))
        if wait:
            wait_for_port(self.instances[name].caller)

    def start_upstreams(self, name: str, ports: Sequence[int]) -> None:
        """Starts one process that serves an upstream on each given port."""
        self.start(name, '-m', 'standins.upstream', *map(str, ports))
        for port in ports:
            wait_for_port(f'127.0.0.1:{port}')

    def start(self, name: str, *arguments: str) -> None:
        """Starts a Python process whose output goes to a log file."""
        log = (self.folder / f'{name}.log').open('ab')
        inherited = os.environ.get('PYTHONPATH', '')
        path = f'{TESTS}:{TESTS.parent}:{inherited}'.rstrip(':')
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            env={**os.environ, 'PYTHONPATH': path},
        )
        log.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to the process of this name."""
        self.processes[name].send_signal(number)

    def wait(self, name: str, timeout: float = 30) -> int:
        """Waits for a process to end and returns its exit status."""
        return self.processes[name].wait(timeout)

    async def cut(self, source: str, destination: str) -> None:
        """Cuts all links from a zone to another zone or to 'platform'.

        The relay holds the bytes of both directions of a connection until
        `heal` is called.
        """
        await self._set_links(source, destination, is_open=False)

    async def heal(self, source: str, destination: str) -> None:
        """Restores all links from a zone to another zone or to 'platform'."""
        await self._set_links(source, destination, is_open=True)

    async def _set_links(
        self,
        source: str,
        destination: str,
        *,
        is_open: bool,
    ) -> None:
        addresses = [
            link.address
            for link in self.links
            if (link.source, link.destination) == (source, destination)
        ]
        assert addresses, (source, destination)
        await call(
            'POST',
            f'http://{self.relay}/links',
            json=dict.fromkeys(addresses, is_open),
        )

    def _plan_links(self) -> list[RelayedLink]:
        routes = [
            (source, instance.zone, address)
            for source in self.zones
            for instance in self.instances.values()
            if instance.zone != source
            for address in (instance.peer, instance.control)
        ]
        routes += [(zone, 'platform', self.platform) for zone in self.zones]
        ports = free_ports(len(routes))
        return [
            RelayedLink(source, destination, f'127.0.0.1:{port}', target)
            for port, (source, destination, target) in zip(
                ports,
                routes,
                strict=True,
            )
        ]

    def _start_relay(self) -> None:
        pairs = [f'{link.address}={link.target}' for link in self.links]
        self.start('relay', '-m', 'standins.relay', self.relay, *pairs)
        wait_for_port(self.relay)

    def _route(self, zone: str, target: str) -> str:
        for link in self.links:
            if (link.source, link.target) == (zone, target):
                return link.address
        return target

    def _write_settings(self, instance: InstanceSpec) -> Path:
        secret_file = self.folder / 'secrets.ini'
        # Another instance may be reading the file.
        new_file = self.folder / f'{instance.name}-secrets.ini'
        new_file.write_text(
            f'[secrets]\npeer = {self.peer_secret}\nadmin = {ADMIN_SECRET}\n',
        )
        new_file.replace(secret_file)
        config = self.folder / f'{instance.name}.ini'
        config.write_text(
            SETTINGS.format(
                **instance._asdict(),
                customer=self.customer,
                platform=self._route(instance.zone, self.platform),
                routes='\n'.join(
                    f'{link.target} = {link.address}'
                    for link in self.links
                    if link.source == instance.zone
                    and link.target != self.platform
                ),
                seeds=', '.join(self.seeds),
                secrets=secret_file,
            ),
        )
        return config


def wait_for_port(address: str, log: Path | None = None) -> None:
    """Waits until a process listens on the address.

    Args:
        address: the address, as `host:port`.
        log: the log file of the process, whose end the error message quotes.

    Raises:
        TimeoutError: nothing listens within `START_SECONDS`.
    """
    host, _, port = address.rpartition(':')
    for _ in poll_for(START_SECONDS):
        try:
            socket.create_connection((host, int(port)), 1).close()
        except OSError:
            continue
        return
    output = log.read_text(errors='replace')[-2000:] if log else ''
    raise TimeoutError(f'nothing listens on {address}: {output}')


def poll_for(seconds: float) -> Iterator[None]:
    """Yields repeatedly for a time, with a pause of `POLL_SECONDS` between."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        yield
        time.sleep(POLL_SECONDS)


async def call(method: str, url: str, **options: Any) -> tuple[int, Any]:
    """Sends an HTTP request and returns the status and the JSON body."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, **options) as response,
    ):
        return response.status, await response.json(content_type=None)


def admin_headers() -> dict[str, str]:
    """Returns the headers that the administration API requires."""
    return {'Authorization': f'Bearer {ADMIN_SECRET}'}
