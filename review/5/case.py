"""UNASKED: a backend gets another target than the client sent."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from platform_standins import Client, Deployment, Server, main

SEED = 2
CLIENTS = 6
REQUESTS = 20
DEADLINE_MS = 1500


async def send_on(client, rng, targets, sent, record):
    for at in range(REQUESTS):
        target = targets[at % len(targets)]
        is_order = target.startswith('/order/')
        request, answer = await client.send(
            'POST' if is_order else 'GET',
            target,
            rng.randrange(50),
            DEADLINE_MS,
            b'pallet' if is_order else b'',
        )
        status = answer[0] if answer else 0
        sent[request] = target
        record.write(f'{request} sent to {target}: answered {status}')
        await asyncio.sleep(rng.uniform(0.02, 0.1))
    client.close()


async def case(record, has_trouble):
    zones = ('pnw-a', 'mountain-a', 'norcal-a')
    servers = [
        Server(f'i-{at}', zones[at % 3], slots=9, run_s=0.05) for at in range(6)
    ]
    # Targets with a query that is empty, or with TROUBLE=0 without one.
    targets = ['/stock/2f', '/stock/2f?size=7', '/order/2f']
    if has_trouble:
        targets += ['/stock/2f?', '/order/2f?']
    sent = {}
    async with Deployment(servers, zones) as deployment:
        await asyncio.gather(
            *(
                send_on(
                    Client(deployment.machines[at % 3], f'c{at}'),
                    random.Random(SEED + at),
                    targets,
                    sent,
                    record,
                )
                for at in range(CLIENTS)
            )
        )
    changed = 0
    for server in servers:
        for request in server.arrivals:
            if request.id not in server.runs:
                continue
            record.write(f'{server.name} ran {request.id} {request.target}')
            if request.target != sent.get(request.id):
                changed += 1
                record.write(
                    f'UNASKED broken: {request.id} was sent to '
                    f'{sent.get(request.id)} and ran as {request.target}'
                )
    print(f'{len(sent)} requests; run with a changed target: {changed}')
    return bool(changed)


sys.exit(main(case, FOLDER))
