"""A planned stop of an instance, with a caller on a kept connection."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.pipelining_caller import (
    PipeliningCaller,
    make_request,
    run_of_path,
)

GRACE = timedelta(seconds=6)
LIMIT_SECONDS = 60


class Parts(NamedTuple):
    """What a test plays with.

    Attributes:
        platform: the store and the upstreams, which run a request for the
            milliseconds at the end of its path.
        caller: has one connection, which has been used.
        stop: begins the stop of the only instance.
    """

    platform: GatewayTestbed
    caller: PipeliningCaller
    stop: Callable[[], asyncio.Task[None]]


def run_stop_scenario(
    folder: Path,
    act: Callable[[Parts], Awaitable[None]],
    grace: timedelta = GRACE,
) -> None:
    """Runs a scenario on a new testbed in virtual time.

    Args:
        folder: the directory of the settings files.
        act: the coroutine function that is called with the parts.
        grace: the grace period of the instance.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_of_path = run_of_path
        instance = platform.instances.pop()
        instance._settings = instance._settings._replace(stop_grace=grace)
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            caller.send(make_request('warm', path='/read/10'))
            assert await caller.read() is not None
            for upstream in platform.upstreams:
                upstream.started.clear()
            await act(
                Parts(
                    platform,
                    caller,
                    lambda: asyncio.create_task(instance.stop()),
                )
            )

    run_scenario(folder, _scene, limit_s=LIMIT_SECONDS)
