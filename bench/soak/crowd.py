"""Callers that keep connections and remember what they were told."""

import asyncio
import json
import random
import time
from typing import NamedTuple

import aiohttp

from bench.soak.world import World

DEADLINE_MS = 1200
ANSWER_MARGIN_SECONDS = 0.6
LOOKUP_SECONDS = 2.0
THINGS = 12
REFUSALS = frozenset((404, 408, 421, 429, 503))
MOST_PAUSE_SECONDS = 0.1


class Told(NamedTuple):
    """What a caller was told of one request.

    Attributes:
        request: its id.
        instance: the instance that it was sent to.
        is_order: whether it may run once at most.
        sent: when it was sent, in seconds of the monotonic clock.
        ended: when the caller knew.
        status: of the answer; 0 if there was none.
        ran: the id that the answer names; '' if it names none.
        is_sealed: whether the answer has an upstream's seal.
        error: why there was no answer.
    """

    request: str
    instance: str
    is_order: bool
    sent: float
    ended: float
    status: int
    ran: str
    is_sealed: bool
    error: str


class Crowd:
    """Callers in all zones; each has one connection to each instance.

    Args:
        world: the deployment.
        rng: chooses requests.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        """Makes a crowd that sends nothing yet."""
        self.told: list[Told] = []
        self.paths = {False: '/read/', True: '/order/'}
        self._world = world
        self._rng = rng
        self._is_running = True
        self._by_address = {
            f'127.0.0.1:{seat.ports[0]}': seat.name
            for seat in world.seats.values()
        }

    async def run(self, callers: int) -> None:
        """Sends requests until stopped."""
        zones = sorted({seat.zone for seat in self._world.seats.values()})
        await asyncio.gather(
            *(self._call(at, zones[at % len(zones)]) for at in range(callers)),
        )

    def stop(self) -> None:
        """Lets each caller end its present request."""
        self._is_running = False

    async def send(
        self,
        http: aiohttp.ClientSession,
        name: str,
        request: str,
        rng: random.Random,
    ) -> Told:
        """Sends one request to an instance; returns what was told."""
        is_order = rng.random() < 0.3
        sent = time.monotonic()
        status = 0
        ran = ''
        is_sealed = False
        error = ''
        address = self._world.seats[name].callers
        limit = DEADLINE_MS / 1000 + ANSWER_MARGIN_SECONDS
        try:
            async with http.request(
                'POST' if is_order else 'GET',
                f'http://{address}{self.paths[is_order]}{request}',
                data=b'x' * 300 if is_order else None,
                headers={
                    'Host': 'shop.example',
                    'Lycheedyke-Request-Id': request,
                    'Lycheedyke-Deadline-Ms': str(DEADLINE_MS),
                    'Cookie': f'Lycheedyke-Affinity-Key={rng.randrange(THINGS)}',
                },
                timeout=aiohttp.ClientTimeout(total=limit),
            ) as answer:
                status = answer.status
                is_sealed = 'Lycheedyke-Server-Seal' in answer.headers
                ran = _read_id(await answer.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            error = type(failure).__name__
            status = 0
        ended = time.monotonic()
        return Told(
            request,
            name,
            is_order,
            sent,
            ended,
            status,
            ran,
            is_sealed,
            error,
        )

    async def _call(self, caller: int, zone: str) -> None:
        rng = random.Random(self._rng.random())
        async with aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar()
        ) as http:
            names: list[str] = []
            asked = -LOOKUP_SECONDS
            count = 0
            while self._is_running:
                if time.monotonic() - asked > LOOKUP_SECONDS:
                    names = await self._look_up(http, zone, rng) or names
                    asked = time.monotonic()
                count += 1
                name = rng.choice(names or sorted(self._world.seats))
                told = await self.send(http, name, f'c{caller}-{count}', rng)
                self.told.append(told)
                pause = rng.random() * MOST_PAUSE_SECONDS
                await asyncio.sleep(pause if told.status else 0.2)

    async def _look_up(
        self,
        http: aiohttp.ClientSession,
        zone: str,
        rng: random.Random,
    ) -> list[str]:
        seat = self._world.seats[rng.choice(sorted(self._world.seats))]
        url = f'http://{seat.lookups}/lookup?name=shop.example&zone={zone}'
        try:
            async with http.get(
                url, timeout=aiohttp.ClientTimeout(total=0.5)
            ) as answer:
                found = json.loads(await answer.read())['addrs']
        except (aiohttp.ClientError, TimeoutError, OSError):
            return []
        return [self._by_address[address] for address in found]


def _read_id(body: bytes) -> str:
    try:
        return str(json.loads(body)['ran'])
    except (ValueError, KeyError, TypeError):
        return ''
