"""Callers of one customer, and what each of them was told."""

import asyncio
import itertools
import json
import random
import time
from collections.abc import Iterator
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from bench.shapes import CustomerShape, ServiceShape
from lycheedyke import Client, OutcomeUnknown, RequestNotRun
from standins.deployment import Deployment

HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000
MEAN_PAUSE_SECONDS = 0.05
WRITE_SHARE = 0.3


class Told(NamedTuple):
    """What a caller was told about one request.

    Attributes:
        service: the service asked.
        request: `METHOD path body`, unique in the run.
        outcome: answered, not-run or unknown.
        reason: why there is no answer.
        own: whether an answer was that of this very request.
        run: which run of the request the upstream answered.
    """

    service: str
    request: str
    outcome: str
    reason: str = ''
    own: bool = True
    run: int = 0

    @property
    def is_write(self) -> bool:
        """Whether the request is non-idempotent."""
        return self.request.startswith('POST ')


class Crowd:
    """Callers in all regions of one customer.

    Args:
        running: the deployment.
        shape: the customer.
        seed: makes the callers' choices repeatable.
    """

    def __init__(
        self,
        running: Deployment,
        shape: CustomerShape,
        seed: int,
    ) -> None:
        """Makes callers that have not asked anything."""
        self.told: list[Told] = []
        self.latencies: dict[str, HdrHistogram] = {}
        self._running = running
        self._shape = shape
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._stopped = False

    async def run(self, callers: int) -> None:
        """Sends requests until `stop`, then waits for the last answers."""
        await asyncio.gather(
            *(
                self._call(zone, service)
                for zone in self._shape.zones
                for service in self._shape.services
                for _ in range(callers)
            ),
        )

    def stop(self) -> None:
        """Lets each caller finish its last request."""
        self._stopped = True

    def kinds(self) -> Iterator[str]:
        """Yields `outcome` or `outcome.reason` of each request."""
        for told in self.told:
            yield f'{told.outcome}.{told.reason}'.rstrip('.')

    async def _call(self, zone: str, service: ServiceShape) -> None:
        seats = self._running.instances.values()
        region = self._shape.zones[zone]
        near = [seat.caller for seat in seats if seat.zone == zone]
        near += [seat.caller for seat in seats if seat.region == region]
        async with Client(near) as client:
            while not self._stopped:
                await asyncio.sleep(
                    self._random.expovariate(1 / MEAN_PAUSE_SECONDS),
                )
                self.told.append(await self._ask(client, service))

    async def _ask(self, client: Client, service: ServiceShape) -> Told:
        number = next(self._numbers)
        is_write = service.writes and self._random.random() < WRITE_SHARE
        path = f'/items/{number}'
        request = f'POST {path} {number}' if is_write else f'GET {path} '
        started = time.monotonic()
        try:
            if is_write:
                reply = await client.post(service.name, path, b'%d' % number)
            else:
                reply = await client.get(service.name, path)
        except RequestNotRun as refusal:
            return Told(service.name, request, 'not-run', refusal.reason)
        except OutcomeUnknown as unknown:
            return Told(service.name, request, 'unknown', unknown.reason)
        finally:
            kind = 'write' if is_write else 'read'
            self._time(f'{service.name} {kind}', time.monotonic() - started)
        body = json.loads(reply.body)
        return Told(
            service.name,
            request,
            'answered',
            own=body['ran'] == request,
            run=body['run'],
        )

    def _time(self, kind: str, seconds: float) -> None:
        histogram = self.latencies.get(kind)
        if histogram is None:
            histogram = HdrHistogram(
                1,
                HIGHEST_MICROSECONDS,
                SIGNIFICANT_DIGITS,
            )
            self.latencies[kind] = histogram
        histogram.record_value(max(1, int(seconds * MICROSECONDS)))
