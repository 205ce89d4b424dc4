"""Tests of the gateway as a process that `platform/launch.py` starts."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from datetime import datetime
from pathlib import Path

import pytest

from standins.deployment import free_ports
from standins.gateway_testbed import PLATFORM_DIR, SETTINGS, GatewayTestbed
from standins.log_lines import COMMON, find_unlisted
from standins.signals import send_until_ended, wait_ignored

pytestmark = pytest.mark.processes
START_SECONDS = 15
# Half of the timeout of the route, so that the answer is in time also on a
# busy machine.
RUN_SECONDS = 0.6
REQUEST = (
    b'GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'Lycheedyke-Request-Id: r-9\r\n\r\n'
)
# More than the buffers of the kernel hold.
LARGE_BYTES = 8_000_000
# The grace period of the deployments; an idle instance ends after half of it.
GRACE = 'stop_grace = 6s'
LATER_SECONDS = 3.4


def _start_gateway(path: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, str(PLATFORM_DIR / 'launch.py')],
        stdout=subprocess.PIPE,
        env={**os.environ, 'LYCHEEDYKE_BOOT': str(path)},
    )


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


def _write_settings(
    path: Path, store: str, ports: list[int], level: str
) -> None:
    text = SETTINGS.format(
        name='edge-9',
        region='pnw',
        zone='pnw-a',
        ports=ports,
        store=store,
        seeds='',
        metrics=f'127.0.0.1:{ports[4]}',
    )
    path.write_text(f'{text}\n[logs]\nlevel = {level}\n')


async def _start_reload_and_stop(folder: Path) -> list[dict[str, object]]:
    async with GatewayTestbed(folder) as testbed:
        path = folder / 'local.json'
        ports = free_ports(5)
        store = testbed.settings[0].registry_address
        _write_settings(path, store, ports, 'info')
        process = _start_gateway(path)
        await _wait_ready(testbed, f'127.0.0.1:{ports[1]}')
        _write_settings(path, store, ports, 'warning')
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        _write_settings(path, store, ports, 'louder')
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        _write_settings(path, store, ports, 'info')
        # Without a signal the gateway notices the change some time later.
        await asyncio.sleep(2.5)
        reply = await testbed.get(f'127.0.0.1:{ports[4]}', '/metrics')
        assert b'lycheedyke_version 17.0' in reply.body
        usable_upstreams = (
            b'lycheedyke_upstreams{service="desk",state="usable"} 2.0'
        )
        assert usable_upstreams in reply.body
        process.send_signal(signal.SIGTERM)
        output, _ = await asyncio.to_thread(process.communicate, timeout=10)
        assert process.returncode == 0
        return [json.loads(line) for line in output.splitlines()]


def test_it_starts_reloads_and_stops(tmp_path: Path) -> None:
    """SIGHUP reloads the settings; a faulty file changes nothing."""
    lines = asyncio.run(asyncio.wait_for(_start_reload_and_stop(tmp_path), 60))
    events = [line['event'] for line in lines]
    for line in lines:
        assert line.keys() >= COMMON
        assert datetime.fromisoformat(str(line['time'])).tzinfo is not None
        if str(line['logger']).startswith('lycheedyke'):
            found = find_unlisted(str(line['event']), line.keys() - COMMON)
            assert not found
    assert 'started' in events
    assert any('settings not reloaded' in str(each) for each in events)
    changes = [
        line['changed']
        for line in lines
        if line['event'] == 'settings reloaded'
    ]
    assert changes == [['log_level'], ['log_level']]
    assert events[-1] == 'stopped'


async def _stop_repeatedly(folder: Path) -> tuple[int, bytes]:
    """Sends each signal at a time at which it could end the process."""
    async with GatewayTestbed(folder) as testbed:
        path = folder / 'local.json'
        ports = free_ports(5)
        _write_settings(
            path, testbed.settings[0].registry_address, ports, 'info'
        )
        process = _start_gateway(path)
        await wait_ignored(process.pid, signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        await _wait_ready(testbed, f'127.0.0.1:{ports[1]}')
        for upstream in testbed.upstreams:
            upstream.run_s = RUN_SECONDS
        reader, writer = await asyncio.open_connection('127.0.0.1', ports[0])
        writer.write(REQUEST)
        await asyncio.sleep(RUN_SECONDS / 3)
        for _ in range(3):
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(RUN_SECONDS / 6)
        answer = await reader.read()
        writer.close()
        await asyncio.to_thread(process.communicate, timeout=10)
        return process.returncode, answer


def test_signals_that_are_sent_again_cut_nothing(tmp_path: Path) -> None:
    """A repeated SIGTERM or an early SIGHUP ends no process or request."""
    run = _stop_repeatedly(tmp_path)
    status, answer = asyncio.run(asyncio.wait_for(run, 60))
    assert b'{"ran": "whole"}' in answer
    assert status == 0


async def _send_to_the_end(folder: Path) -> int:
    async with GatewayTestbed(folder) as testbed:
        path = folder / 'local.json'
        ports = free_ports(5)
        store = testbed.settings[0].registry_address
        _write_settings(path, store, ports, 'error')
        process = _start_gateway(path)
        await _wait_ready(testbed, f'127.0.0.1:{ports[1]}')
        return await asyncio.to_thread(
            send_until_ended, process, signal.SIGTERM
        )


# Guards against a status that tells of a crash, as a signal arrives after the
# end of a stop.
def test_a_stopped_gateway_exits_with_status_0(tmp_path: Path) -> None:
    """SIGTERM that is sent up to the end of the process changes nothing."""
    run = _send_to_the_end(tmp_path)
    assert asyncio.run(asyncio.wait_for(run, 60)) == 0


async def _stop_while_sending(folder: Path) -> int:
    """Returns the size of an answer that is read late in a stop."""
    async with GatewayTestbed(folder) as testbed:
        for upstream in testbed.upstreams:
            upstream.body = bytes(LARGE_BYTES)
        path = folder / 'local.json'
        ports = free_ports(5)
        store = testbed.settings[0].registry_address
        _write_settings(path, store, ports, 'info')
        path.write_text(path.read_text().replace('stop_grace = 2s', GRACE))
        process = _start_gateway(path)
        await _wait_ready(testbed, f'127.0.0.1:{ports[1]}')
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.setblocking(False)
            await loop.sock_connect(caller, ('127.0.0.1', ports[0]))
            await loop.sock_sendall(caller, REQUEST)
            received = len(await loop.sock_recv(caller, 1))
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(LATER_SECONDS)
            while chunk := await loop.sock_recv(caller, 1_048_576):
                received += len(chunk)
        await asyncio.to_thread(process.communicate, timeout=10)
        return received


# Guards against answers that are cut as the process ends: requests counted as
# finished before their answers were written.
def test_a_stop_waits_for_answers_that_are_being_sent(tmp_path: Path) -> None:
    """A caller that reads a large answer slowly gets all of it."""
    run = _stop_while_sending(tmp_path)
    assert asyncio.run(asyncio.wait_for(run, 60)) > LARGE_BYTES


def test_faulty_settings_end_it_with_each_fault(tmp_path: Path) -> None:
    """Faulty settings give exit status 2 and a line for each fault."""
    path = tmp_path / 'local.json'
    _write_settings(path, '127.0.0.1:1', [0, 1, 2, 3, 4], 'info')
    done = subprocess.run(
        [sys.executable, str(PLATFORM_DIR / 'launch.py')],
        env={**os.environ, 'LYCHEEDYKE_BOOT': str(path)},
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    assert done.returncode == 2
    assert "[listen] caller = '127.0.0.1:0'" in done.stderr
