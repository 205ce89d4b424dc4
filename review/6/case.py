"""A machine gets SIGTERM while clients read large answers slowly."""

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import NamedTuple

from deployment import (
    HOST,
    Deployment,
    Gateway,
    configuration,
    play,
    route,
)
from wire_io import encode

MACHINES = ['norr-a', 'norr-b']
BACKENDS = ['norr-a', 'norr-b', 'vast-a', 'vast-b']
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
DEADLINE_MS = 4900
PACK_BYTES = 500_000
# The client reads slowly for this time, then the rest, within its deadline.
SLOW_S = 4.0
SLOW_BYTES_PER_S = 40_000
# When the requests are sent, in seconds after the SIGTERM.
SENT_AT = (1.9, 2.2, 2.5, 2.8)
STEPS = 100
# As on a narrow link.
RECEIVE_BUFFER = 8192
SEGMENT = 1400


class Download(NamedTuple):
    """What a client saw of its request."""

    request: str
    sent: float
    ended: float
    status: str
    is_whole: bool
    received: int


async def download(
    deployment: Deployment, machine: Gateway, request: str
) -> Download:
    """Sends a request and reads its answer slowly, to the end or a close."""
    host, _, port = machine.front.partition(':')
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    headers = {
        'Host': HOST,
        'Lycheedyke-Request-Id': request,
        'Lycheedyke-Deadline-Ms': str(DEADLINE_MS),
    }
    sent = time.monotonic()
    await loop.sock_sendall(
        sock, encode(f'GET /pack/{request} HTTP/1.1', headers)
    )
    received = b''
    length = PACK_BYTES
    head_end = 0
    started = sent
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            while not head_end or len(received) < head_end + length:
                due = started + len(received) / SLOW_BYTES_PER_S
                due = min(due, sent + SLOW_S)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                chunk = await loop.sock_recv(sock, PACK_BYTES // STEPS)
                if not chunk:
                    break
                if not received:
                    started = time.monotonic()
                received += chunk
                end = received.find(b'\r\n\r\n')
                if end >= 0 and not head_end:
                    head_end = end + 4
                    length = _length(received[:end])
    except (TimeoutError, OSError) as error:
        deployment.tell(f'{request}: {error!r}')
    sock.close()
    status = received[:12].decode('latin-1')
    is_whole = bool(head_end) and len(received) == head_end + length
    return Download(
        request, sent, time.monotonic(), status, is_whole, len(received)
    )


def _length(head: bytes) -> int:
    for line in head.decode('latin-1').lower().split('\r\n'):
        if line.startswith('content-length:'):
            return int(line.partition(':')[2])
    return 0


async def end_after_grace(deployment: Deployment, machine: Gateway) -> None:
    """Kills the process at the end of the grace, as the platform does."""
    end = time.monotonic() + GRACE_S
    while machine.is_running and time.monotonic() < end:
        await asyncio.sleep(0.01)
    deployment.tell('the process has ended' if not machine.is_running else 'SIGKILL')
    machine.kill()


async def scenario(deployment: Deployment, with_trouble: bool) -> bool:
    """Stops a machine as planned, and sends it downloads meanwhile."""
    deployment.add_backends(BACKENDS, work_s=0.3)
    for backend in deployment.backends:
        backend.content = _content
    await deployment.start(
        configuration(
            7,
            route('look', '/look/', 'safe'),
            route('pack', '/pack/', 'download'),
        )
    )
    deployment.run(deployment.load('GET', '/look/', 0.05))
    machine = deployment.machines[1]
    await asyncio.sleep(5.0)
    # The route is in use before.
    for at in range(5):
        await deployment.send(machine, 'GET', f'/pack/{at}')
    began = time.monotonic()
    if with_trouble:
        machine.signal(signal.SIGTERM)
        deployment.tell(f'SIGTERM to {machine.name}')
        deployment.run(end_after_grace(deployment, machine))
    tasks = []
    for number, at in enumerate(SENT_AT):
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        tasks.append(
            asyncio.create_task(
                download(deployment, machine, f'pack-{number}')
            )
        )
    downloads = await asyncio.gather(*tasks)
    lost = 0
    for each in downloads:
        ran = [
            arrival.at
            for backend in deployment.backends
            for arrival in backend.arrivals
            if arrival.request == each.request and arrival.ran
        ]
        ended = each.ended - began
        deployment.tell(
            f'{each.request}, sent {each.sent - began:.3f} s after the '
            f'SIGTERM, {"ran" if ran else "did not run"}; the client got '
            f'{each.status!r} and {each.received} bytes, '
            f'{"all" if each.is_whole else "NOT ALL"}, until {ended:.3f} s'
        )
        # The deadline was not reached, and no backend was at work any more.
        is_early = each.ended - each.sent < DEADLINE_MS / 1000 - 0.1
        in_stop = ended <= GRACE_S + 1
        if ran and not each.is_whole and is_early and in_stop:
            lost += 1
    deployment.tell(f'{len(downloads)} downloads, {lost} lost')
    return bool(lost)


def _content(path: str) -> bytes:
    return b'p' * (PACK_BYTES if path.startswith('/pack/') else 400)


if __name__ == '__main__':
    sys.exit(
        play(
            scenario,
            MACHINES,
            Path(__file__).with_name('record.txt'),
            with_trouble=os.environ['TROUBLE'] != '0',
        )
    )
