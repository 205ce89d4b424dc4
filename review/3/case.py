"""DRAIN: a backend that is gone gets work while waiting watches are cut."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from platform_standins import Client, Deployment, Server, main

SEED = 11
CLIENTS = 18
# A watch that is waiting may be cut. Of the waiting watches, one in this time
# is; the store answers all other calls at once, and is never down.
CUT_EVERY_S = 1.8
CUTS_FROM_S = 2.0
REMOVED_AT_S = 6.0
# The bound `drain` of the site.
DRAIN_S = 2.5
# The backend serves on after its removal, and a little longer than `drain`:
# "at times many seconds". Then it exits.
SERVES_S = 9.0
SECONDS = REMOVED_AT_S + SERVES_S + 2
DEADLINE_MS = 1500


async def send_on(client, rng, until, sent, record):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        key = rng.randrange(300)
        began = loop.time()
        if rng.random() < 0.5:
            request, answer = await client.send(
                'POST', '/order/2f', key, DEADLINE_MS, b'pallet'
            )
        else:
            request, answer = await client.send(
                'GET', '/stock/2f', key, DEADLINE_MS
            )
        status = answer[0] if answer else 0
        sent[request] = (began, status)
        record.write(f'{request} answered {status}')
        await asyncio.sleep(rng.uniform(0.05, 0.15))
    client.close()


async def cut_watches(store, record):
    while True:
        await asyncio.sleep(CUT_EVERY_S)
        store.cut_watches()
        record.write(f'a waiting watch is cut; {store.cuts} so far')


async def case(record, has_trouble):
    zones = ('pnw-a', 'mountain-a', 'norcal-a')
    servers = [
        Server(f'i-{at}', zones[at % 3], slots=9, run_s=0.1)
        for at in range(12)
    ]
    sent = {}
    async with Deployment(servers, zones * 2) as deployment:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        sending = [
            asyncio.create_task(
                send_on(
                    Client(deployment.machines[at % 6], f'm{at % 6}-c{at}'),
                    random.Random(SEED + at),
                    begun + SECONDS,
                    sent,
                    record,
                )
            )
            for at in range(CLIENTS)
        ]
        await asyncio.sleep(CUTS_FROM_S)
        cutting = None
        if has_trouble:
            cutting = asyncio.create_task(
                cut_watches(deployment.store, record)
            )
        await asyncio.sleep(REMOVED_AT_S - CUTS_FROM_S)
        # One server of each zone, a share of 0.25, leaves. They never report
        # `draining`: their entries are removed.
        leaving = servers[:3]
        for gone in leaving:
            deployment.store.remove(f'servers/{gone.name}')
            record.write(f'the store acknowledges the removal of {gone.name}')
        removed = loop.time()
        await asyncio.sleep(SERVES_S)
        exits = loop.time()
        for gone in leaving:
            record.write(f'{gone.name} exits; {gone.running} requests run there')
            gone.close()
        await asyncio.gather(*sending)
        if cutting is not None:
            cutting.cancel()
    late = []
    lost = []
    for gone in leaving:
        for request in gone.arrivals:
            began, status = sent.get(request.id, (0, 0))
            arrived = request.at - removed
            if arrived <= 0:
                continue
            record.write(
                f'{request.id} arrives at {gone.name} {arrived:.3f} s after '
                'its removal'
            )
            # Counted as the rule does, and only if the client sent it so late.
            if arrived > DRAIN_S and began - removed > DRAIN_S:
                late.append((request.id, gone.name))
            is_cut = exits - request.at < gone.run_s and status != 200
            if request.method == 'POST' and is_cut:
                lost.append(request.id)
    for request, name in late:
        record.write(f'DRAIN broken: {request} was sent to {name} after drain')
    record.write(f'orders cut by the exit of a backend: {lost}')
    machines = Counter(request.partition('-')[0] for request, _ in late)
    statuses = dict(Counter(status for _, status in sent.values()))
    print(
        f'{len(sent)} requests, answers {statuses}, {deployment.store.cuts} '
        f'watches cut; requests sent to a removed backend later than '
        f'{DRAIN_S} s after its removal: {len(late)} by {dict(machines)}; '
        f'orders cut by the exit: {len(lost)}'
    )
    return bool(late)


sys.exit(main(case, FOLDER))
