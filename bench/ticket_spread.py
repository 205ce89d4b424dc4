"""Measures the time from accepted to in force, over real processes.

Run as `PYTHONPATH=tests python -m bench.ticket_spread [ZONES] [PER_ZONE]`.
Each ticket goes in through another instance; all instances are polled
until it is in force at the last one. Then one zone is cut from the
platform and the same is measured again.
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
GIVE_UP_SECONDS = 30
JOIN_SECONDS = 60


async def _status(
    session: aiohttp.ClientSession, seat: InstanceSpec
) -> dict[str, int]:
    async with session.get(
        f'http://{seat.admin}/v1/status',
        headers=admin_headers(),
    ) as answer:
        found: dict[str, int] = await answer.json()
        return found


async def _wait_number(
    session: aiohttp.ClientSession,
    seat: InstanceSpec,
    number: int,
) -> float:
    end = time.monotonic() + GIVE_UP_SECONDS
    while (await _status(session, seat))['ticket'] < number:
        assert time.monotonic() < end, f'{seat.name} stays behind'
        await asyncio.sleep(POLL_SECONDS)
    return time.monotonic()


async def _measure(
    session: aiohttp.ClientSession,
    seats: list[InstanceSpec],
    label: str,
) -> None:
    delays = []
    for index in range(TICKETS):
        entry = seats[index % len(seats)]
        newest = (await _status(session, entry))['ticket']
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
        waits = [_wait_number(session, seat, number) for seat in seats]
        delays.append(max(await asyncio.gather(*waits)) - begin)
        await asyncio.sleep(0.3)
    delays.sort()
    print(
        f'{label}: {len(delays)} tickets, in force everywhere after '
        f'{delays[len(delays) // 2]:.2f} s median, {delays[-1]:.2f} s at most',
    )


async def _run(running: Deployment) -> None:
    seats = list(running.instances.values())
    async with aiohttp.ClientSession() as session:
        end = time.monotonic() + JOIN_SECONDS
        for seat in seats:
            while (await _status(session, seat))['live_peers'] < len(seats) - 1:
                assert time.monotonic() < end, f'{seat.name} sees few peers'
                await asyncio.sleep(0.1)
        await _measure(session, seats, 'connected')
        zone = seats[-1].zone
        await running.cut(zone, 'platform')
        others = [seat for seat in seats if seat.zone != zone]
        waiting = [seat for seat in seats if seat.zone == zone]
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
        ) as running:
            print(f'{zones * per_zone} instances in {zones} zones')
            asyncio.run(_run(running))


if __name__ == '__main__':
    main()
