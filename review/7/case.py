"""A backend leaves while machines are restarted in turn."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from deployment import STABLE_S, Deployment, Gateway, configuration, play, route

# Which machine of a zone passes the news of the store on, and which machine
# reads the store for all zones, follows from the names: in `norr-a` the first
# machine does, then the second; the last one of this list reads the store.
MACHINES = [
    'edge-norr-a-2@norr-a',
    'edge-norr-a-7@norr-a',
    'edge-norr-a-6@norr-a',
    'edge-norr-a-8@norr-a',
    'edge-vast-a-7@vast-a',
]
STOPPED = ('edge-norr-a-7', 'edge-norr-a-2', 'edge-vast-a-7')
BACKENDS = ['norr-a', 'norr-a', 'norr-a', 'norr-a', 'vast-a', 'vast-a']
DRAIN_S = 2.5
GAP_S = 1.3
GRACE_S = 6.0
RESTART_S = 0.3
# How long after the first machine is back the backend leaves.
LEAVES_AFTER_S = 0.7


async def restart(deployment: Deployment, machine: Gateway) -> None:
    """Stops a machine as planned, and starts it again."""
    machine.signal(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while machine.is_running and time.monotonic() < end:
        await asyncio.sleep(0.02)
    machine.kill()
    await asyncio.sleep(RESTART_S)
    machine.start(deployment.seeds)
    await deployment.wait_ready(machine)
    machine.troubled_at = time.monotonic()
    deployment.tell(f'{machine.name} is back')


async def roll(
    deployment: Deployment, with_trouble: bool
) -> list[asyncio.Task[None]]:
    """Restarts three machines in turn; returns once the first is back."""
    restarts = []
    for name in STOPPED:
        if with_trouble:
            deployment.tell(f'SIGTERM to {name}')
            work = restart(deployment, deployment.machine(name))
            restarts.append(asyncio.create_task(work))
        await asyncio.sleep(GAP_S)
    await restarts[0] if restarts else await asyncio.sleep(GAP_S)
    return restarts


async def scenario(deployment: Deployment, with_trouble: bool) -> bool:
    """Lets a backend leave without a report during planned restarts."""
    deployment.add_backends(BACKENDS)
    config = configuration(7, route('look', '/look/', 'safe'))
    await deployment.start(config, had_drill=True)
    deployment.run(deployment.load('GET', '/look/', 0.02))
    await asyncio.sleep(8.0)
    restarts = await roll(deployment, with_trouble)
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = deployment.backends[0]
    leaving.leave()
    acknowledged = time.monotonic()
    deployment.tell(f'the entry of {leaving.id} is removed; it serves on')
    await asyncio.gather(*restarts)
    await asyncio.sleep(acknowledged + 9.0 - time.monotonic())
    late = [
        arrival
        for arrival in leaving.arrivals
        if arrival.ran
        and arrival.at > acknowledged + DRAIN_S
        and is_in_touch(deployment, arrival.request, arrival.at)
    ]
    for arrival in late:
        deployment.tell(
            f'{arrival.request} reaches {arrival.backend} by '
            f'{deployment.sent[arrival.request].machine} '
            f'{arrival.at - acknowledged:.3f} s after the acknowledgement',
            arrival.at,
        )
    deployment.tell(f'{len(late)} requests too late')
    return bool(late)


def is_in_touch(deployment: Deployment, request: str, at: float) -> bool:
    """Returns whether the machine that took a request runs undisturbed."""
    machine = deployment.machine(deployment.sent[request].machine)
    return machine.troubled_at < at - STABLE_S


if __name__ == '__main__':
    sys.exit(
        play(
            scenario,
            MACHINES,
            Path(__file__).with_name('record.txt'),
            with_trouble=os.environ['TROUBLE'] != '0',
        )
    )
