"""Measures how long an upstream has no owner after a kill -9.

Run as `python -m bench.takeover [ROUNDS]` with `tests` on PYTHONPATH. Each
round kills the owner of one upstream, and measures the time until a request
is answered again and the time until all slots are usable again.
"""

import asyncio
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from standins.deployment import Deployment, admin_headers, call, free_ports

SLOTS = 9
POLL_SECONDS = 0.01


async def _read_limits(deployment: Deployment, killed: str) -> dict[str, int]:
    found = {}
    for name, instance in deployment.instances.items():
        if name != killed:
            _, status = await call(
                'GET',
                f'http://{instance.admin}/v1/status',
                headers=admin_headers(),
            )
            loads = status['upstreams']
            found[name] = sum(load['limit'] for load in loads)
    return found


async def _wait_answered(
    deployment: Deployment, killed: str, since: float
) -> float:
    entry = next(
        instance
        for name, instance in deployment.instances.items()
        if name != killed
    )
    url = f'http://{entry.caller}/v1/services/kassa/cups/7'
    async with aiohttp.ClientSession() as session:
        while True:
            async with session.get(url) as response:
                await response.read()
                if response.status == 200:
                    return time.monotonic() - since
            await asyncio.sleep(POLL_SECONDS)


async def _wait_all_slots(
    deployment: Deployment, killed: str, since: float
) -> float:
    while sum((await _read_limits(deployment, killed)).values()) < SLOTS:
        await _wait_answered(deployment, killed, since)
    return time.monotonic() - since


async def _measure_round(
    deployment: Deployment, port: int
) -> tuple[float, float]:
    first = next(iter(deployment.instances.values()))
    ticket = {
        'author': 'bench',
        'based_on': 0,
        'zones': {'norr-a': {'region': 'norr'}},
        'services': {'kassa': {'customer': 'pantsaker'}},
        'upstreams': {
            'kassa-1': {
                'service': 'kassa',
                'zone': 'norr-a',
                'address': f'127.0.0.1:{port}',
                'slots': SLOTS,
            },
        },
    }
    await call(
        'POST',
        f'http://{first.admin}/v1/tickets',
        json=ticket,
        headers=admin_headers(),
    )
    await _wait_all_slots(deployment, '', time.monotonic())
    await asyncio.sleep(1)
    limits = await _read_limits(deployment, '')
    owner = max(limits, key=lambda name: limits[name])
    since = time.monotonic()
    deployment.signal(owner, signal.SIGKILL)
    deployment.wait(owner)
    answered = await _wait_answered(deployment, owner, since)
    return answered, await _wait_all_slots(deployment, owner, since)


def _print(label: str, answered: float, full: float) -> None:
    print(f'{label}: answered again {answered:.2f} s, all slots {full:.2f} s')


def main() -> None:
    """Prints the times of each round and their medians."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    times = []
    for _ in range(rounds):
        port = free_ports(1)[0]
        with (
            tempfile.TemporaryDirectory() as folder,
            Deployment(
                Path(folder), zones={'norr-a': 'norr'}, entries=3
            ) as deployment,
        ):
            deployment.start_upstreams('upstream', [port])
            times.append(asyncio.run(_measure_round(deployment, port)))
        _print('round', *times[-1])
    answered, full = zip(*times, strict=True)
    _print('median', statistics.median(answered), statistics.median(full))


if __name__ == '__main__':
    main()
