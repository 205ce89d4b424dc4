"""Runs a small deployment of each customer: `make demo`.

For each customer, the demo starts a platform, upstreams and one entry
instance in each of six zones, sends requests, and drains an upstream by
ticket. It prints the drain time, the headroom and the latencies.
"""

import asyncio
import copy
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from bench.load_generator import LoadGenerator
from bench.shapes import CUSTOMERS, CustomerShape
from bench.upstreams import (
    free_share,
    read_records,
    set_run_times,
    start_upstreams,
)
from standins.deployment import Deployment
from standins.operators import apply_ticket, run_ctl, wait_in_force

LOAD_SECONDS = 6
CALLERS = 2
POLL_SECONDS = 0.05


def _print(text: str) -> None:
    print(text, flush=True)


async def _apply(deployment: Deployment, ticket: dict[str, Any]) -> int:
    started = time.monotonic()
    number = await asyncio.to_thread(apply_ticket, deployment, ticket)
    accepted = time.monotonic()
    await wait_in_force(deployment, number)
    _print(
        f'  ticket {number} accepted after {accepted - started:.1f} s, '
        f'in force everywhere {time.monotonic() - accepted:.1f} s later',
    )
    return number


async def _drain(
    deployment: Deployment, ticket: dict[str, Any], name: str
) -> None:
    leaving = copy.deepcopy(ticket['upstreams'][name])
    leaving['phase'] = 'leaving'
    await _apply(deployment, {'upstreams': {name: leaving}})
    started = time.monotonic()
    while any(
        record.in_flight
        for record in await read_records(ticket)
        if record.name == name
    ):
        await asyncio.sleep(POLL_SECONDS)
    _print(
        f'  drain time of {name}: no request in flight '
        f'{time.monotonic() - started:.1f} s after the ticket was in force',
    )


def _print_results(generator: LoadGenerator) -> None:
    for kind, count in Counter(generator.outcomes()).most_common():
        _print(f'  {count} requests {kind}')
    for name, histogram in sorted(generator.latencies.items()):
        median = histogram.get_value_at_percentile(50) / 1000
        p99 = histogram.get_value_at_percentile(99) / 1000
        _print(f'  latency of {name}: p50 {median:.0f} ms, p99 {p99:.0f} ms')


async def _run_load(
    deployment: Deployment, shape: CustomerShape
) -> LoadGenerator:
    ticket = start_upstreams(deployment, shape)
    await set_run_times(shape, ticket)
    await _apply(deployment, ticket)
    generator = LoadGenerator(deployment, shape, seed=1)
    load = asyncio.create_task(generator.run(CALLERS))
    await asyncio.sleep(LOAD_SECONDS / 2)
    _print(f'  headroom: {free_share(await read_records(ticket)):.0%} of slots')
    await _drain(deployment, ticket, next(iter(ticket['upstreams'])))
    await asyncio.sleep(LOAD_SECONDS / 2)
    generator.stop()
    await load
    return generator


def _run_customer(shape: CustomerShape) -> bool:
    _print(
        f'{shape.name}: {len(shape.zones)} zones, one entry instance in each'
    )
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-demo-'))
    with Deployment(
        folder,
        zones=dict(shape.zones),
        customer=shape.name,
    ) as deployment:
        generator = asyncio.run(_run_load(deployment, shape))
        _print_results(generator)
        _print('  lycheedykectl instances:')
        for line in run_ctl(deployment, 'instances').stdout.splitlines():
            _print(f'    {line}')
    shutil.rmtree(folder)
    return all(
        result.outcome == 'answered' and result.matches_request
        for result in generator.results
    )


def main() -> int:
    """Runs each customer and returns the exit status."""
    served = [_run_customer(shape) for shape in CUSTOMERS.values()]
    if all(served):
        _print('every request was answered')
        return 0
    _print('some requests were not answered')
    return 1


if __name__ == '__main__':
    sys.exit(main())
