"""HOME: the directory sends callers of a route with homes to other regions."""

import asyncio
import json
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from platform_standins import (
    HOST,
    ORDER,
    READ,
    ZONES,
    Client,
    Deployment,
    Server,
    config,
    main,
    read_response,
)

SEED = 5
CLIENTS_PER_ZONE = 12
# The configuration changes so long after the start, and all answers of the
# directory from before (their `ttl` is 2 s) are old so long after it.
CHANGE_AT_S = 2.0
SETTLED_S = 6.0
SECONDS = 20.0
DEADLINE_MS = 1500
TTL_S = 2.0
MOST_SHARE = 1 / 20
# Stock of the region pnw may be looked up in pnw only.
STOCK = {**READ, 'homeRegions': ['pnw']}


async def look_up(machine, zone):
    host, _, port = machine.ports['directory'].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'GET /lookup?name={HOST}&region={ZONES[zone]}&zone={zone} HTTP/1.1'
        '\r\nHost: directory\r\n\r\n'.encode()
    )
    _, _, body = await read_response(reader)
    writer.close()
    return json.loads(body)['addrs']


async def send_on(deployment, zone, name, rng, until, sent, record):
    """A client: asks the nearest directory, and uses what it names."""
    loop = asyncio.get_running_loop()
    by_front = {each.ports['front']: each for each in deployment.machines}
    directory = next(each for each in deployment.machines if each.zone == zone)
    while loop.time() < until:
        machine = by_front[rng.choice(await look_up(directory, zone))]
        client = Client(machine, f'{name}-{len(sent)}')
        expires = loop.time() + TTL_S
        while loop.time() < min(expires, until):
            began = loop.time()
            request, answer = await client.send(
                'GET', '/stock/2f', rng.randrange(50), DEADLINE_MS
            )
            status = answer[0] if answer else 0
            sent.append((began, request, ZONES[zone], ZONES[machine.zone]))
            record.write(
                f'{request} from {zone} sent to {machine.zone}: {status}'
            )
            await asyncio.sleep(rng.uniform(0.3, 0.6))
        client.close()


async def case(record, has_trouble):
    # Servers as on cfs-orders: the region pnw has a tenth of them.
    zones = ['pnw-a'] + ['mountain-a'] * 4 + ['norcal-a'] * 5
    servers = [Server(f'i-{at}', zone) for at, zone in enumerate(zones)]
    machines = ('pnw-a', 'mountain-a', 'norcal-a') * 2
    sent = []
    async with Deployment(servers, machines, (STOCK,)) as deployment:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        sending = [
            asyncio.create_task(
                send_on(deployment, zone, f'{zone}-c{at}',
                        random.Random(f'{SEED} {zone} {at}'),
                        begun + SECONDS, sent, record)
            )
            for zone in ZONES
            for at in range(CLIENTS_PER_ZONE)
        ]
        await asyncio.sleep(CHANGE_AT_S)
        # A route is added; its homes are others, or with TROUBLE=0 the same.
        homes = ['mountain'] if has_trouble else ['pnw']
        order = {**ORDER, 'homeRegions': homes}
        deployment.store.put('op/config', config(0x15, [STOCK, order]))
        record.write(f'version 00000015 adds {order["name"]}, homes {homes}')
        await asyncio.gather(*sending)
    counted = [each for each in sent if each[0] > begun + SETTLED_S]
    wrong = [
        (request, client, machine)
        for _, request, client, machine in counted
        if machine not in (client, *STOCK['homeRegions'])
    ]
    for request, client, machine in wrong:
        record.write(f'HOME: {request} of {client} was sent to {machine}')
    share = len(wrong) / len(counted)
    regions = dict(Counter(f'{client} to {machine}' for _, client, machine in wrong))
    print(
        f'{len(counted)} requests on a route with homes, {len(wrong)} '
        f'({share:.3f}) sent to machines in neither a home nor the region of '
        f'the client: {regions}'
    )
    return share > MOST_SHARE


sys.exit(main(case, FOLDER))
