"""Requests of a tenant with a quota, to instances within one process."""

import asyncio
import bisect
import functools
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, NamedTuple

from lycheedyke.exceptions import ExchangeTimeout
from lycheedyke.state.rates import IssuerRanks
from standins.gateway_testbed import (
    ARRIVAL_POLLS,
    ROUTES,
    GatewayTestbed,
    Reply,
)
from standins.registry_store import config_value

KEY = 'k-quota-1'
TENANT = 'tills'
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


def longest_gap(times: list[float]) -> float:
    """Returns the longest time without a request."""
    ordered = sorted(times)
    return max(
        later - before
        for before, later in zip(ordered, ordered[1:], strict=False)
    )


async def set_quota(
    testbed: GatewayTestbed, rate: float, burst: float, version: int = 0x20
) -> None:
    """Writes a configuration with one tenant, and waits until all know it."""
    tenant = {
        'name': TENANT,
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


async def kill(testbed: GatewayTestbed, at: int) -> None:
    """Ends an instance at once: it tells nobody, and nobody listens."""
    instance = testbed.instances.pop(at)
    testbed.settings.pop(at)
    await instance._tasks.end()
    await instance._refuse_late()
    await instance._servers.close()
    await instance._client.close()
    await instance._peer_updates.close()
    await instance._deployment.registry.close()


def cut_off(testbed: GatewayTestbed, at: int) -> Callable[[], None]:
    """Cuts an instance off from the store and its peers, both ways.

    Returns:
        Mends the links.
    """
    away = testbed.settings[at].peer_address
    cut: Any = testbed.instances[at]
    clients = [cut._peer_updates._http, cut._deployment.registry._http]
    for other in testbed.instances:
        if other is not cut:
            clients.append(other._peer_updates._http)
    for client in clients[:2]:
        client.send = _fail
    for client in clients[2:]:
        client.send = functools.partial(_send_elsewhere, client.send, away)

    def _mend() -> None:
        for client in clients:
            vars(client).pop('send')

    return _mend


async def _fail(*args: object, **options: Any) -> None:
    await asyncio.sleep(options['timeout'].total_seconds())
    raise ExchangeTimeout('cut off')


async def _send_elsewhere(
    send: Callable[..., Awaitable[Any]],
    away: str,
    method: str,
    url: str,
    **options: Any,
) -> Any:
    if away in url:
        await _fail(**options)
    return await send(method, url, **options)


def find_issuer(testbed: GatewayTestbed) -> int:
    """Returns the number of the instance that issues the quota."""
    ranks = IssuerRanks()
    entries = [each._own for each in testbed.instances]
    ranks.refresh(entries, timedelta())
    name = ranks.find(TENANT)[0].name
    return [entry.name for entry in entries].index(name)
