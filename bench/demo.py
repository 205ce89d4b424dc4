"""A small deployment of both customers: `make demo`.

For each customer it starts a platform, upstreams and one entry instance in
each of six zones, serves callers, drains an upstream by ticket, shows the
three measures and ends.
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

from bench.crowd import Crowd
from bench.shapes import CUSTOMERS, CustomerShape
from bench.upstreams import (
    free_share,
    read_records,
    set_run_times,
    start_upstreams,
)
from standins.deployment import Deployment
from standins.operators import apply_ticket, run_ctl, wait_in_force

SECONDS = 6
CALLERS = 2
POLL_SECONDS = 0.05


def _say(text: str) -> None:
    print(text, flush=True)


async def _apply(running: Deployment, ticket: dict[str, Any]) -> int:
    started = time.monotonic()
    number = await asyncio.to_thread(apply_ticket, running, ticket)
    accepted = time.monotonic()
    await wait_in_force(running, number)
    _say(
        f'  ticket {number} accepted after {accepted - started:.1f} s, '
        f'in force everywhere {time.monotonic() - accepted:.1f} s later',
    )
    return number


async def _drain(
    running: Deployment, ticket: dict[str, Any], name: str
) -> None:
    leaving = copy.deepcopy(ticket['upstreams'][name])
    leaving['phase'] = 'leaving'
    await _apply(running, {'upstreams': {name: leaving}})
    started = time.monotonic()
    while any(
        record.in_flight
        for record in await read_records(ticket)
        if record.name == name
    ):
        await asyncio.sleep(POLL_SECONDS)
    _say(
        f'  drain time of {name}: no request in flight '
        f'{time.monotonic() - started:.1f} s after the ticket was in force',
    )


def _report(crowd: Crowd) -> None:
    for kind, count in Counter(crowd.kinds()).most_common():
        _say(f'  {count} requests {kind}')
    for name, histogram in sorted(crowd.latencies.items()):
        median = histogram.get_value_at_percentile(50) / 1000
        late = histogram.get_value_at_percentile(99) / 1000
        _say(f'  latency of {name}: p50 {median:.0f} ms, p99 {late:.0f} ms')


async def _serve(running: Deployment, shape: CustomerShape) -> Crowd:
    ticket = start_upstreams(running, shape)
    await set_run_times(shape, ticket)
    await _apply(running, ticket)
    crowd = Crowd(running, shape, seed=1)
    calling = asyncio.create_task(crowd.run(CALLERS))
    await asyncio.sleep(SECONDS / 2)
    _say(f'  headroom: {free_share(await read_records(ticket)):.0%} of slots')
    await _drain(running, ticket, next(iter(ticket['upstreams'])))
    await asyncio.sleep(SECONDS / 2)
    crowd.stop()
    await calling
    return crowd


def _show(shape: CustomerShape) -> bool:
    _say(f'{shape.name}: {len(shape.zones)} zones, one entry instance in each')
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-demo-'))
    with Deployment(
        folder,
        zones=dict(shape.zones),
        customer=shape.name,
    ) as running:
        crowd = asyncio.run(_serve(running, shape))
        _report(crowd)
        _say('  lycheedykectl instances:')
        for line in run_ctl(running, 'instances').stdout.splitlines():
            _say(f'    {line}')
    shutil.rmtree(folder)
    return all(told.outcome == 'answered' and told.own for told in crowd.told)


def main() -> int:
    """Shows each customer; returns the exit status."""
    served = [_show(shape) for shape in CUSTOMERS.values()]
    if all(served):
        _say('every request was answered')
        return 0
    _say('some requests were not answered')
    return 1


if __name__ == '__main__':
    sys.exit(main())
