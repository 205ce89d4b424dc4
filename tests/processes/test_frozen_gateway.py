"""A gateway that was frozen concludes nothing about others from its pause."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from standins.deployment import free_ports
from standins.gateway_testbed import (
    HOST,
    PLATFORM_DIR,
    SETTINGS,
    GatewayTestbed,
    Reply,
)

pytestmark = pytest.mark.processes
START_SECONDS = 20
SETTLE_SECONDS = 1.0
# A frozen gateway is one of several, whose news it follows.
PEERS = 2


class _FrozenGateway:
    """A gateway process that is frozen while a request runs."""

    def __init__(self, testbed: GatewayTestbed, folder: Path) -> None:
        self._testbed = testbed
        self._ports = free_ports(5)
        self._log = folder / 'gateway.log'
        path = folder / 'local.ini'
        path.write_text(
            SETTINGS.format(
                name='edge-9',
                region='pnw',
                zone='pnw-a',
                ports=self._ports,
                store=testbed.settings[0].registry_address,
                seeds=testbed.settings[0].peer_address,
                metrics=f'127.0.0.1:{self._ports[4]}',
            )
        )
        with self._log.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, str(PLATFORM_DIR / 'launch.py')],
                stdout=log,
                stderr=log,
                env={**os.environ, 'LYCHEEDYKE_BOOT': str(path)},
            )

    async def wait_ready(self) -> None:
        """Waits until it has a configuration."""
        for _ in range(int(START_SECONDS / 0.1)):
            try:
                reply = await self._testbed.get(
                    f'127.0.0.1:{self._ports[1]}', '/ready'
                )
            except OSError:
                reply = None
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(self._log.read_text())

    async def freeze(self, after_s: float, seconds: float) -> None:
        """Freezes the process for a time."""
        await asyncio.sleep(after_s)
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)

    async def send(self, deadline_ms: int, request: str = 'r-9') -> Reply:
        """Sends an idempotent request."""
        return await self._testbed.send_to(
            f'127.0.0.1:{self._ports[0]}',
            '/read/1',
            {
                'Host': HOST,
                'Lycheedyke-Request-Id': request,
                'Lycheedyke-Deadline-Ms': str(deadline_ms),
            },
        )

    def events(self) -> list[dict[str, Any]]:
        """Returns the log lines."""
        return [json.loads(line) for line in self._log.read_text().splitlines()]


def _run(
    folder: Path, freezes: list[float], run_s: float, deadline_ms: int
) -> tuple[list[Reply], list[dict[str, Any]]]:
    """Returns the answer of each request beside a freeze, and the log."""

    async def _scene() -> tuple[list[Reply], list[dict[str, Any]]]:
        async with GatewayTestbed(folder, instances=PEERS) as testbed:
            gateway = _FrozenGateway(testbed, folder)
            try:
                await gateway.wait_ready()
                await gateway.send(deadline_ms)
                replies = []
                for upstream in testbed.upstreams:
                    upstream.run_s = run_s
                for at, seconds in enumerate(freezes):
                    sending = asyncio.create_task(
                        gateway.send(deadline_ms, f'r-{at}')
                    )
                    await gateway.freeze(0.05, seconds)
                    replies.append(await sending)
                    await asyncio.sleep(SETTLE_SECONDS)
                return replies, gateway.events()
            finally:
                gateway.process.kill()
                gateway.process.wait()

    return asyncio.run(asyncio.wait_for(_scene(), 90))


def test_an_upstream_that_answered_during_a_freeze_is_not_silent(
    tmp_path: Path,
) -> None:
    """The answer that waited is read before the upstream is given up."""
    replies, events = _run(tmp_path, [1.0, 1.5, 2.0], 0.15, 6000)
    assert [reply.status for reply in replies] == [200] * 3
    reasons = [event.get('reason') for event in events]
    assert 'upstream-silent' not in reasons


def test_an_answer_that_was_ready_is_delivered_after_a_freeze(
    tmp_path: Path,
) -> None:
    """A deadline that passes during a freeze does not drop a ready answer."""
    replies, events = _run(tmp_path, [1.5, 2.5], 0.15, 1200)
    assert [reply.status for reply in replies] == [200] * 2


def test_a_frozen_gateway_loses_neither_registry_nor_peers(
    tmp_path: Path,
) -> None:
    """What the registry and the peers sent meanwhile is read first."""
    _, events = _run(tmp_path, [0.8, 1.0, 1.3, 2.0, 3.0], 0.01, 6000)
    names = [event['event'] for event in events]
    assert 'registry lost' not in names
    assert 'news source lost' not in names
