"""All processes are killed after a request has crashed its third backend."""

import asyncio
import os
import sys
import time
from pathlib import Path

from deployment import STABLE_S, Deployment, configuration, play, route

MACHINES = ['norr-a', 'norr-b', 'vast-a', 'vast-b']
BACKENDS = ['norr-a', 'norr-b', 'vast-a', 'vast-b'] * 2
# The request comes again so often.
PERIOD_S = 11.0
RETRIES = 3
KILLED_AFTER_S = 1.0
DOWN_S = 1.0
LASTS_S = 60.0


def crashes(deployment: Deployment) -> list[float]:
    """Returns the times of all crashes, in their order."""
    return sorted(
        at for backend in deployment.backends for at in backend.crashes
    )


async def send_poison(deployment: Deployment) -> None:
    """Sends the same request again and again, at any machine."""
    number = 0
    while True:
        number += 1
        machine = deployment.machines[number % len(deployment.machines)]
        result = await deployment.send(
            machine, 'POST', '/credit/poison', body=b'cup 7', deadline_ms=6000
        )
        deployment.tell(
            f'{result.request}, which crashes backends, is answered '
            f'{result.status} by {machine.name}; {len(crashes(deployment))} '
            'crashes by now'
        )
        left = result.at + PERIOD_S - time.monotonic()
        await asyncio.sleep(max(0.0, left))


async def scenario(deployment: Deployment, with_trouble: bool) -> bool:
    """Kills all processes a second after the third crash."""
    deployment.add_backends(BACKENDS)
    await deployment.start(
        configuration(
            7,
            route('look', '/look/', 'safe'),
            route('credit', '/credit/', 'unsafe'),
        )
    )
    deployment.run(deployment.load('GET', '/look/', 0.05))
    deployment.run(deployment.load('POST', '/credit/', 0.1))
    await asyncio.sleep(STABLE_S)
    deployment.run(send_poison(deployment))
    while len(crashes(deployment)) < RETRIES:
        await asyncio.sleep(0.05)
    third = crashes(deployment)[RETRIES - 1]
    deployment.tell('the third backend crashes', third)
    if with_trouble:
        await asyncio.sleep(KILLED_AFTER_S)
        for machine in deployment.machines:
            machine.kill()
        deployment.tell('all processes are killed')
        await asyncio.sleep(DOWN_S)
        for machine in deployment.machines:
            machine.start(deployment.seeds)
        for machine in deployment.machines:
            await deployment.wait_ready(machine)
            machine.troubled_at = time.monotonic()
        deployment.tell('all processes run again')
    await asyncio.sleep(third + LASTS_S - time.monotonic())
    counted = [
        arrival
        for backend in deployment.backends
        for arrival in backend.arrivals
        if arrival.ran
        and arrival.path == '/credit/poison'
        and is_counted(deployment, arrival.request, third)
    ]
    for arrival in counted:
        deployment.tell(
            f'{arrival.request} reaches {arrival.backend}', arrival.at
        )
    retries = len({arrival.request for arrival in counted})
    deployment.tell(f'{retries} retries, {RETRIES} are allowed')
    return retries > RETRIES


def is_counted(deployment: Deployment, request: str, third: float) -> bool:
    """Returns whether a request was sent late by a machine in touch."""
    sent = deployment.sent[request]
    troubled = deployment.machine(sent.machine).troubled_at
    return sent.at > max(third, troubled) + STABLE_S


if __name__ == '__main__':
    sys.exit(
        play(
            scenario,
            MACHINES,
            Path(__file__).with_name('record.txt'),
            with_trouble=os.environ['TROUBLE'] != '0',
        )
    )
