"""Bodies of callers that fill the memory break before those of others."""

import asyncio
from pathlib import Path

from standins.gateway_testbed import HOST, GatewayTestbed, run_scenario

CHUNK = b'40000\r\n' + b'x' * 0x40000 + b'\r\n'
SMALL = b'y' * 600_000
ANSWER_SECONDS = 10


async def _send_without_end(
    platform: GatewayTestbed,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends nearly as much of a body as the memory holds, and no end."""
    settings = platform.settings[0]
    host, _, port = settings.caller_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'PUT /read/1 HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked'
        '\r\nLycheedyke-Request-Id: r-9\r\nLycheedyke-Deadline-Ms: 9000'
        '\r\n\r\n'.encode(),
    )
    for _ in range(settings.body_memory_bytes // len(CHUNK)):
        writer.write(CHUNK)
        await writer.drain()
    # It is read meanwhile, well within the route's timeout.
    await asyncio.sleep(0.4)
    return reader, writer


def test_a_small_body_passes_beside_a_large_one(tmp_path: Path) -> None:
    """The large body is refused as soon as its caller goes on with it.

    Guards against 503 for small bodies while a large one fills the memory.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        reader, writer = await _send_without_end(platform)
        reply = await platform.send('/read/1', method='PUT', body=SMALL)
        assert reply.status == 200
        writer.write(CHUNK)
        head = await asyncio.wait_for(reader.readline(), ANSWER_SECONDS)
        assert head.split()[1] == b'503'
        writer.close()
        # Its memory is free again.
        for _ in range(3):
            reply = await platform.send('/read/1', method='PUT', body=SMALL)
            assert reply.status == 200
        assert len(platform.started()) == 4

    run_scenario(tmp_path, _scene, upstreams=1, limit_s=60)
