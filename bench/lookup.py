"""Rate of look-ups, beside a bare handler that returns a constant.

Run as `python -m bench.lookup`. One client process loads a daemon with one
upstream and a bare aiohttp handler in turns. The client is the slower end, so
the ratio is that of answers for a second of the server's processor time.
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
TURNS = 5
TURN_SECONDS = 2
PATH = '/v1/lookup?service=kassa'
BARE = """
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


class _Turn(NamedTuple):
    """Answers a second, as the client saw them, and as processor time."""

    rate: float
    rate_per_core: float


def _processor_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


async def _load(session: aiohttp.ClientSession, url: str, pid: int) -> _Turn:
    used = _processor_seconds(pid)
    end = time.monotonic() + TURN_SECONDS

    async def ask() -> int:
        answered = 0
        while time.monotonic() < end:
            async with session.get(url) as response:
                await response.read()
            answered += response.status == 200
        return answered

    counts = await asyncio.gather(*(ask() for _ in range(CONNECTIONS)))
    answers = sum(counts)
    used = _processor_seconds(pid) - used
    return _Turn(answers / TURN_SECONDS, answers / used)


async def _measure(running: Deployment, ports: Sequence[int]) -> None:
    seat = next(iter(running.instances.values()))
    await call(
        'POST',
        f'http://{seat.admin}/v1/tickets',
        headers=admin_headers(),
        json={
            'author': 'bench',
            'based_on': 0,
            **make_ticket(ZONES, 'kassa', ports[1:]),
        },
    )
    lookup = f'http://{seat.caller}{PATH}'
    for _ in poll_for(5):
        status, found = await call('GET', lookup)
        if status == 200:
            break
    body = len(str(found))
    running.start('bare', '-c', BARE, str(ports[0]), str(body))
    bare = f'127.0.0.1:{ports[0]}'
    wait_for_port(bare)
    urls = {'bare': f'http://{bare}{PATH}', seat.name: lookup}
    turns: dict[str, list[_Turn]] = {name: [] for name in urls}
    async with aiohttp.ClientSession() as session:
        for _ in range(TURNS):
            for name, url in urls.items():
                pid = running.processes[name].pid
                turns[name].append(await _load(session, url, pid))
    medians = [_report(name, found) for name, found in turns.items()]
    ratio = medians[1] / medians[0]
    print(f'ratio by processor time {ratio:.2f}')


def _report(name: str, turns: list[_Turn]) -> float:
    rates = ' '.join(f'{turn.rate:.0f}' for turn in turns)
    median = statistics.median(turn.rate_per_core for turn in turns)
    print(f'{name}: {rates} answers/s; {median:.0f} for a core second')
    return median


def main() -> None:
    """Runs the measurement."""
    ports = free_ports(2)
    folder = tempfile.TemporaryDirectory()
    with folder as name, Deployment(Path(name), zones=ZONES) as running:
        running.start_upstreams('upstream', ports[1:])
        asyncio.run(_measure(running, ports))


if __name__ == '__main__':
    main()
