"""Compares the rate of look-ups with that of a constant aiohttp handler.

Run as `python -m bench.lookup`. One client process sends load to a daemon
with one upstream and to a baseline server, in alternating rounds. The client
is the bottleneck, so the rates that are compared are responses per second of
the processor time of the server.
"""

import asyncio
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import aiohttp

sys.path.append(str(Path(__file__).resolve().parent.parent / 'tests'))

from standins.deployment import (
    Deployment,
    admin_headers,
    call,
    free_ports,
    poll_for,
    wait_for_port,
)
from standins.operators import make_ticket

ZONES = {'norr-a': 'norr'}
CONNECTIONS = 16
ROUNDS = 5
ROUND_SECONDS = 2
PATH = '/v1/lookup?service=kassa'
BASELINE_PROGRAM = """
import sys
import aiomisc
from aiohttp import web

async def answer(request):
    return web.Response(body=BODY, content_type='application/json')

BODY = b'x' * int(sys.argv[2])
app = web.Application()
app.add_routes([web.get('/v1/lookup', answer)])
with aiomisc.entrypoint() as loop:
    runner = web.AppRunner(app, access_log=None)
    loop.run_until_complete(runner.setup())
    site = web.TCPSite(runner, '127.0.0.1', int(sys.argv[1]))
    loop.run_until_complete(site.start())
    loop.run_forever()
"""


class _Round(NamedTuple):
    """Responses per second, and per second of server processor time."""

    rate: float
    rate_per_core: float


def _processor_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


async def _measure_round(
    session: aiohttp.ClientSession, url: str, pid: int
) -> _Round:
    used = _processor_seconds(pid)
    end = time.monotonic() + ROUND_SECONDS

    async def send_requests() -> int:
        ok_count = 0
        while time.monotonic() < end:
            async with session.get(url) as response:
                await response.read()
            ok_count += response.status == 200
        return ok_count

    counts = await asyncio.gather(
        *(send_requests() for _ in range(CONNECTIONS))
    )
    ok_total = sum(counts)
    used = _processor_seconds(pid) - used
    return _Round(ok_total / ROUND_SECONDS, ok_total / used)


async def _measure(deployment: Deployment, ports: Sequence[int]) -> None:
    instance = next(iter(deployment.instances.values()))
    await call(
        'POST',
        f'http://{instance.admin}/v1/tickets',
        headers=admin_headers(),
        json={
            'author': 'bench',
            'based_on': 0,
            **make_ticket(ZONES, 'kassa', ports[1:]),
        },
    )
    lookup = f'http://{instance.caller}{PATH}'
    for _ in poll_for(5):
        status, found = await call('GET', lookup)
        if status == 200:
            break
    body = len(str(found))
    deployment.start('bare', '-c', BASELINE_PROGRAM, str(ports[0]), str(body))
    baseline = f'127.0.0.1:{ports[0]}'
    wait_for_port(baseline)
    urls = {'bare': f'http://{baseline}{PATH}', instance.name: lookup}
    rounds: dict[str, list[_Round]] = {name: [] for name in urls}
    async with aiohttp.ClientSession() as session:
        for _ in range(ROUNDS):
            for name, url in urls.items():
                pid = deployment.processes[name].pid
                rounds[name].append(await _measure_round(session, url, pid))
    medians = [_report(name, found) for name, found in rounds.items()]
    ratio = medians[1] / medians[0]
    print(f'ratio by processor time {ratio:.2f}')


def _report(name: str, rounds: list[_Round]) -> float:
    rates = ' '.join(f'{each.rate:.0f}' for each in rounds)
    median = statistics.median(each.rate_per_core for each in rounds)
    print(f'{name}: {rates} responses/s; {median:.0f} per core second')
    return median


def main() -> None:
    """Runs the measurement."""
    ports = free_ports(2)
    folder = tempfile.TemporaryDirectory()
    with folder as name, Deployment(Path(name), zones=ZONES) as deployment:
        deployment.start_upstreams('upstream', ports[1:])
        asyncio.run(_measure(deployment, ports))


if __name__ == '__main__':
    main()
