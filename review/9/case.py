"""A zone is evacuated right after the store came back from a copy."""

import os
import sys
import time
from pathlib import Path

from deployment import STABLE_S, Deployment, configuration, play, route

MACHINES = ['norr-a', 'norr-b', 'vast-a', 'vast-b']
BACKENDS = ['norr-a', 'norr-b', 'vast-a', 'vast-b'] * 2
CLEARED = 'norr-b'
EVACUATION = f'op/evacuate/{CLEARED}'
EVAC_S = 5.0


async def scenario(deployment: Deployment, with_trouble: bool) -> bool:
    """Evacuates a zone, takes it back, and evacuates it again."""
    store = deployment.store
    deployment.add_backends(BACKENDS)
    await deployment.start(configuration(7, route('look', '/look/', 'safe')))
    first = deployment.now()
    deployment.run(deployment.load('GET', '/look/', 0.02))

    await deployment.until(first + 6.0)
    copy = store.copy()
    deployment.tell(f'a copy of the store is taken at {copy.revision}')
    await deployment.until(first + 6.5)
    revision = store.put(EVACUATION, {})
    deployment.tell(f'{CLEARED} is evacuated at revision {revision}')
    await deployment.until(first + 9.0)
    revision = store.delete(EVACUATION)
    deployment.tell(f'{CLEARED} is taken back at revision {revision}')

    await deployment.until(first + 10.0)
    stable_from = 0.0
    if with_trouble:
        store.go_away()
        deployment.tell('the store goes away')
        await deployment.until(first + 10.8)
        await store.come_back(copy)
        stable_from = time.monotonic() + STABLE_S
        deployment.tell(f'the store is back at revision {copy.revision}')
    else:
        await deployment.until(first + 10.8)
    revision = store.put(EVACUATION, {})
    acknowledged = time.monotonic()
    deployment.tell(f'{CLEARED} is evacuated again at revision {revision}')

    await deployment.until(first + 10.8 + 12.0)
    ended = time.monotonic()
    bound = max(acknowledged + EVAC_S, stable_from)
    late = [
        arrival
        for backend in deployment.backends
        for arrival in backend.arrivals
        if arrival.zone == CLEARED and arrival.ran
        # Sent on by a machine that ran undisturbed, and is in touch.
        and bound < arrival.at < ended
        and deployment.machine(
            deployment.sent[arrival.request].machine
        ).troubled_at
        < arrival.at - STABLE_S
    ]
    for arrival in late:
        deployment.tell(
            f'{arrival.request} reaches {arrival.backend} '
            f'{arrival.at - acknowledged:.3f} s after the acknowledgement',
            arrival.at,
        )
    deployment.tell(f'{len(late)} requests too late')
    return bool(late)


if __name__ == '__main__':
    sys.exit(
        play(
            scenario,
            MACHINES,
            Path(__file__).with_name('record.txt'),
            with_trouble=os.environ['TROUBLE'] != '0',
        )
    )
