"""Generates HTTP load in one process: keep-alive GET requests in a loop.

Run as `python -m bench.load URL SECONDS CONNECTIONS plain|aiohttp`; prints
JSON. `plain` uses the least processor time in the client; `aiohttp` is the
library that a caller would use.
"""

import asyncio
import json
import sys
import time
from typing import NamedTuple
from urllib.parse import urlsplit, urlunsplit

import aiohttp
import uvloop
from hdrh.histogram import HdrHistogram

HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000
LENGTH_HEADER = b'content-length:'


class PlainLoad(NamedTuple):
    """The server, the encoded request, and the monotonic end time."""

    host: str
    port: int
    request: bytes
    end: float


class ResponseStats:
    """Counts of responses by status, and their latencies."""

    def __init__(self) -> None:
        """Initializes empty counts."""
        self.statuses: dict[str, int] = {}
        self.latencies = HdrHistogram(
            1,
            HIGHEST_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        )

    def add(self, status: str, seconds: float) -> None:
        """Adds one response."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.latencies.record_value(max(1, int(seconds * MICROSECONDS)))

    def summary(self, seconds: float) -> dict[str, object]:
        """Returns the rate per second, statuses and latency percentiles."""
        return {
            'rate': sum(self.statuses.values()) / seconds,
            'statuses': self.statuses,
            'latency_us': {
                f'p{percent:g}': self.latencies.get_value_at_percentile(
                    percent,
                )
                for percent in (50, 99, 99.9)
            },
        }


async def _send_plain(load: PlainLoad, stats: ResponseStats) -> None:
    reader, writer = await asyncio.open_connection(load.host, load.port)
    while time.monotonic() < load.end:
        started = time.monotonic()
        writer.write(load.request)
        status = await _read_response(reader)
        stats.add(status, time.monotonic() - started)
    writer.close()


async def _send_aiohttp(url: str, end: float, stats: ResponseStats) -> None:
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end:
            started = time.monotonic()
            async with session.get(url) as response:
                await response.read()
            stats.add(str(response.status), time.monotonic() - started)


async def _read_response(reader: asyncio.StreamReader) -> str:
    head = await reader.readuntil(b'\r\n\r\n')
    lower = head.lower()
    start = lower.index(LENGTH_HEADER) + len(LENGTH_HEADER)
    length = int(lower[start : lower.index(b'\r', start)])
    await reader.readexactly(length)
    return head[9:12].decode()


async def run_aiohttp(
    url: str, seconds: float, connections: int
) -> ResponseStats:
    """Sends requests with aiohttp, each connection in a loop of its own."""
    stats = ResponseStats()
    end = time.monotonic() + seconds
    await asyncio.gather(
        *(_send_aiohttp(url, end, stats) for _ in range(connections)),
    )
    return stats


async def run_plain(
    url: str, seconds: float, connections: int
) -> ResponseStats:
    """Sends requests on plain sockets, each in a loop of its own."""
    parts = urlsplit(url)
    path = urlunsplit(('', '', parts.path, parts.query, ''))
    request = f'GET {path} HTTP/1.1\r\nHost: {parts.netloc}\r\n\r\n'
    load = PlainLoad(
        parts.hostname or '',
        parts.port or 0,
        request.encode(),
        time.monotonic() + seconds,
    )
    stats = ResponseStats()
    await asyncio.gather(
        *(_send_plain(load, stats) for _ in range(connections))
    )
    return stats


def main() -> None:
    """Runs the load that the arguments describe."""
    url, seconds, connections, kind = sys.argv[1:]
    run = run_aiohttp if kind == 'aiohttp' else run_plain
    stats = uvloop.run(run(url, float(seconds), int(connections)))
    print(json.dumps(stats.summary(float(seconds))))


if __name__ == '__main__':
    main()
