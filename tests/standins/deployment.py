"""Starts and ends a deployment of real processes on loopback."""

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
    """The name, place and addresses of one entry instance."""

    name: str
    zone: str
    region: str
    caller: str
    peer: str
    control: str
    admin: str


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens at, none of them twice.

    They are outside the range from which the system takes the ports of
    outgoing connections.
    """
    found: list[int] = []
    while len(found) < count:
        port = _random.randrange(*PORT_RANGE)
        if port not in _claimed_ports and _is_free(port) and _claim(port):
            found.append(port)
    return found


def _claim(port: int) -> bool:
    """Claims a port against other test runs on this machine.

    The lock is let go when this process ends.
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
    """Returns a seat with free ports on loopback."""
    addresses = [f'127.0.0.1:{port}' for port in free_ports(4)]
    return InstanceSpec(name, zone, region, *addresses)


class RelayedLink(NamedTuple):
    """A relayed way from one zone to one address."""

    source: str
    destination: str
    address: str
    target: str


class Deployment:
    """Processes on loopback, all ended on leaving the `with` block.

    Args:
        folder: for settings and logs.
        zones: zone name to region name.
        entries: entry instances for each zone.
        customer: the customer served.
        links: whether traffic between zones, and to the platform, goes
            through a relay, so that `cut` can cut it.
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
        """Chooses addresses; nothing is started."""
        self.folder = folder
        # Processes that another test left behind are no peers of this one's.
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
        self.seeds = [seat.control for seat in self.instances.values()][:3]
        self.platform = f'127.0.0.1:{free_ports(1)[0]}'
        self.links: list[RelayedLink] = self._plan_links() if links else []
        self.relay = f'127.0.0.1:{free_ports(1)[0]}'
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        """Starts the platform and all entry instances."""
        try:
            self._start_all()
        except BaseException:
            # Nobody else ends what was started.
            self.__exit__()
            raise
        return self

    def _start_all(self) -> None:
        self.start_platform()
        if self.links:
            self._start_relay()
        for name in self.instances:
            self.start_entry(name, wait=False)
        for seat in self.instances.values():
            wait_for_port(seat.caller, self.folder / f'{seat.name}.log')

    def __exit__(self, *_: object) -> None:
        """Ends all processes that are left."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    def start_platform(self) -> None:
        """Starts the platform's stand-in."""
        listed = [
            f'{seat.name}={seat.control}' for seat in self.instances.values()
        ]
        port = self.platform.rpartition(':')[2]
        self.start('platform', '-m', 'standins.platform', port, *listed)
        wait_for_port(self.platform)

    def start_entry(self, name: str, *, wait: bool = True) -> None:
        """Starts a daemon; by default waits until its ports are open."""
        config = self._write_settings(self.instances[name])
        self.start(name, '-m', 'lycheedyke_daemon', '--config', str(config))
        if wait:
            wait_for_port(self.instances[name].caller)

    def start_upstreams(self, name: str, ports: Sequence[int]) -> None:
        """Starts one process that serves upstreams at the given ports."""
        self.start(name, '-m', 'standins.upstream', *map(str, ports))
        for port in ports:
            wait_for_port(f'127.0.0.1:{port}')

    def start(self, name: str, *arguments: str) -> None:
        """Starts a Python process; its output goes to a log file."""
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=log,
            stderr=log,
            env={**os.environ, 'PYTHONPATH': f'{TESTS}:{TESTS.parent}'},
        )
        log.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process by its name."""
        self.processes[name].send_signal(number)

    def wait(self, name: str, timeout: float = 30) -> int:
        """Waits for a process to end; returns its status."""
        return self.processes[name].wait(timeout)

    async def cut(self, source: str, destination: str) -> None:
        """Cuts all links from a zone to a zone or to 'platform'.

        Bytes wait at the relay until `heal`, both ways of a connection.
        """
        await self._set_links(source, destination, is_open=False)

    async def heal(self, source: str, destination: str) -> None:
        """Opens all links from a zone to a zone or to 'platform'."""
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
        wanted = [
            (source, seat.zone, address)
            for source in self.zones
            for seat in self.instances.values()
            if seat.zone != source
            for address in (seat.peer, seat.control)
        ]
        wanted += [(zone, 'platform', self.platform) for zone in self.zones]
        ports = free_ports(len(wanted))
        return [
            RelayedLink(source, destination, f'127.0.0.1:{port}', target)
            for port, (source, destination, target) in zip(
                ports,
                wanted,
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

    def _write_settings(self, seat: InstanceSpec) -> Path:
        secret_file = self.folder / 'secrets.ini'
        secret_file.write_text(
            f'[secrets]\npeer = {self.peer_secret}\nadmin = {ADMIN_SECRET}\n',
        )
        config = self.folder / f'{seat.name}.ini'
        config.write_text(
            SETTINGS.format(
                **seat._asdict(),
                customer=self.customer,
                platform=self._route(seat.zone, self.platform),
                routes='\n'.join(
                    f'{link.target} = {link.address}'
                    for link in self.links
                    if link.source == seat.zone and link.target != self.platform
                ),
                seeds=', '.join(self.seeds),
                secrets=secret_file,
            ),
        )
        return config


def wait_for_port(address: str, log: Path | None = None) -> None:
    """Waits until something listens at the address.

    Args:
        address: where it is to listen.
        log: its output, which tells why it does not.
    """
    host, _, port = address.rpartition(':')
    for _ in poll_for(START_SECONDS):
        try:
            socket.create_connection((host, int(port)), 1).close()
        except OSError:
            continue
        return
    told = log.read_text(errors='replace')[-2000:] if log else ''
    raise TimeoutError(f'nothing listens at {address}: {told}')


def poll_for(seconds: float) -> Iterator[None]:
    """Yields again and again for a time, with a pause between."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        yield
        time.sleep(POLL_SECONDS)


async def call(method: str, url: str, **options: Any) -> tuple[int, Any]:
    """Sends one HTTP request; returns the status and the JSON body."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, **options) as response,
    ):
        return response.status, await response.json(content_type=None)


def admin_headers() -> dict[str, str]:
    """Returns the headers that the administration API asks for."""
    return {'Authorization': f'Bearer {ADMIN_SECRET}'}
