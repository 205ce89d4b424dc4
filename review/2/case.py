"""CONFIG: what a backend answers with 204 reaches no client."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from platform_standins import (
    ORDER,
    READ,
    Client,
    Deployment,
    Server,
    config,
    main,
)

SEED = 2
CLIENTS = 9
ADDED_AT_S = 2.0
# The bound `configApply`, and `stable`.
STEADY_AFTER_S = 2.5 + 4.0
SECONDS = 20.0
DEADLINE_MS = 1500
# The route that is added: callers confirm that a pallet was picked up.
CONFIRM = {**ORDER, 'name': 'confirm', 'prefix': '/confirm/', 'service': 'ledger'}


class Ledger(Server):
    """A sound server whose runs have nothing to say.

    It answers 204 No Content, which has no body and no length (RFC 9110, 8.6),
    or 200 with a length of 0. It closes the connection where the request asks
    for that.
    """

    says_204 = False

    async def _answer(self, request, writer):
        self.arrivals.append(request)
        if request.headers.get('lycheedyke-expect-instance') != self.name:
            status, extra, length = '421 Misdirected Request', '', True
        else:
            self.runs.append(request.id)
            await asyncio.sleep(self.run_s)
            status, length = '200 OK', True
            if self.says_204:
                status, length = '204 No Content', False
            extra = 'Lycheedyke-Server-Seal: 3e1b.07.5a2.0.0.c9f2a4d1\r\n'
        if length:
            extra += 'Content-Length: 0\r\n'
        closes = request.headers.get('connection', '').lower() == 'close'
        if closes:
            extra += 'Connection: close\r\n'
        writer.write(
            f'HTTP/1.1 {status}\r\nLycheedyke-Request-Id: {request.id}\r\n'
            f'{extra}\r\n'.encode()
        )
        await writer.drain()
        if closes:
            writer.close()


async def send_on(client, rng, begun, until, sent, record):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        targets = ['/stock/2f']
        if loop.time() > begun + ADDED_AT_S + 2.5:
            targets.append('/confirm/2f')
        target = rng.choice(targets)
        began = loop.time()
        is_confirm = target == '/confirm/2f'
        request, answer = await client.send(
            'POST' if is_confirm else 'GET',
            target,
            rng.randrange(50),
            DEADLINE_MS,
            b'pallet 7 is here' if is_confirm else b'',
        )
        status, sealed = 0, False
        if answer is not None:
            status = answer[0]
            sealed = 'lycheedyke-server-seal' in answer[1]
        sent[request] = (began, target, status, sealed)
        record.write(
            f'{request} {target} answered {status}'
            f'{" with a seal" if sealed else ""}'
        )
        await asyncio.sleep(rng.uniform(0.05, 0.2))
    client.close()


async def case(record, has_trouble):
    zones = ('pnw-a', 'mountain-a', 'norcal-a')
    desk = [Server(f'i-{at}', zones[at % 3], run_s=0.1) for at in range(6)]
    ledger = [
        Ledger(f'i-{at}', zones[at % 3], service='ledger', run_s=0.1)
        for at in range(6, 9)
    ]
    for server in ledger:
        server.says_204 = has_trouble
    sent = {}
    async with Deployment(desk + ledger, zones, (READ,)) as deployment:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        sending = [
            asyncio.create_task(
                send_on(
                    Client(deployment.machines[at % 3], f'c{at}'),
                    random.Random(SEED + at),
                    begun,
                    begun + SECONDS,
                    sent,
                    record,
                )
            )
            for at in range(CLIENTS)
        ]
        await asyncio.sleep(ADDED_AT_S)
        deployment.store.put('op/config', config(0x15, [READ, CONFIRM]))
        record.write('version 00000015 adds the route confirm')
        await asyncio.gather(*sending)
    runs = Counter(run for server in ledger for run in server.runs)
    for run, count in runs.items():
        record.write(f'{run} ran {count} times')
    asked, served = Counter(), Counter()
    unheard = 0
    for request, (began, target, status, sealed) in sent.items():
        if began < begun + ADDED_AT_S + STEADY_AFTER_S:
            continue
        asked[target] += 1
        is_served = 200 <= status < 300 and sealed
        served[target] += is_served
        if runs[request] and not is_served:
            unheard += 1
            record.write(f'{request} ran to a good end, answered {status}')
    shares = {
        target: served[target] / max(1, asked[target])
        for target in ('/stock/2f', '/confirm/2f')
    }
    first, added = shares.values()
    is_broken = asked['/confirm/2f'] >= 20 and added < first / 4
    if is_broken:
        record.write(
            'CONFIG broken: the added route is served less than a quarter as often'
        )
    print(
        f'steady: first route served {served["/stock/2f"]} of '
        f'{asked["/stock/2f"]}, added route {served["/confirm/2f"]} of '
        f'{asked["/confirm/2f"]}; ran to a good end and not told: {unheard}'
    )
    return is_broken


sys.exit(main(case, FOLDER))
