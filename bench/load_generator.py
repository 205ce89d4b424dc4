"""Generates the load of one customer and records the call results."""

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


class CallResult(NamedTuple):
    """The result of one request, as its caller received it.

    Attributes:
        service: the service that the request was sent to.
        request: `METHOD path body`, unique in the run.
        outcome: answered, not-run or unknown.
        reason: why there is no response.
        matches_request: whether the response belongs to this request.
        run_number: which run of the request the upstream answered.
    """

    service: str
    request: str
    outcome: str
    reason: str = ''
    matches_request: bool = True
    run_number: int = 0

    @property
    def is_write(self) -> bool:
        """Whether the request is non-idempotent."""
        return self.request.startswith('POST ')


class LoadGenerator:
    """Runs the callers of one customer in all of its zones.

    Args:
        deployment: the deployment that receives the requests.
        shape: the customer.
        seed: seed of the random pauses and of the choice of writes.
    """

    def __init__(
        self,
        deployment: Deployment,
        shape: CustomerShape,
        seed: int,
    ) -> None:
        """Initializes the generator; `run` starts the callers."""
        self.results: list[CallResult] = []
        self.latencies: dict[str, HdrHistogram] = {}
        self._deployment = deployment
        self._shape = shape
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._stopped = False

    async def run(self, callers: int) -> None:
        """Sends requests until `stop`, then waits for the last results.

        Args:
            callers: number of callers for each zone and service.
        """
        await asyncio.gather(
            *(
                self._run_caller(zone, service)
                for zone in self._shape.zones
                for service in self._shape.services
                for _ in range(callers)
            ),
        )

    def stop(self) -> None:
        """Makes each caller end after its current request."""
        self._stopped = True

    def outcomes(self) -> Iterator[str]:
        """Yields `outcome` or `outcome.reason` of each result."""
        for result in self.results:
            yield f'{result.outcome}.{result.reason}'.rstrip('.')

    async def _run_caller(self, zone: str, service: ServiceShape) -> None:
        instances = self._deployment.instances.values()
        region = self._shape.zones[zone]
        addresses = [
            instance.caller for instance in instances if instance.zone == zone
        ]
        addresses += [
            instance.caller
            for instance in instances
            if instance.region == region
        ]
        async with Client(addresses) as client:
            while not self._stopped:
                await asyncio.sleep(
                    self._random.expovariate(1 / MEAN_PAUSE_SECONDS),
                )
                self.results.append(await self._send_request(client, service))

    async def _send_request(
        self, client: Client, service: ServiceShape
    ) -> CallResult:
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
            return CallResult(service.name, request, 'not-run', refusal.reason)
        except OutcomeUnknown as unknown:
            return CallResult(service.name, request, 'unknown', unknown.reason)
        finally:
            kind = 'write' if is_write else 'read'
            self._record_latency(
                f'{service.name} {kind}', time.monotonic() - started
            )
        body = json.loads(reply.body)
        return CallResult(
            service.name,
            request,
            'answered',
            matches_request=body['ran'] == request,
            run_number=body['run'],
        )

    def _record_latency(self, kind: str, seconds: float) -> None:
        histogram = self.latencies.get(kind)
        if histogram is None:
            histogram = HdrHistogram(
                1,
                HIGHEST_MICROSECONDS,
                SIGNIFICANT_DIGITS,
            )
            self.latencies[kind] = histogram
        histogram.record_value(max(1, int(seconds * MICROSECONDS)))
