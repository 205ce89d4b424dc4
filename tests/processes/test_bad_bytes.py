"""Malformed input at any port affects its connection, not the process."""

import asyncio
import contextlib
import random
from pathlib import Path

import pytest

from standins.deployment import Deployment, InstanceSpec, call, free_ports
from standins.operators import (
    apply_ticket,
    get_admin,
    make_ticket,
    wait_in_force,
)

pytestmark = pytest.mark.processes
ZONES = {'norr-a': 'norr'}
SEED = 20_261_204
ROUNDS = 60
OPEN_CONNECTIONS = 200
MAX_RANDOM_BYTES = 4096
REQUEST_PREFIXES = (
    b'',
    b'GET /v1/services/kassa/x HTTP/1.1\r\nHost: a\r\n',
    b'POST /v1/services/kassa/x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n',
    b'POST /v1/run HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
    b'POST /v1/run HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    b'GET /v1/lookup?service=%ff%00 HTTP/1.1\r\nHost: a\r\n\r\n',
    b'GET / HTTP/1.1\r\n' + b'A: ' + b'b' * 70_000 + b'\r\n\r\n',
)


async def _send_and_abort(address: str, data: bytes) -> None:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.suppress(OSError, TimeoutError):
        writer.write(data)
        await writer.drain()
        async with asyncio.timeout(0.05):
            await reader.read()
    writer.transport.abort()


async def _open_unfinished(address: str) -> asyncio.StreamWriter:
    host, _, port = address.rpartition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(b'GET /v1/lookup HTTP/1.1\r\nHost')
    return writer


async def _send_garbage(instance: InstanceSpec) -> None:
    rng = random.Random(SEED)
    ports = (instance.caller, instance.peer, instance.control, instance.admin)
    unfinished = [
        await _open_unfinished(instance.caller) for _ in range(OPEN_CONNECTIONS)
    ]
    for _ in range(ROUNDS):
        random_bytes = rng.randbytes(rng.randrange(MAX_RANDOM_BYTES))
        data = rng.choice(REQUEST_PREFIXES) + random_bytes
        await asyncio.gather(*(_send_and_abort(port, data) for port in ports))
    status, body = await call(
        'GET',
        f'http://{instance.caller}/v1/services/kassa/cups/7',
    )
    assert (status, body['ran']) == (200, 'GET /cups/7 ')
    for writer in unfinished:
        writer.transport.abort()


def test_garbage_at_every_port_leaves_the_process_serving(
    tmp_path: Path,
) -> None:
    """Sends garbage, huge heads, false lengths and unfinished heads.

    The process has to keep running, and to answer a valid request that
    arrives while many connections hold unfinished heads.
    """
    ports = free_ports(1)
    with Deployment(tmp_path, zones=ZONES) as running:
        running.start_upstreams('upstreams', ports)
        apply_ticket(running, make_ticket(ZONES, 'kassa', ports))
        asyncio.run(wait_in_force(running, 1))
        (instance,) = running.instances.values()
        asyncio.run(_send_garbage(instance))
        assert running.processes[instance.name].poll() is None
        counts = asyncio.run(get_admin(instance, '/v1/counters'))['counts']
        assert counts['http.malformed'] > ROUNDS
        log = (tmp_path / f'{instance.name}.log').read_text()
        assert 'Traceback' not in log, log[-2000:]
