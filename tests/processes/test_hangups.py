"""SIGHUP at a ticket-driven instance, and signals up to its end."""

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from standins.deployment import (
    Deployment,
    call,
    free_ports,
    poll_for,
    wait_for_port,
)
from standins.operators import apply_ticket, make_ticket, wait_in_force
from standins.signals import send_until_ended, wait_ignored

pytestmark = pytest.mark.processes
NAME = 'norr-a-0'
ZONES = {'norr-a': 'norr'}
HANGUP_SECONDS = 10


def _read_log(running: Deployment) -> list[dict[str, Any]]:
    text = (running.folder / f'{NAME}.log').read_text()
    return [json.loads(line) for line in text.splitlines()]


def _find_hangups(running: Deployment) -> list[dict[str, Any]]:
    return [
        line
        for line in _read_log(running)
        if line['event'] == 'settings take effect at the next start'
    ]


def _hang_up(running: Deployment) -> None:
    """Sends SIGHUP; waits until it is logged or the process has ended."""
    running.signal(NAME, signal.SIGHUP)
    for _ in poll_for(HANGUP_SECONDS):
        if _find_hangups(running) or running.processes[NAME].poll():
            return


async def _read(running: Deployment) -> int:
    await wait_in_force(running, 1)
    address = running.instances[NAME].caller
    status, _ = await call('GET', f'http://{address}/v1/services/kassa/cups/7')
    return status


# Guards against instances that end at SIGHUP with all their requests.
def test_a_hangup_ends_no_instance(tmp_path: Path) -> None:
    """The instance goes on and says when its settings take effect."""
    ports = free_ports(1)
    with Deployment(tmp_path, zones=ZONES) as running:
        running.start_upstreams('upstreams', ports)
        apply_ticket(running, make_ticket(ZONES, 'kassa', ports))
        assert asyncio.run(_read(running)) == 200
        _hang_up(running)
        assert running.processes[NAME].poll() is None
        (line,) = _find_hangups(running)
        assert (line['level'], line['signal']) == ('warning', 'SIGHUP')
        assert asyncio.run(_read(running)) == 200
        running.signal(NAME, signal.SIGTERM)
        assert running.wait(NAME) == 0


# Guards against instances that end at SIGHUP before they handle signals.
def test_an_early_hangup_ends_no_instance(tmp_path: Path) -> None:
    """An instance that is still starting ignores SIGHUP."""
    with Deployment(tmp_path, zones=ZONES) as running:
        running.signal(NAME, signal.SIGTERM)
        assert running.wait(NAME) == 0
        running.start_entry(NAME, wait=False)
        asyncio.run(wait_ignored(running.processes[NAME].pid, signal.SIGHUP))
        running.signal(NAME, signal.SIGHUP)
        wait_for_port(running.instances[NAME].caller)
        assert running.processes[NAME].poll() is None


# Guards against a status that tells of a crash, and lines that are lost, as a
# signal arrives after the end of a stop.
@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
def test_a_stopped_instance_exits_with_status_0(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Signals that are sent up to its end change nothing."""
    with Deployment(tmp_path, zones=ZONES) as running:
        running.signal(NAME, signal.SIGTERM)
        assert send_until_ended(running.processes[NAME], number) == 0
        assert 'stopped' in {line['event'] for line in _read_log(running)}
