"""Processor time of a gateway for each request, by how callers connect.

Run as `PYTHONPATH=tests python -m bench.pipelining`.
"""

import asyncio
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import defopt

from standins.gateway_process import GatewayProcess
from standins.gateway_testbed import GatewayTestbed
from standins.pipelining_caller import PipeliningCaller, make_request

DEPTH = 8
CALLERS = 4
MICROSECONDS = 1_000_000
SLOTS = 64

_Work = Callable[[str, int], Awaitable[None]]


async def _connect_each_time(address: str, requests: int) -> None:
    for at in range(requests):
        async with PipeliningCaller(address) as caller:
            caller.send(make_request(f'n-{at}', closes=True))
            await _read(caller, 1)


async def _keep_connection(address: str, requests: int) -> None:
    async with PipeliningCaller(address) as caller:
        for at in range(requests):
            caller.send(make_request(f'k-{at}'))
            await _read(caller, 1)


async def _pipeline(address: str, requests: int) -> None:
    async with PipeliningCaller(address) as caller:
        for first in range(0, requests, DEPTH):
            caller.send(
                *(make_request(f'p-{first + at}') for at in range(DEPTH))
            )
            await _read(caller, DEPTH)


async def _read(caller: PipeliningCaller, count: int) -> None:
    answers = await caller.read_all(count)
    if [answer.status for answer in answers] != [200] * count:
        sys.exit(f'not answered: {answers}')


async def _measure(
    gateway: GatewayProcess, work: _Work, requests: int
) -> tuple[float, float]:
    """Returns the processor and the elapsed time of a request, in us."""
    used = gateway.processor_seconds
    started = time.monotonic()
    share = requests // CALLERS
    await asyncio.gather(
        *(work(gateway.caller_address, share) for _ in range(CALLERS))
    )
    scale = MICROSECONDS / requests
    elapsed = (time.monotonic() - started) * scale
    return (gateway.processor_seconds - used) * scale, elapsed


async def _run(requests: int) -> None:
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-pipelining-'))
    async with GatewayTestbed(folder) as testbed:
        for upstream in testbed.upstreams:
            upstream.run_s = 0
            testbed.register(upstream, slots=SLOTS)
        with GatewayProcess(testbed, folder) as gateway:
            await gateway.wait_ready()
            for name, work in (
                ('one connection a request', _connect_each_time),
                ('kept connections', _keep_connection),
                (f'{DEPTH} pipelined', _pipeline),
            ):
                await _measure(gateway, work, requests // 10)
                used, elapsed = await _measure(gateway, work, requests)
                print(
                    f'{name}: {used:.0f} us of processor time, '
                    f'{elapsed:.0f} us elapsed'
                )


def run(*, requests: int = 4000) -> None:
    """Measure a gateway with callers of three kinds.

    Args:
        requests: Requests of each kind.
    """
    asyncio.run(_run(requests))


if __name__ == '__main__':
    sys.exit(defopt.run(run))
