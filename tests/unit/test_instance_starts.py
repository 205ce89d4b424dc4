"""What a ticket-driven instance says of itself while it starts."""

import asyncio
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from standins.deployment import InstanceSpec, make_instance_spec
from standins.ticket_testbed import REGION, ZONE, TicketTestbed

NAME = 'norr-a-late'
OPEN_SECONDS = 0.5
POLL_SECONDS = 0.05
LIMIT_SECONDS = 60


async def _is_ready(spec: InstanceSpec) -> bool:
    """Returns whether the instance answers that it can serve."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f'http://{spec.admin}/readyz') as response,
        ):
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def _listens(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


async def _start_late(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Starts a second instance whose ports open late."""
    start_site = web.TCPSite.start

    async def _open_late(site: web.TCPSite) -> None:
        await asyncio.sleep(OPEN_SECONDS)
        await start_site(site)

    async with TicketTestbed(folder, answer_ttl_ms=1) as testbed:
        monkeypatch.setattr(web.TCPSite, 'start', _open_late)
        spec = make_instance_spec(NAME, ZONE, REGION)
        first = testbed.instance
        late = testbed.make_instance(spec, testbed.spec.control)
        starting = asyncio.create_task(late.start())
        is_named = is_ready = False
        while not (is_named and is_ready):
            peers = first._members.live()
            is_named = NAME in {peer.info.name for peer in peers}
            is_ready = await _is_ready(spec)
            if is_named or is_ready:
                assert await _listens(spec.caller), (is_named, is_ready)
                assert await _listens(spec.peer), (is_named, is_ready)
            await asyncio.sleep(POLL_SECONDS)
        await starting
        await asyncio.gather(late.stop(), first.stop())


# Guards against callers that are directed to an instance whose ports for
# requests are not open yet.
def test_an_instance_that_does_not_listen_yet_is_not_named(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither its readiness nor its peers name it before it listens."""
    scene = _start_late(tmp_path, monkeypatch)
    asyncio.run(asyncio.wait_for(scene, LIMIT_SECONDS))
