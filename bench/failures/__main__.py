"""Failure run: `python -m bench.failures --customer NAME --seed N`."""

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

from bench.failures import checks
from bench.failures.faults import FaultInjector
from bench.failures.operators import Operators
from bench.load_generator import LoadGenerator
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
EXIT_VIOLATIONS = 1


class FailureRun:
    """One run against one customer's deployment.

    Args:
        deployment: the started deployment.
        shape: the services and zones of the customer.
        seed: seed of all random choices.
    """

    def __init__(
        self,
        deployment: Deployment,
        shape: CustomerShape,
        seed: int,
    ) -> None:
        """Starts the upstreams of the customer."""
        self._deployment = deployment
        self._shape = shape
        self._ticket = start_upstreams(deployment, shape)
        upstreams = self._ticket['upstreams']
        self._load_generator = LoadGenerator(deployment, shape, seed)
        self._fault_injector = FaultInjector(
            deployment,
            [upstream['address'] for upstream in upstreams.values()],
            seed,
        )
        self._operators = Operators(deployment, upstreams, seed)
        self._ticket_numbers: dict[str, list[int]] = {}
        self._headroom: list[float] = []

    async def run(self, seconds: float, callers: int) -> list[str]:
        """Runs for a time; returns a line for each violated guarantee.

        Args:
            seconds: how long faults are injected.
            callers: the number of callers for each zone and service.
        """
        await self._prepare()
        monitoring = asyncio.create_task(self._monitor())
        calling = asyncio.create_task(self._load_generator.run(callers))
        operating = asyncio.create_task(self._operators.run())
        await self._fault_injector.run(seconds)
        self._operators.stop()
        await operating
        await asyncio.sleep(SETTLE_SECONDS)
        violations = [line async for line in self._find_outdated()]
        self._load_generator.stop()
        await calling
        monitoring.cancel()
        violations.extend(await self._check())
        return violations

    def report(self) -> None:
        """Prints the faults, the results and the measurements."""
        print('faults:', ', '.join(self._fault_injector.injected))
        print(
            'exit statuses of planned stops:',
            self._fault_injector.exit_statuses,
        )
        print(
            f'tickets: {len(self._operators.accepted)} accepted, '
            f'{self._operators.refused} refused, '
            f'{self._operators.unknown} with unknown outcome',
        )
        total = len(self._load_generator.results)
        for kind, count in Counter(
            self._load_generator.outcomes()
        ).most_common():
            print(f'  {kind}: {count} ({count / total:.2%})')
        for name, histogram in sorted(self._load_generator.latencies.items()):
            percentiles = ', '.join(
                f'p{percent:g} '
                f'{histogram.get_value_at_percentile(percent) / 1000:.0f} ms'
                for percent in (50, 99, 99.9)
            )
            print(f'latency, {name}: {percentiles}')
        print(
            f'free slots: min {min(self._headroom):.0%}, '
            f'mean {statistics.mean(self._headroom):.0%}',
        )

    async def _prepare(self) -> None:
        """Applies the first ticket, and waits until all instances use it."""
        await set_run_times(self._shape, self._ticket)
        number = await asyncio.to_thread(
            apply_ticket,
            self._deployment,
            self._ticket,
        )
        await wait_in_force(self._deployment, number)

    async def _monitor(self) -> None:
        """Records free slots and ticket numbers until cancelled."""
        while True:
            self._headroom.append(free_share(await read_records(self._ticket)))
            async for incarnation, number in self._poll_tickets():
                self._ticket_numbers.setdefault(incarnation, []).append(number)
            await asyncio.sleep(POLL_SECONDS)

    async def _poll_tickets(self) -> Any:
        """Yields incarnation and ticket number of each reachable instance."""
        for spec in self._deployment.instances.values():
            try:
                async with asyncio.timeout(1):
                    status = await get_admin(spec, '/v1/status')
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            yield status['incarnation'], status['ticket']

    async def _find_outdated(self) -> Any:
        """Yields a line for each instance without the newest ticket."""
        newest = max(
            (ticket.number for ticket in self._operators.accepted),
            default=1,
        )
        async for incarnation, number in self._poll_tickets():
            if number < newest:
                yield f'{incarnation} has ticket {number}, not {newest}'

    async def _check(self) -> list[str]:
        records = await read_records(self._ticket)
        spec = next(iter(self._deployment.instances.values()))
        newest = (await get_admin(spec, '/v1/status'))['ticket']
        tickets = [
            await get_admin(spec, f'/v1/tickets/{number}')
            for number in range(1, newest + 1)
        ]
        accepted = {
            each.number: each.accepted_at for each in self._operators.accepted
        }
        leaving = checks.find_leaving_times(tickets, accepted)
        return [
            *checks.find_violations(self._load_generator.results, records),
            *checks.find_late_requests(records, leaving),
            *checks.find_ticket_regressions(self._ticket_numbers),
            *self._find_failed_stops(),
        ]

    def _find_failed_stops(self) -> Iterator[str]:
        for status in self._fault_injector.exit_statuses:
            if status:
                yield f'a planned stop exited with status {status}'


def run(
    *,
    customer: str = 'pantsaker',
    seed: int = 1,
    seconds: float = 30,
    callers: int = 6,
) -> int:
    """Run one customer's deployment under load while faults are injected.

    Args:
        customer: pantsaker or cascade.
        seed: Seed of all random choices.
        seconds: How long faults are injected.
        callers: Number of callers for each zone and service.
    """
    shape = CUSTOMERS[customer]
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-failures-'))
    print(f'failure run of {customer}, seed {seed}, logs in {folder}')
    started = time.monotonic()
    with Deployment(
        folder,
        zones=dict(shape.zones),
        entries=ENTRIES,
        customer=shape.name,
        links=True,
    ) as deployment:
        failure_run = FailureRun(deployment, shape, seed)
        violations = asyncio.run(failure_run.run(seconds, callers))
        failure_run.report()
    for line in violations:
        print('VIOLATION:', line)
    elapsed = time.monotonic() - started
    print(f'{len(violations)} violations in {elapsed:.0f} s')
    return EXIT_VIOLATIONS if violations else 0


if __name__ == '__main__':
    sys.exit(defopt.run(run))
