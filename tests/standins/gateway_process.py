"""A gateway process that uses the store and upstreams of a testbed."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from standins.deployment import free_ports
from standins.gateway_testbed import (
    HOST,
    PLATFORM_DIR,
    SETTINGS,
    GatewayTestbed,
    Reply,
)

START_SECONDS = 20


class GatewayProcess:
    """A process that `platform/launch.py` starts; a context manager.

    Args:
        testbed: its store, upstreams and other instances.
        folder: the directory of its settings file and its log.
    """

    def __init__(self, testbed: GatewayTestbed, folder: Path) -> None:
        """Starts the process."""
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
            self._process = subprocess.Popen(
                [sys.executable, str(PLATFORM_DIR / 'launch.py')],
                stdout=log,
                stderr=log,
                env={**os.environ, 'LYCHEEDYKE_BOOT': str(path)},
            )

    def __enter__(self) -> 'GatewayProcess':
        """Returns the process."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kills the process."""
        self._process.kill()
        self._process.wait()

    @property
    def caller_address(self) -> str:
        """Where callers send requests."""
        return f'127.0.0.1:{self._ports[0]}'

    @property
    def processor_seconds(self) -> float:
        """The processor time that the process has used."""
        stat = Path(f'/proc/{self._process.pid}/stat').read_text()
        fields = stat.rpartition(') ')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

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
        self._process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._process.send_signal(signal.SIGCONT)

    async def send(self, deadline_ms: int, request: str = 'r-9') -> Reply:
        """Sends an idempotent request."""
        return await self._testbed.send_to(
            self.caller_address,
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
