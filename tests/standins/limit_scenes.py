"""Scenes with upstreams that name a limit in their answers."""

import asyncio
from collections.abc import Collection, Iterable

from standins.gateway_testbed import GatewayTestbed, Reply
from standins.scripted_upstream import ScriptedUpstream

# The users' bound: requests in any window from STABLE_S on.
WINDOW_S = 4.0
STABLE_S = 4.0
RATIO = 1.5
EXTRA = 5
REQUESTS_PER_S = 60


def now() -> float:
    """Returns the time of the scene in seconds."""
    return asyncio.get_running_loop().time()


def limit_header(value: object) -> str:
    """Returns the header line of a limit."""
    return f'Server-Limit: {value}\r\n'


def allowed(limit: float) -> float:
    """Returns the requests that a limit allows in one window."""
    return RATIO * limit * WINDOW_S + EXTRA


async def call(
    platform: GatewayTestbed,
    seconds: float,
    *,
    instances: int = 4,
    burst: int = 1,
    path: str = 'read',
) -> list[Reply]:
    """Sends REQUESTS_PER_S for many objects to the first instances in turn."""
    replies: list[Reply] = []
    started = now()
    number = 0
    while now() < started + seconds:
        replies += await asyncio.gather(
            *(
                platform.send(
                    f'/{path}/{at}',
                    object_key=str(at % 97),
                    instance=at % instances,
                    method='GET' if path == 'read' else 'POST',
                )
                for at in range(number, number + burst)
            )
        )
        number += burst
        due = started + number / REQUESTS_PER_S
        await asyncio.sleep(max(0, due - now()))
    return replies


def name_limits(upstreams: Iterable[ScriptedUpstream], limit: float) -> float:
    """Lets upstreams name a limit in all answers; returns the time."""
    for upstream in upstreams:
        upstream.says = limit_header(limit)
    return now()


def most_arrivals(upstream: ScriptedUpstream, since: float) -> int:
    """Returns the most requests in one window that starts after a time."""
    return most_in_window(
        [
            each.received_at
            for each in upstream.arrivals
            if each.received_at >= since
        ]
    )


def most_in_window(times: Collection[float]) -> int:
    """Returns the most times that are in one window."""
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


def count_arrivals(
    upstream: ScriptedUpstream, since: float, until: float
) -> int:
    """Returns the number of requests that arrived in a time."""
    return sum(since <= each.received_at < until for each in upstream.arrivals)


def count_served(replies: list[Reply]) -> int:
    """Returns the number of requests that were served."""
    return sum(each.status == 200 for each in replies)


def known_limits(
    platform: GatewayTestbed, upstream: ScriptedUpstream
) -> list[float | None]:
    """Returns the limit of an upstream as each instance knows it."""
    return [
        state.wishes.limit.rate
        for instance in platform.instances
        for state in instance._upstream_table.all()
        if state.record.name == upstream.name
    ]
