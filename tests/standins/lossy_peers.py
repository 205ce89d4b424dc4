"""Instances that lose some of the messages that they send to each other."""

import functools
import random
from collections.abc import Awaitable, Callable

from standins.gateway_testbed import GatewayTestbed

LOST_SHARE = 0.3


def lose_messages(platform: GatewayTestbed, rng: random.Random) -> None:
    """Loses some of the messages that instances send to each other."""
    for instance in platform.instances:
        updates = instance._peer_updates
        updates.send = functools.partial(  # type: ignore[method-assign]
            _send_or_lose, updates.send, rng
        )


async def _send_or_lose(
    send: Callable[[str, str, bytes], Awaitable[bytes | None]],
    rng: random.Random,
    address: str,
    path: str,
    body: bytes,
) -> bytes | None:
    if rng.random() < LOST_SHARE:
        return None
    return await send(address, path, body)
