"""Requests that arrive at a steady rate, whatever becomes of them."""

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
PATIENCE = timedelta(seconds=2)


class Arrivals:
    """Callers of one service, spread over regions by their capacity.

    Args:
        service: the service asked.
        entries: entry addresses by region, which callers ask at first.
        weights: the share of callers of each region.
        seed: makes the arrivals repeatable.
    """

    def __init__(
        self,
        service: str,
        entries: Mapping[str, Sequence[str]],
        weights: Mapping[str, float],
        seed: int,
    ) -> None:
        """Makes callers that have not asked anything."""
        self.kinds: Counter[str] = Counter()
        self.elapsed: float = 0
        self.latency = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        self._service = service
        self._random = random.Random(seed)
        self._regions = list(weights)
        self._weights = list(weights.values())
        self._clients = {
            region: [
                Client(_turn(addresses, first), timeout=PATIENCE)
                for first in range(len(addresses))
            ]
            for region, addresses in entries.items()
        }
        self._numbers = itertools.count()
        self._pending: set[asyncio.Task[None]] = set()

    async def run(self, rate: float, seconds: float) -> None:
        """Sends requests at a rate per second, then waits for the last."""
        started = time.monotonic()
        end = started + seconds
        arrival = started
        while arrival < end:
            arrival += self._random.expovariate(rate)
            await asyncio.sleep(max(0, arrival - time.monotonic()))
            task = asyncio.create_task(self._ask())
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
        await asyncio.gather(*self._pending)
        self.elapsed = time.monotonic() - started

    async def close(self) -> None:
        """Closes all connections."""
        for clients in self._clients.values():
            for client in clients:
                await client.close()

    async def _ask(self) -> None:
        region = self._random.choices(self._regions, self._weights)[0]
        client = self._random.choice(self._clients[region])
        started = time.monotonic()
        try:
            await client.get(self._service, f'/items/{next(self._numbers)}')
        except RequestNotRun as refusal:
            self.kinds[f'not-run.{refusal.reason}'] += 1
        except OutcomeUnknown as unknown:
            self.kinds[f'unknown.{unknown.reason}'] += 1
        else:
            self.kinds['answered'] += 1
            seconds = time.monotonic() - started
            self.latency.record_value(max(1, int(seconds * MICROSECONDS)))


def _turn(addresses: Sequence[str], first: int) -> list[str]:
    return [*addresses[first:], *addresses[:first]]
