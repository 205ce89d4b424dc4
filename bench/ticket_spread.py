"""Measures how long an accepted ticket takes to be in force everywhere.

Run as `PYTHONPATH=tests python -m bench.ticket_spread [ZONES] [PER_ZONE]`.
The tickets are sent to real instances in rotation, and all instances are
polled until the ticket is in force at the last one. The measurement is then
repeated with one zone disconnected from the platform.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from standins.deployment import Deployment, InstanceSpec, admin_headers

TICKETS = 9
POLL_SECONDS = 0.02
TIMEOUT_SECONDS = 30
JOIN_SECONDS = 60


async def _read_status(
    session: aiohttp.ClientSession, instance: InstanceSpec
) -> dict[str, int]:
    async with session.get(
        f'http://{instance.admin}/v1/status',
        headers=admin_headers(),
    ) as answer:
        found: dict[str, int] = await answer.json()
        return found


async def _wait_ticket(
    session: aiohttp.ClientSession,
    instance: InstanceSpec,
    number: int,
) -> float:
    end = time.monotonic() + TIMEOUT_SECONDS
    while (await _read_status(session, instance))['ticket'] < number:
        assert time.monotonic() < end, (
            f'{instance.name} did not reach ticket {number} '
            f'within {TIMEOUT_SECONDS} s'
        )
        await asyncio.sleep(POLL_SECONDS)
    return time.monotonic()


async def _measure(
    session: aiohttp.ClientSession,
    instances: list[InstanceSpec],
    label: str,
) -> None:
    delays = []
    for index in range(TICKETS):
        entry = instances[index % len(instances)]
        newest = (await _read_status(session, entry))['ticket']
        ticket = {
            'author': f'{label}-{index}',
            'based_on': newest,
            'zones': {f'zone-{label}-{index}': {'region': 'norr'}},
        }
        async with session.post(
            f'http://{entry.admin}/v1/tickets',
            json=ticket,
            headers=admin_headers(),
        ) as answer:
            assert answer.status == 200, await answer.text()
            number = (await answer.json())['accepted']
        begin = time.monotonic()
        waits = [
            _wait_ticket(session, instance, number) for instance in instances
        ]
        delays.append(max(await asyncio.gather(*waits)) - begin)
        await asyncio.sleep(0.3)
    delays.sort()
    print(
        f'{label}: {len(delays)} tickets, in force everywhere after '
        f'{delays[len(delays) // 2]:.2f} s median, {delays[-1]:.2f} s at most',
    )


async def _run(deployment: Deployment) -> None:
    instances = list(deployment.instances.values())
    async with aiohttp.ClientSession() as session:
        end = time.monotonic() + JOIN_SECONDS
        for instance in instances:
            while (await _read_status(session, instance))['live_peers'] < len(
                instances
            ) - 1:
                assert time.monotonic() < end, (
                    f'{instance.name} lists too few peers'
                )
                await asyncio.sleep(0.1)
        await _measure(session, instances, 'connected')
        zone = instances[-1].zone
        await deployment.cut(zone, 'platform')
        others = [instance for instance in instances if instance.zone != zone]
        waiting = [instance for instance in instances if instance.zone == zone]
        await _measure(session, [*others, *waiting], 'cut')


def main() -> None:
    """Starts the deployment and prints the figures."""
    zones = int(sys.argv[1]) if len(sys.argv) > 1 else 4
    per_zone = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    names = {f'zone-{index}': f'region-{index // 2}' for index in range(zones)}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        with Deployment(
            path,
            zones=names,
            entries=per_zone,
            links=True,
        ) as deployment:
            print(f'{zones * per_zone} instances in {zones} zones')
            asyncio.run(_run(deployment))


if __name__ == '__main__':
    main()
