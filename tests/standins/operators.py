"""Operator actions for tests: tickets and the command line tool."""

import json
import os
import subprocess
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from standins.deployment import (
    ADMIN_SECRET,
    Deployment,
    InstanceSpec,
    admin_headers,
    call,
    poll_for,
)

READY_SECONDS = 15
HTTP_OK = 200


def make_ticket(
    zones: Mapping[str, str],
    service: str,
    ports: Sequence[int],
    *,
    customer: str = 'pantsaker',
    slots: int = 9,
    **service_options: Any,
) -> dict[str, Any]:
    """Returns a ticket with one service and upstreams in all zones in turn."""
    names = list(zones)
    return {
        'zones': {zone: {'region': region} for zone, region in zones.items()},
        'services': {service: {'customer': customer, **service_options}},
        'upstreams': {
            f'{service}-{index}': {
                'service': service,
                'zone': names[index % len(names)],
                'address': f'127.0.0.1:{port}',
                'slots': slots,
            }
            for index, port in enumerate(ports)
        },
    }


def run_ctl(
    running: Deployment,
    *arguments: str,
) -> subprocess.CompletedProcess[str]:
    """Runs `lycheedykectl` and returns its exit status and output."""
    token = running.folder / 'admin.token'
    token.write_text(ADMIN_SECRET)
    config = running.folder / 'lycheedykectl.ini'
    servers = ', '.join(
        instance.admin for instance in running.instances.values()
    )
    config.write_text(
        f'[server]\naddresses = {servers}\ntoken_file = {token}\n',
    )
    return subprocess.run(
        [sys.executable, '-m', 'lycheedyke_ctl', *arguments],
        env={**os.environ, 'LYCHEEDYKECTL_CONFIG': str(config)},
        check=False,
        capture_output=True,
        text=True,
    )


def apply_ticket(running: Deployment, ticket: Mapping[str, Any]) -> int:
    """Applies a ticket with `lycheedykectl` and returns its number."""
    document = running.folder / 'ticket.json'
    document.write_text(json.dumps(ticket))
    done = run_ctl(running, 'ticket', 'apply', str(document), '--json')
    assert done.returncode == 0, done.stderr
    return int(json.loads(done.stdout)['accepted'])


async def get_admin(instance: InstanceSpec, path: str) -> Any:
    """Returns a response of the administration API of one instance."""
    status, found = await call(
        'GET',
        f'http://{instance.admin}{path}',
        headers=admin_headers(),
    )
    assert status == HTTP_OK, (path, status, found)
    return found


async def wait_in_force(
    running: Deployment,
    number: int,
    names: Sequence[str] = (),
) -> None:
    """Waits until a ticket is in force at the named instances, or all."""
    for name in names or running.instances:
        instance = running.instances[name]
        for _ in poll_for(READY_SECONDS):
            found = await get_admin(instance, '/v1/status')
            if found['ticket'] >= number:
                break
        assert found['ticket'] >= number, (name, found)
