"""Callers that send requests over persistent connections."""

import asyncio
import json
import random
import time
from datetime import timedelta
from types import MappingProxyType
from typing import NamedTuple

import aiohttp

from bench.soak.sessions import (
    ConnectionUse,
    UnansweredError,
    caller_address,
    open_session,
)
from bench.soak.stalls import StallMonitor
from bench.soak.testbed import Testbed

DEADLINE_MS = 1200
ANSWER_MARGIN = timedelta(milliseconds=600)
ANSWER_LIMIT = timedelta(milliseconds=DEADLINE_MS) + ANSWER_MARGIN
LOOKUP_INTERVAL_SECONDS = 2.0
OBJECT_KEY_COUNT = 12
ORDER_SHARE = 0.3
PREFIXES = MappingProxyType({False: '/read/', True: '/order/'})
REPEATED_PATHS = 5
# Stood behind an answer that closed its connection.
BEHIND_CLOSE = 'BehindClose'
NEVER = float('inf')
# How callers see a connection that is closed before any response.
CLOSE_ERRORS = frozenset(
    (
        'ConnectionClosed',
        'ServerDisconnectedError',
        'ClientOSError',
        'ClientConnectionResetError',
    )
)
REFUSALS = frozenset((404, 408, 421, 429, 503))
MAX_PAUSE_SECONDS = 0.1


class Call(NamedTuple):
    """A request that a caller sends.

    Attributes:
        request: the request id.
        is_order: whether the request is an order, which may run at most once.
        path: its path; '' for the id below the prefix of its route.
        query: its query with the question mark, or ''.
        object_key: the object that it concerns.
    """

    request: str
    is_order: bool
    path: str = ''
    query: str = ''
    object_key: int = 0


class CallResult(NamedTuple):
    """Result of one call, as the caller observed it.

    Attributes:
        request: the request id.
        instance: the instance to which the request was sent.
        is_order: whether the request is an order, which may run at most once.
        sent: when the request was sent, in seconds of the monotonic clock.
        ended: when the call ended, in seconds of the monotonic clock.
        status: HTTP status of the response; 0 if there was none.
        response_id: request id in the body of the response; '' if none.
        is_sealed: whether the response has the seal header of an upstream.
        path: the path of the request.
        reason: the body of a response without seal.
        error: type name of the exception if there was no response.
        idle_since: the last use of its connection before the request and
            before all requests beside it, if the connection is kept and none
            of them had a response; otherwise `NEVER`.
    """

    request: str
    instance: str
    is_order: bool
    sent: float
    ended: float
    status: int
    response_id: str
    is_sealed: bool
    path: str
    reason: str
    error: str
    idle_since: float = NEVER


class LoadGenerator:
    """Callers in all zones; each keeps one connection to each instance.

    Args:
        testbed: the started testbed.
        rng: makes all random choices.
        stalls: the stalls of this process, in which no answer can be read.
    """

    def __init__(
        self, testbed: Testbed, rng: random.Random, stalls: StallMonitor
    ) -> None:
        """Initializes the load generator; `run` starts the callers."""
        self.results: list[CallResult] = []
        self.bad_lookups: list[str] = []
        self._testbed = testbed
        self._rng = rng
        self._stalls = stalls
        self._last_used: dict[tuple[aiohttp.ClientSession, str], float] = {}
        self.is_running = True
        self._names_by_address = {
            f'127.0.0.1:{spec.ports[0]}': spec.name
            for spec in testbed.instances.values()
        }

    async def run(self, callers: int) -> None:
        """Runs callers until `stop`, spread evenly over the zones."""
        zones = sorted({spec.zone for spec in self._testbed.instances.values()})
        await asyncio.gather(
            *(
                self._run_caller(at, zones[at % len(zones)])
                for at in range(callers)
            ),
        )

    def stop(self) -> None:
        """Stops each caller after its current request."""
        self.is_running = False

    async def send(
        self,
        http: aiohttp.ClientSession,
        name: str,
        call: Call,
    ) -> CallResult:
        """Sends one request to an instance; returns the result."""
        path = call.path or f'{PREFIXES[call.is_order]}{call.request}'
        sent = time.monotonic()
        last_used = self._last_used.get((http, name), NEVER)
        stalled = self._stalls.total()
        connection = ConnectionUse()
        status = 0
        body = b''
        is_sealed = False
        error = ''
        address = self._testbed.instances[name].caller_address
        try:
            async with (
                self._stalls.timeout(ANSWER_LIMIT),
                http.request(
                    'POST' if call.is_order else 'GET',
                    f'http://{address}{path}{call.query}',
                    data=b'x' * 300 if call.is_order else None,
                    headers={
                        'Host': 'shop.example',
                        'Lycheedyke-Request-Id': call.request,
                        'Lycheedyke-Deadline-Ms': str(DEADLINE_MS),
                        'Cookie': f'Lycheedyke-Affinity-Key={call.object_key}',
                    },
                    trace_request_ctx=connection,
                ) as response,
            ):
                status = response.status
                is_sealed = 'Lycheedyke-Server-Seal' in response.headers
                body = await response.read()
        except UnansweredError as failure:
            error = type(failure.__cause__).__name__
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            error = type(failure).__name__
            status = 0
        ended = time.monotonic()
        answered = self._stalls.earliest_answer(ended, stalled)
        self._last_used[http, name] = max(sent, answered)
        return CallResult(
            call.request,
            name,
            call.is_order,
            sent,
            ended,
            status,
            _read_id(body),
            is_sealed,
            path,
            '' if is_sealed else body.decode(errors='replace'),
            error,
            NEVER if connection.is_new else last_used,
        )

    async def _run_caller(self, caller: int, zone: str) -> None:
        rng = random.Random(self._rng.random())
        async with open_session(caller_address(caller)) as http:
            names: list[str] = []
            last_lookup = -LOOKUP_INTERVAL_SECONDS
            count = 0
            while self.is_running:
                if time.monotonic() - last_lookup > LOOKUP_INTERVAL_SECONDS:
                    names = await self._look_up(http, zone, rng) or names
                    last_lookup = time.monotonic()
                count += 1
                name = rng.choice(names or sorted(self._testbed.instances))
                call = make_call(f'c{caller}-{count}', rng)
                # Callers send the same few requests again.
                path = f'c{caller}/{count % REPEATED_PATHS}'
                result = await self.send(
                    http,
                    name,
                    call._replace(path=f'{PREFIXES[call.is_order]}{path}'),
                )
                self.results.append(result)
                pause = rng.random() * MAX_PAUSE_SECONDS
                await asyncio.sleep(pause if result.status else 0.2)

    async def _look_up(
        self,
        http: aiohttp.ClientSession,
        zone: str,
        rng: random.Random,
    ) -> list[str]:
        spec = self._testbed.instances[
            rng.choice(sorted(self._testbed.instances))
        ]
        url = (
            f'http://{spec.lookup_address}/lookup?name=shop.example&zone={zone}'
        )
        try:
            async with http.get(
                url, timeout=aiohttp.ClientTimeout(total=0.5)
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return []
        try:
            found = json.loads(body)['addrs']
            return [self._names_by_address[address] for address in found]
        except (ValueError, KeyError, TypeError):
            self.bad_lookups.append(
                f'look-up at {spec.name} was answered with '
                f'{response.status} {body!r}'
            )
            return []


def make_call(request: str, rng: random.Random) -> Call:
    """Returns a request with a random type and object."""
    is_order = rng.random() < ORDER_SHARE
    return Call(request, is_order, object_key=rng.randrange(OBJECT_KEY_COUNT))


def _read_id(body: bytes) -> str:
    try:
        return str(json.loads(body)['ran'])
    except (ValueError, KeyError, TypeError):
        return ''
