"""Callers that send request bodies slowly."""

import asyncio
from pathlib import Path

from standins.gateway_testbed import HOST, GatewayTestbed, run_scenario

# Together more than the memory for bodies of an instance of 152 MB.
CALLERS = 40
LENGTH = 360_000
SENT = 300_000
SMALL = b'y' * 60_000


async def _begin_upload(
    platform: GatewayTestbed, request: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends most of a body, and then nothing more."""
    host, _, port = platform.settings[0].caller_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Content-Length: {LENGTH}\r\nLycheedyke-Request-Id: {request}\r\n'
        'Lycheedyke-Deadline-Ms: 4000\r\n\r\n'.encode()
        + b'x' * SENT,
    )
    return reader, writer


def test_slow_uploads_occupy_no_upstream_and_bounded_memory(
    tmp_path: Path,
) -> None:
    """Other requests are served, and the slow ones are refused as not run.

    Guards against slots and memory that slow writers keep from others.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        uploads = [
            await _begin_upload(platform, f's-{at}') for at in range(CALLERS)
        ]
        await asyncio.sleep(0.3)
        assert not platform.count_arrivals()
        reply = await platform.send('/order/1', method='POST', body=SMALL)
        assert reply.status == 200
        statuses = []
        for reader, writer in uploads:
            head = await asyncio.wait_for(reader.readline(), 10)
            statuses.append(int(head.split()[1]))
            writer.close()
        # Too slow, or the largest when the memory was full.
        assert set(statuses) == {408, 503}
        assert platform.count_arrivals() == 1
        counts = platform.instances[0]._counters.counts
        assert counts['not-run.body-too-slow'] == statuses.count(408)
        assert counts['not-run.memory-full'] == statuses.count(503)

    run_scenario(tmp_path, _scene, upstreams=1, limit_s=60)
