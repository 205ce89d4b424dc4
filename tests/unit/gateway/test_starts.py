"""What an instance says of itself while it starts."""

import asyncio
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from lycheedyke_daemon.gateway import read_gateway_settings
from standins.gateway_testbed import GatewayTestbed, run_scenario

NAME = 'edge-late'
OPEN_SECONDS = 1.0
POLL_SECONDS = 0.05


async def _answers(testbed: GatewayTestbed, address: str, path: str) -> int:
    """Returns the status of an answer, or 0 if nobody listens."""
    try:
        return (await testbed.get(address, path)).status
    except aiohttp.ClientError:
        return 0


# Guards against callers that are directed to an instance whose port for
# requests is not open yet.
def test_an_instance_that_does_not_listen_yet_says_so(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither its readiness nor the registry names it before it listens."""
    start_site = web.TCPSite.start

    async def _start_late(site: web.TCPSite) -> None:
        await asyncio.sleep(OPEN_SECONDS)
        await start_site(site)

    async def _scene(testbed: GatewayTestbed) -> None:
        monkeypatch.setattr(web.TCPSite, 'start', _start_late)
        starting = asyncio.create_task(testbed.start(NAME))
        await asyncio.sleep(POLL_SECONDS)
        settings = read_gateway_settings(tmp_path / f'{NAME}.ini')
        is_named = is_ready = False
        while not (is_named and is_ready):
            is_named = any(NAME in key for key in testbed.store.keys())
            ready = await _answers(testbed, settings.ready_address, '/ready')
            is_ready = ready == 200
            if is_named or is_ready:
                assert await _answers(testbed, settings.caller_address, '/')
            await asyncio.sleep(POLL_SECONDS)
        await starting

    run_scenario(tmp_path, _scene, limit_s=60)
