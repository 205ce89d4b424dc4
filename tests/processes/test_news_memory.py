"""The store and peers that send bytes without end leave the memory."""

import asyncio
import resource
import subprocess
import sys
from collections.abc import Awaitable
from datetime import timedelta

import pytest

from lycheedyke.clock import SystemClock
from lycheedyke.exceptions import PlatformError
from lycheedyke.protocol import EntryRecord, Position
from lycheedyke.state import Counters
from lycheedyke_daemon.gateway._peer_updates import PeerUpdates
from standins.deployment import TESTS
from standins.endless_upstream import serving_endless
from standins.gateway_testbed import PLATFORM_DIR

pytestmark = pytest.mark.processes
AT_ONCE = 12
# One answer of 8 MB, and bytes that wait to be read.
MAX_GROWTH = 24_000_000
KILOBYTE = 1024
LIMIT_SECONDS = 60


def _calls_to_store(address: str) -> list[Awaitable[object]]:
    from store import StoreRegistry

    registry = StoreRegistry(address, timedelta(seconds=3))
    wait = timedelta(seconds=1)
    return [registry.watch(1, wait) for _ in range(AT_ONCE)]


def _calls_to_peers(address: str) -> list[Awaitable[object]]:
    updates = PeerUpdates(
        EntryRecord('edge-1', 'x', 'pnw-a', 'pnw', address, address),
        None,  # type: ignore[arg-type]
        (),
        None,  # type: ignore[arg-type]
        Counters(),
        SystemClock(),
    )
    return [updates._poll(address, Position(0, 1)) for _ in range(AT_ONCE)]


async def _call(reader: str, address: str) -> int:
    """Returns by how many bytes the peak memory of the process grew."""
    calls = {'store': _calls_to_store, 'peers': _calls_to_peers}
    started = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    found = await asyncio.gather(
        *calls[reader](address), return_exceptions=True
    )
    assert all(
        each is None or isinstance(each, PlatformError) for each in found
    )
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return (peak - started) * KILOBYTE


@pytest.mark.parametrize('reader', ['store', 'peers'])
def test_news_without_end_are_bounded_together(reader: str) -> None:
    """Guards against 8 MB for each of the calls that run at once."""
    with serving_endless() as address:
        done = subprocess.run(
            [sys.executable, __file__, reader, address],
            env={'PYTHONPATH': f'{TESTS}:{PLATFORM_DIR}'},
            capture_output=True,
            text=True,
            check=False,
            timeout=LIMIT_SECONDS,
        )
    assert done.returncode == 0, done.stderr[-2000:]
    assert int(done.stdout) < MAX_GROWTH


if __name__ == '__main__':
    print(asyncio.run(_call(*sys.argv[1:])))
