"""Answers without end leave a gateway's memory and sound upstreams alone."""

import asyncio
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from standins.deployment import free_ports
from standins.endless_upstream import serving_endless
from standins.gateway_testbed import (
    HOST,
    PLATFORM_DIR,
    SETTINGS,
    GatewayTestbed,
    Reply,
)
from standins.registry_store import config_value, upstream_value

pytestmark = pytest.mark.processes
# The smallest machine of the sites.
MEMORY_MB = 152
MEGABYTE = 1_000_000
MEMORY_SHARE = 0.8
AT_ONCE = 50
ROUNDS = 3
START_SECONDS = 20
FAILURES = frozenset((502, 503, 504))
ROUTES = (
    {'name': 'read', 'prefix': '/read/', 'service': 'desk'},
    {
        'name': 'flood',
        'prefix': '/flood/',
        'service': 'guide',
        'timeout': '3000ms',
    },
)
MIXED = (
    'hints',
    'large-hints',
    'large-fields',
    'open-body',
    'chunks',
    'small-chunks',
    'chunk-extension',
    'surplus-answers',
)


def _start_gateway(
    folder: Path, store: str, ports: list[int]
) -> subprocess.Popen[bytes]:
    path = folder / 'local.json'
    text = SETTINGS.format(
        name='edge-9',
        region='pnw',
        zone='pnw-a',
        ports=ports,
        store=store,
        seeds='',
        metrics=f'127.0.0.1:{ports[4]}',
    )
    assert f'memory_mb = {MEMORY_MB}' in text
    path.write_text(text)
    with (folder / 'gateway.log').open('wb') as log:
        return subprocess.Popen(
            [sys.executable, str(PLATFORM_DIR / 'launch.py')],
            stdout=log,
            stderr=log,
            env={**os.environ, 'LYCHEEDYKE_BOOT': str(path)},
        )


def _peak_memory(pid: int) -> int:
    """Returns the peak memory of a process in bytes."""
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0]) * 1024


async def _wait_ready(testbed: GatewayTestbed, address: str) -> None:
    for _ in range(int(START_SECONDS / 0.1)):
        try:
            reply = await testbed.get(address, '/ready')
        except OSError:
            reply = None
        if reply is not None and reply.status == 200:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(address)


class _Floods:
    """A gateway process with upstreams of which a service never ends."""

    def __init__(self, testbed: GatewayTestbed, folder: Path) -> None:
        """Starts the gateway."""
        self.testbed = testbed
        self._ports = free_ports(5)
        store = testbed.settings[0].registry_address
        self.process = _start_gateway(folder, store, self._ports)

    async def prepare(self, endless: str) -> None:
        """Registers the endless upstreams, and waits for the gateway."""
        store = self.testbed.store
        store.put('op/config', config_value(0x12, list(ROUTES)))
        for upstream in self.testbed.upstreams:
            upstream.run_s = 0.01
            self.testbed.register(upstream, slots=AT_ONCE)
        for at in range(AT_ONCE // 10):
            record = upstream_value('guide', endless, slots=AT_ONCE)
            store.put(f'servers/endless-{at}', record)
        await _wait_ready(self.testbed, f'127.0.0.1:{self._ports[1]}')

    async def send(self, path: str, request: int) -> Reply:
        """Sends a request to the gateway."""
        return await self.testbed.send_to(
            f'127.0.0.1:{self._ports[0]}',
            path,
            {
                'Host': HOST,
                'Lycheedyke-Request-Id': f'q-{path}-{request}',
                'Lycheedyke-Deadline-Ms': '3000',
            },
        )

    async def metrics(self) -> str:
        """Returns the metrics of the gateway."""
        reply = await self.testbed.get(
            f'127.0.0.1:{self._ports[4]}', '/metrics'
        )
        return reply.body.decode()


async def _flood(folder: Path, kinds: tuple[str, ...]) -> tuple[int, str]:
    """Returns the peak memory, and the metrics afterwards."""
    with serving_endless() as endless:
        async with GatewayTestbed(folder) as testbed:
            floods = _Floods(testbed, folder)
            try:
                await floods.prepare(endless)
                await _send_rounds(floods, kinds)
                most = await testbed.get(endless, '/peak')
                assert int(most.body) >= AT_ONCE
                peak = _peak_memory(floods.process.pid)
                return peak, await floods.metrics()
            finally:
                floods.process.kill()
                floods.process.wait()


async def _send_rounds(floods: _Floods, kinds: tuple[str, ...]) -> None:
    for turn in range(ROUNDS):
        flooded = [
            floods.send(
                f'/flood/{kinds[at % len(kinds)]}?at-once={AT_ONCE}',
                turn * 1000 + at,
            )
            for at in range(AT_ONCE)
        ]
        sound = [floods.send('/read/1', turn * 1000 + at) for at in range(20)]
        replies = await asyncio.gather(*flooded, *sound)
        sound_statuses = Counter(each.status for each in replies[AT_ONCE:])
        assert sound_statuses == {200: 20}
        for reply in replies[:AT_ONCE]:
            # A whole answer may come before bytes without end.
            assert reply.status in FAILURES or reply.body == b'mine'
        # Upstreams that were taken out are tried again.
        await asyncio.sleep(1)


@pytest.mark.parametrize('kinds', [('open-body',), ('chunks',), MIXED])
def test_fifty_answers_without_end_leave_memory_and_sound_upstreams(
    tmp_path: Path, kinds: tuple[str, ...]
) -> None:
    """The process stays under four fifths of a small machine's memory.

    Guards against answers of 64 MB each, of which eight took 516 MB.
    """
    run = _flood(tmp_path, kinds)
    peak, metrics = asyncio.run(asyncio.wait_for(run, 120))
    assert peak < MEMORY_SHARE * MEMORY_MB * MEGABYTE
    if kinds == ('open-body',):
        assert 'event="answer.memory-full"' in metrics
