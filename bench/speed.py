"""Compares rates and latencies with those of plain aiohttp.

Run as `make speed`. Prints the rate of look-ups relative to that of a
baseline handler. Also prints the median latency of a request through the
entry instance that owns the upstream, and through one that forwards it to
the owner, each relative to a direct request to the upstream. The measurements
alternate, so that noise of the machine affects all of them alike.
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
LOAD_SECONDS = 2.0
LOAD_PROCESSES = 3
CONNECTIONS = 8
SERVICE = 'kassa'
TARGETS = {
    'look-up rate / bare handler rate': 'at least 0.7',
    'one entry / direct, median latency': 'at most 2.0',
    'two entries / direct, median latency': 'at most 2.5',
}


class ComparedUrls(NamedTuple):
    """The URLs that are compared.

    Attributes:
        baseline: the baseline server.
        lookup: look-ups at the instance that owns the upstream.
        direct: the upstream itself.
        entry: the upstream through its owner.
        forwarded: the upstream through the other instance.
    """

    baseline: str
    lookup: str
    direct: str
    entry: str
    forwarded: str


def _run_load(
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
                str(LOAD_SECONDS),
                str(connections),
                kind,
            ],
            stdout=subprocess.PIPE,
        )
        for _ in range(processes)
    ]
    return [json.loads(each.communicate()[0]) for each in started]


def _measure_rate(url: str) -> float:
    found = _run_load(url, CONNECTIONS, LOAD_PROCESSES, 'plain')
    _check_statuses(url, found)
    return sum(float(each['rate']) for each in found)


def _measure_median_us(url: str) -> float:
    found = _run_load(url, 1, 1, 'aiohttp')
    _check_statuses(url, found)
    return float(found[0]['latency_us']['p50'])


def _check_statuses(url: str, found: list[Any]) -> None:
    for each in found:
        if set(each['statuses']) != {'200'}:
            raise RuntimeError(
                f'{url} returned other statuses than 200: {each["statuses"]}',
            )


async def _find_urls(
    deployment: Deployment, baseline_port: int
) -> ComparedUrls:
    await wait_in_force(deployment, 1)
    await asyncio.sleep(2)
    urls = {}
    for name, instance in deployment.instances.items():
        status = await get_admin(instance, '/v1/status')
        urls[bool(status['upstreams'])] = f'http://{instance.caller}'
        print(name, 'owns', [load['upstream'] for load in status['upstreams']])
    upstream = deployment.folder / 'upstream.port'
    return ComparedUrls(
        baseline=f'http://127.0.0.1:{baseline_port}/v1/lookup',
        lookup=f'{urls[True]}/v1/lookup?service={SERVICE}',
        direct=f'http://127.0.0.1:{upstream.read_text()}/balances/7',
        entry=f'{urls[True]}/v1/services/{SERVICE}/balances/7',
        forwarded=f'{urls[False]}/v1/services/{SERVICE}/balances/7',
    )


def _measure(compared: ComparedUrls) -> dict[str, list[float]]:
    ratios: dict[str, list[float]] = {name: [] for name in TARGETS}
    names = list(TARGETS)
    for _ in range(ROUNDS):
        baseline = _measure_rate(compared.baseline)
        ratios[names[0]].append(_measure_rate(compared.lookup) / baseline)
        direct = _measure_median_us(compared.direct)
        ratios[names[1]].append(_measure_median_us(compared.entry) / direct)
        ratios[names[2]].append(_measure_median_us(compared.forwarded) / direct)
        print(f'bare {baseline:.0f}/s, direct median {direct:.0f} us')
    return ratios


def _memory_mb(deployment: Deployment, name: str) -> float:
    pid = deployment.processes[name].pid
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f'no VmRSS line in /proc/{pid}/status')


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
    port, baseline_port = free_ports(2)
    (folder / 'upstream.port').write_text(str(port))
    with Deployment(folder, zones=ZONES, entries=2) as deployment:
        deployment.start_upstreams('upstream', [port])
        deployment.start('bare', '-m', 'bench.baseline', str(baseline_port))
        wait_for_port(f'127.0.0.1:{baseline_port}')
        asyncio.run(
            call('POST', f'http://127.0.0.1:{port}/fault', json={'run_ms': 0}),
        )
        apply_ticket(deployment, make_ticket(ZONES, SERVICE, [port]))
        compared = asyncio.run(_find_urls(deployment, baseline_port))
        idle = {
            name: _memory_mb(deployment, name) for name in deployment.instances
        }
        ratios = _measure(compared)
        for name, before in idle.items():
            print(
                f'{name}: {before:.0f} MB idle, '
                f'{_memory_mb(deployment, name):.0f} MB after the load',
            )
    _report(ratios)


if __name__ == '__main__':
    main()
