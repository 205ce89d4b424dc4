"""Requests of a tenant with a quota, to instances within one process."""

import asyncio
import bisect
from collections.abc import Callable
from typing import Any, NamedTuple

from standins.gateway_testbed import (
    ARRIVAL_POLLS,
    ROUTES,
    GatewayTestbed,
    Reply,
)
from standins.registry_store import config_value

KEY = 'k-quota-1'
WINDOW_S = 5.0
OVER = 0.1
SLACK = 20


class Served(NamedTuple):
    """The outcome of one request.

    Attributes:
        at: when the answer came, in seconds.
        reply: the answer.
    """

    at: float
    reply: Reply


def allowed(rate: float, burst: float, seconds: float) -> float:
    """Returns the most requests that a tenant may get in a time."""
    return (rate * seconds + burst) * (1 + OVER) + SLACK


def most_in_window(times: list[float]) -> int:
    """Returns the most requests in any window of the quota."""
    ordered = sorted(times)
    return max(
        (
            bisect.bisect_left(ordered, start + WINDOW_S) - at
            for at, start in enumerate(ordered)
        ),
        default=0,
    )


async def set_quota(
    testbed: GatewayTestbed, rate: float, burst: float, version: int = 0x20
) -> None:
    """Writes a configuration with one tenant, and waits until all know it."""
    tenant = {
        'name': 'tills',
        'apiKeys': [KEY],
        'ratePerS': rate,
        'burst': burst,
    }
    value = config_value(version, list(ROUTES), [tenant])
    testbed.store.put('op/config', value)
    for _ in range(ARRIVAL_POLLS):
        numbers = [each._registry_view.number for each in testbed.instances]
        if min(numbers) >= version:
            return
        await asyncio.sleep(0.01)
    raise TimeoutError(f'version {version:x} is not in force')


async def ask(testbed: GatewayTestbed, **more: Any) -> Served:
    """Sends one request of the tenant."""
    reply = await testbed.send(
        headers={'Authorization': f'Bearer {KEY}'}, **more
    )
    return Served(asyncio.get_running_loop().time(), reply)


def any_instance(testbed: GatewayTestbed) -> Callable[[int], int]:
    """Returns a choice of all instances in turn."""
    return lambda number: number % len(testbed.instances)


async def offer(
    testbed: GatewayTestbed,
    *,
    per_s: float,
    seconds: float,
    choose: Callable[[int], int] | None = None,
) -> list[Served]:
    """Sends requests at a rate; returns their outcomes.

    Args:
        testbed: the deployment.
        per_s: the requests per second.
        seconds: for how long they are sent.
        choose: returns the instance of a request by its number.
    """
    choose = choose or any_instance(testbed)
    tasks = []
    for number in range(int(per_s * seconds)):
        tasks.append(asyncio.create_task(ask(testbed, instance=choose(number))))
        await asyncio.sleep(1 / per_s)
    return list(await asyncio.gather(*tasks))


def times_of(served: list[Served], status: int = 200) -> list[float]:
    """Returns when the answers with a status came."""
    return [each.at for each in served if each.reply.status == status]
