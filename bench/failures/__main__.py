"""Causes all failures: `python -m bench.failures --customer NAME --seed N`."""

import asyncio
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import defopt

from bench.crowd import Crowd
from bench.failures import checks
from bench.failures.faults import Faults
from bench.failures.operators import Operators
from bench.shapes import CUSTOMERS, CustomerShape
from bench.upstreams import (
    free_share,
    read_records,
    set_run_times,
    start_upstreams,
)
from standins.deployment import Deployment
from standins.operators import apply_ticket, get_admin, wait_in_force

ENTRIES = 2
POLL_SECONDS = 0.25
SETTLE_SECONDS = 6
HTTP_OK = 200
EXIT_BROKEN = 1


class FailureRun:
    """One run against one customer's deployment.

    Args:
        running: the deployment.
        shape: the customer.
        seed: makes the choices repeatable.
    """

    def __init__(
        self,
        running: Deployment,
        shape: CustomerShape,
        seed: int,
    ) -> None:
        """Makes a run over a started deployment."""
        self._running = running
        self._shape = shape
        self._ticket = start_upstreams(running, shape)
        upstreams = self._ticket['upstreams']
        self._crowd = Crowd(running, shape, seed)
        self._faults = Faults(
            running,
            [upstream['address'] for upstream in upstreams.values()],
            seed,
        )
        self._operators = Operators(running, upstreams, seed)
        self._numbers: dict[str, list[int]] = {}
        self._headroom: list[float] = []

    async def run(self, seconds: float, callers: int) -> list[str]:
        """Runs for a time; returns a line for each broken promise."""
        await self._begin()
        watching = asyncio.create_task(self._watch())
        calling = asyncio.create_task(self._crowd.run(callers))
        operating = asyncio.create_task(self._operators.run())
        await self._faults.run(seconds)
        self._operators.stop()
        await operating
        await asyncio.sleep(SETTLE_SECONDS)
        faults = [line async for line in self._find_behind()]
        self._crowd.stop()
        await calling
        watching.cancel()
        faults.extend(await self._check())
        return faults

    def report(self) -> None:
        """Prints what was caused, told and measured."""
        print('caused:', ', '.join(self._faults.caused))
        print('planned stops ended with', self._faults.exit_statuses)
        print(
            f'tickets: {len(self._operators.accepted)} accepted, '
            f'{self._operators.refused} refused, '
            f'{self._operators.unknown} unknown to their operator',
        )
        total = len(self._crowd.told)
        for kind, count in Counter(self._crowd.kinds()).most_common():
            print(f'  {kind}: {count} ({count / total:.2%})')
        for name, histogram in sorted(self._crowd.latencies.items()):
            percentiles = ', '.join(
                f'p{percent:g} '
                f'{histogram.get_value_at_percentile(percent) / 1000:.0f} ms'
                for percent in (50, 99, 99.9)
            )
            print(f'latency, {name}: {percentiles}')
        print(
            f'free slots: least {min(self._headroom):.0%}, '
            f'mean {statistics.mean(self._headroom):.0%}',
        )

    async def _begin(self) -> None:
        await set_run_times(self._shape, self._ticket)
        number = await asyncio.to_thread(
            apply_ticket,
            self._running,
            self._ticket,
        )
        await wait_in_force(self._running, number)

    async def _watch(self) -> None:
        while True:
            self._headroom.append(free_share(await read_records(self._ticket)))
            async for incarnation, number in self._poll():
                self._numbers.setdefault(incarnation, []).append(number)
            await asyncio.sleep(POLL_SECONDS)

    async def _poll(self) -> Any:
        for seat in self._running.instances.values():
            try:
                async with asyncio.timeout(1):
                    status = await get_admin(seat, '/v1/status')
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            yield status['incarnation'], status['ticket']

    async def _find_behind(self) -> Any:
        newest = max(
            (ticket.number for ticket in self._operators.accepted),
            default=1,
        )
        async for incarnation, number in self._poll():
            if number < newest:
                yield f'{incarnation} is at ticket {number}, not {newest}'

    async def _check(self) -> list[str]:
        records = await read_records(self._ticket)
        seat = next(iter(self._running.instances.values()))
        newest = (await get_admin(seat, '/v1/status'))['ticket']
        tickets = [
            await get_admin(seat, f'/v1/tickets/{number}')
            for number in range(1, newest + 1)
        ]
        accepted = {each.number: each.at for each in self._operators.accepted}
        leaving = checks.last_leaving(tickets, accepted)
        return [
            *checks.find_faults(self._crowd.told, records),
            *checks.find_undrained(records, leaving),
            *checks.find_reverts(self._numbers),
            *self._failed_stops(),
        ]

    def _failed_stops(self) -> Iterator[str]:
        for status in self._faults.exit_statuses:
            if status:
                yield f'a planned stop ended with status {status}'


def run(
    *,
    customer: str = 'pantsaker',
    seed: int = 1,
    seconds: float = 30,
    callers: int = 6,
) -> int:
    """Run all failures together against one customer's deployment.

    Args:
        customer: pantsaker or cascade.
        seed: Makes the choices repeatable.
        seconds: How long failures are caused.
        callers: Callers for each zone and service.
    """
    shape = CUSTOMERS[customer]
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-failures-'))
    print(f'failures of {customer}, seed {seed}, logs in {folder}')
    started = time.monotonic()
    with Deployment(
        folder,
        zones=dict(shape.zones),
        entries=ENTRIES,
        customer=shape.name,
        links=True,
    ) as running:
        trial = FailureRun(running, shape, seed)
        faults = asyncio.run(trial.run(seconds, callers))
        trial.report()
    for fault in faults:
        print('BROKEN:', fault)
    print(f'{len(faults)} broken in {time.monotonic() - started:.0f} s')
    return EXIT_BROKEN if faults else 0


if __name__ == '__main__':
    sys.exit(defopt.run(run))
