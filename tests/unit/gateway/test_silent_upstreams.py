"""Requests to upstreams that are silent for longer than they should be."""

import asyncio
from pathlib import Path

from standins.gateway_testbed import GatewayTestbed, run_scenario


# Guards against a request that ends with 504 before its deadline, while its
# upstream is at work: it was given up for another run that was not possible.
def test_a_silent_upstream_is_kept_if_no_other_can_run_the_request(
    tmp_path: Path,
) -> None:
    """The other upstream leaves while the first is silent, and then answers."""

    async def _scene(platform: GatewayTestbed) -> None:
        await platform.send('/read/1')
        home, other = platform.upstreams
        if not home.arrivals:
            home, other = other, home
        home.run_s = 1.0
        request = asyncio.create_task(platform.send('/read/1'))
        await asyncio.sleep(0.05)
        platform.register(other, state='draining')
        assert (await request).status == 200
        assert not other.arrivals

    run_scenario(tmp_path, _scene)


# Guards against a run that is given up, and a repeat that is paid, for a
# request that is then not sent again.
def test_a_run_that_may_not_be_repeated_is_not_given_up(tmp_path: Path) -> None:
    """The guard refuses a second run after two crashes."""

    async def _scene(platform: GatewayTestbed) -> None:
        await platform.send('/read/1')
        home, other = platform.upstreams
        if not home.arrivals:
            home, other = other, home
        home.run_s = 1.0
        guard = platform.instances[0]._guard
        guard.may_repeat = lambda work: False  # type: ignore[method-assign]
        assert (await platform.send('/read/1')).status == 200
        assert not other.arrivals

    run_scenario(tmp_path, _scene)


# Guards against a planned stop in which a request is given up, though its
# upstream is at work, for a second run that does not end in time.
def test_a_stop_keeps_the_run_of_a_silent_upstream(tmp_path: Path) -> None:
    """The answer of the first upstream is waited for."""

    async def _scene(platform: GatewayTestbed) -> None:
        await platform.send('/read/1')
        home, other = platform.upstreams
        if not home.arrivals:
            home, other = other, home
        home.run_s = 0.9
        request = asyncio.create_task(platform.send('/read/1'))
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(platform.instances.pop().stop())
        assert (await request).status == 200
        assert not other.arrivals
        await stopping

    run_scenario(tmp_path, _scene)
