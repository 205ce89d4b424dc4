"""Ratios of rate and latency against plain aiohttp, in one run.

Run as `make speed`. Prints the rate of look-ups against a bare handler,
and the median latency of a request through one entry instance, and with
the extra hop to another, against a direct round trip to the upstream.
The kinds take turns, so that noise of the machine falls on all alike.
"""

import asyncio
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

from standins.deployment import Deployment, call, free_ports, wait_for_port
from standins.operators import (
    apply_ticket,
    get_admin,
    make_ticket,
    wait_in_force,
)

ZONES = {'norr-a': 'norr'}
ROUNDS = 5
SECONDS = 2.0
LOAD_PROCESSES = 3
CONNECTIONS = 8
SERVICE = 'kassa'
TARGETS = {
    'look-up rate / bare handler rate': 'at least 0.7',
    'one entry / direct, median latency': 'at most 2.0',
    'two entries / direct, median latency': 'at most 2.5',
}


class Places(NamedTuple):
    """The URLs that are compared."""

    bare: str
    lookup: str
    direct: str
    entry: str
    hop: str


def _load(
    url: str,
    connections: int,
    processes: int,
    kind: str,
) -> list[Any]:
    started = [
        subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bench.load',
                url,
                str(SECONDS),
                str(connections),
                kind,
            ],
            stdout=subprocess.PIPE,
        )
        for _ in range(processes)
    ]
    return [json.loads(each.communicate()[0]) for each in started]


def _rate(url: str) -> float:
    found = _load(url, CONNECTIONS, LOAD_PROCESSES, 'plain')
    _check(url, found)
    return sum(float(each['rate']) for each in found)


def _median(url: str) -> float:
    found = _load(url, 1, 1, 'aiohttp')
    _check(url, found)
    return float(found[0]['latency_us']['p50'])


def _check(url: str, found: list[Any]) -> None:
    for each in found:
        if set(each['statuses']) != {'200'}:
            raise RuntimeError(f'{url} answered {each["statuses"]}')


async def _find_places(running: Deployment, bare_port: int) -> Places:
    await wait_in_force(running, 1)
    await asyncio.sleep(2)
    urls = {}
    for name, seat in running.instances.items():
        status = await get_admin(seat, '/v1/status')
        urls[bool(status['upstreams'])] = f'http://{seat.caller}'
        print(name, 'owns', [load['upstream'] for load in status['upstreams']])
    upstream = running.folder / 'upstream.port'
    return Places(
        bare=f'http://127.0.0.1:{bare_port}/v1/lookup',
        lookup=f'{urls[True]}/v1/lookup?service={SERVICE}',
        direct=f'http://127.0.0.1:{upstream.read_text()}/balances/7',
        entry=f'{urls[True]}/v1/services/{SERVICE}/balances/7',
        hop=f'{urls[False]}/v1/services/{SERVICE}/balances/7',
    )


def _measure(places: Places) -> dict[str, list[float]]:
    ratios: dict[str, list[float]] = {name: [] for name in TARGETS}
    names = list(TARGETS)
    for _ in range(ROUNDS):
        bare = _rate(places.bare)
        ratios[names[0]].append(_rate(places.lookup) / bare)
        direct = _median(places.direct)
        ratios[names[1]].append(_median(places.entry) / direct)
        ratios[names[2]].append(_median(places.hop) / direct)
        print(f'bare {bare:.0f}/s, direct median {direct:.0f} us')
    return ratios


def _memory_mb(running: Deployment, name: str) -> float:
    pid = running.processes[name].pid
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f'process {pid} has no memory')


def _report(ratios: dict[str, list[float]]) -> None:
    for name, rounds in ratios.items():
        print(
            f'{name}: {statistics.median(rounds):.2f} '
            f'(rounds {min(rounds):.2f} to {max(rounds):.2f}; '
            f'target {TARGETS[name]})',
        )


def main() -> None:
    """Runs all comparisons."""
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-speed-'))
    port, bare_port = free_ports(2)
    (folder / 'upstream.port').write_text(str(port))
    with Deployment(folder, zones=ZONES, entries=2) as running:
        running.start_upstreams('upstream', [port])
        running.start('bare', '-m', 'bench.baseline', str(bare_port))
        wait_for_port(f'127.0.0.1:{bare_port}')
        asyncio.run(
            call('POST', f'http://127.0.0.1:{port}/fault', json={'run_ms': 0}),
        )
        apply_ticket(running, make_ticket(ZONES, SERVICE, [port]))
        places = asyncio.run(_find_places(running, bare_port))
        idle = {name: _memory_mb(running, name) for name in running.instances}
        ratios = _measure(places)
        for name, before in idle.items():
            print(
                f'{name}: {before:.0f} MB idle, '
                f'{_memory_mb(running, name):.0f} MB after the load',
            )
    _report(ratios)


if __name__ == '__main__':
    main()
