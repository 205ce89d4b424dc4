"""Open-loop load: the arrival rate does not depend on the responses."""

import asyncio
import itertools
import random
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import timedelta

from hdrh.histogram import HdrHistogram

from lycheedyke import Client, OutcomeUnknown, RequestNotRun

HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000
CALL_TIMEOUT = timedelta(seconds=2)


class OpenLoopLoad:
    """Open-loop load generator for one service.

    Args:
        service: the service that is called.
        entries: seed addresses of entry instances, by region.
        weights: relative number of callers, by region.
        seed: seed of the arrival times and of the choice of callers.
    """

    def __init__(
        self,
        service: str,
        entries: Mapping[str, Sequence[str]],
        weights: Mapping[str, float],
        seed: int,
    ) -> None:
        """Initializes the clients; `run` starts the load."""
        self.outcomes: Counter[str] = Counter()
        self.elapsed: float = 0
        self.latency = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        self._service = service
        self._random = random.Random(seed)
        self._regions = list(weights)
        self._weights = list(weights.values())
        self._clients = {
            region: [
                Client(_rotate(addresses, first), timeout=CALL_TIMEOUT)
                for first in range(len(addresses))
            ]
            for region, addresses in entries.items()
        }
        self._numbers = itertools.count()
        self._pending: set[asyncio.Task[None]] = set()

    async def run(self, rate: float, seconds: float) -> None:
        """Sends requests, then waits for the last response.

        Args:
            rate: mean number of arrivals per second (Poisson process).
            seconds: how long requests arrive.
        """
        started = time.monotonic()
        end = started + seconds
        arrival = started
        while arrival < end:
            arrival += self._random.expovariate(rate)
            await asyncio.sleep(max(0, arrival - time.monotonic()))
            task = asyncio.create_task(self._call())
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
        await asyncio.gather(*self._pending)
        self.elapsed = time.monotonic() - started

    async def close(self) -> None:
        """Closes all connections."""
        for clients in self._clients.values():
            for client in clients:
                await client.close()

    async def _call(self) -> None:
        region = self._random.choices(self._regions, self._weights)[0]
        client = self._random.choice(self._clients[region])
        started = time.monotonic()
        try:
            await client.get(self._service, f'/items/{next(self._numbers)}')
        except RequestNotRun as refusal:
            self.outcomes[f'not-run.{refusal.reason}'] += 1
        except OutcomeUnknown as unknown:
            self.outcomes[f'unknown.{unknown.reason}'] += 1
        else:
            self.outcomes['answered'] += 1
            seconds = time.monotonic() - started
            self.latency.record_value(max(1, int(seconds * MICROSECONDS)))


def _rotate(addresses: Sequence[str], first: int) -> list[str]:
    """Returns the addresses rotated so that index `first` comes first."""
    return [*addresses[first:], *addresses[:first]]
