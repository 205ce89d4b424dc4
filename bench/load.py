"""An HTTP load of one process: keep-alive GET requests in a loop.

Run as `python -m bench.load URL SECONDS CONNECTIONS [plain|aiohttp]`;
prints JSON. `plain` spends least time on the client's own side; `aiohttp`
is what a caller's program would use.
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


class Target(NamedTuple):
    """What to ask, and until when."""

    host: str
    port: int
    request: bytes
    end: float


class Tally:
    """Answers by status, and their latencies."""

    def __init__(self) -> None:
        """Makes a tally of nothing."""
        self.statuses: dict[str, int] = {}
        self.latencies = HdrHistogram(
            1,
            HIGHEST_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        )

    def add(self, status: str, seconds: float) -> None:
        """Adds one answer."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.latencies.record_value(max(1, int(seconds * MICROSECONDS)))

    def summary(self, seconds: float) -> dict[str, object]:
        """Returns the rate and the percentiles, in microseconds."""
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


async def _loop(target: Target, tally: Tally) -> None:
    reader, writer = await asyncio.open_connection(target.host, target.port)
    while time.monotonic() < target.end:
        started = time.monotonic()
        writer.write(target.request)
        status = await _read(reader)
        tally.add(status, time.monotonic() - started)
    writer.close()


async def _loop_aiohttp(url: str, end: float, tally: Tally) -> None:
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < end:
            started = time.monotonic()
            async with session.get(url) as response:
                await response.read()
            tally.add(str(response.status), time.monotonic() - started)


async def _read(reader: asyncio.StreamReader) -> str:
    head = await reader.readuntil(b'\r\n\r\n')
    lower = head.lower()
    start = lower.index(LENGTH_HEADER) + len(LENGTH_HEADER)
    length = int(lower[start : lower.index(b'\r', start)])
    await reader.readexactly(length)
    return head[9:12].decode()


async def run_aiohttp(url: str, seconds: float, connections: int) -> Tally:
    """Sends requests by aiohttp on some connections for a time."""
    tally = Tally()
    end = time.monotonic() + seconds
    await asyncio.gather(
        *(_loop_aiohttp(url, end, tally) for _ in range(connections)),
    )
    return tally


async def run_plain(url: str, seconds: float, connections: int) -> Tally:
    """Sends requests on some plain connections for a time."""
    parts = urlsplit(url)
    path = urlunsplit(('', '', parts.path, parts.query, ''))
    request = f'GET {path} HTTP/1.1\r\nHost: {parts.netloc}\r\n\r\n'
    target = Target(
        parts.hostname or '',
        parts.port or 0,
        request.encode(),
        time.monotonic() + seconds,
    )
    tally = Tally()
    await asyncio.gather(*(_loop(target, tally) for _ in range(connections)))
    return tally


def main() -> None:
    """Runs the load that the arguments name."""
    url, seconds, connections, kind = sys.argv[1:]
    run = run_aiohttp if kind == 'aiohttp' else run_plain
    tally = uvloop.run(run(url, float(seconds), int(connections)))
    print(json.dumps(tally.summary(float(seconds))))


if __name__ == '__main__':
    main()
