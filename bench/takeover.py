"""Measures the time without an admitting owner after a kill -9.

Run as `python -m bench.takeover [ROUNDS]` with `tests` on PYTHONPATH. For
each round the owner of one upstream is killed, and the time is taken until a
request is answered again, and until all slots may be used again.
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


async def _limits(running: Deployment, dead: str) -> dict[str, int]:
    found = {}
    for name, seat in running.instances.items():
        if name != dead:
            _, status = await call(
                'GET',
                f'http://{seat.admin}/v1/status',
                headers=admin_headers(),
            )
            loads = status['upstreams']
            found[name] = sum(load['limit'] for load in loads)
    return found


async def _until_answered(
    running: Deployment, dead: str, since: float
) -> float:
    entry = next(
        seat for name, seat in running.instances.items() if name != dead
    )
    url = f'http://{entry.caller}/v1/services/kassa/cups/7'
    async with aiohttp.ClientSession() as session:
        while True:
            async with session.get(url) as response:
                await response.read()
                if response.status == 200:
                    return time.monotonic() - since
            await asyncio.sleep(POLL_SECONDS)


async def _until_full(running: Deployment, dead: str, since: float) -> float:
    while sum((await _limits(running, dead)).values()) < SLOTS:
        await _until_answered(running, dead, since)
    return time.monotonic() - since


async def _round(running: Deployment, port: int) -> tuple[float, float]:
    first = next(iter(running.instances.values()))
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
    await _until_full(running, '', time.monotonic())
    await asyncio.sleep(1)
    limits = await _limits(running, '')
    owner = max(limits, key=lambda name: limits[name])
    since = time.monotonic()
    running.signal(owner, signal.SIGKILL)
    running.wait(owner)
    answered = await _until_answered(running, owner, since)
    return answered, await _until_full(running, owner, since)


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
            ) as running,
        ):
            running.start_upstreams('upstream', [port])
            times.append(asyncio.run(_round(running, port)))
        _print('round', *times[-1])
    answered, full = zip(*times, strict=True)
    _print('median', statistics.median(answered), statistics.median(full))


if __name__ == '__main__':
    main()
