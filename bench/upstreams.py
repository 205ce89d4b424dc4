"""Starts the upstreams of a customer and reads their records."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from bench.shapes import CustomerShape
from standins.deployment import Deployment, call, free_ports


class UpstreamRecord(NamedTuple):
    """Counts that an upstream of the testbed keeps.

    Attributes:
        name: the upstream.
        slots: its slots by the ticket.
        runs: number of runs of each request, by `METHOD path body`.
        max_in_flight: highest number of requests in flight at one time.
        in_flight: number of requests that are running.
        finished: number of requests that ran to completion.
        last_start: when the last request started, in Unix seconds.
    """

    name: str
    slots: int
    runs: Mapping[str, int]
    max_in_flight: int
    in_flight: int
    finished: int
    last_start: float


def start_upstreams(
    deployment: Deployment, shape: CustomerShape
) -> dict[str, Any]:
    """Starts all upstreams and returns the ticket that lists them."""
    zones = list(shape.zones)
    ticket: dict[str, Any] = {
        'zones': {
            zone: {'region': region} for zone, region in shape.zones.items()
        },
        'services': {},
        'upstreams': {},
    }
    for service in shape.services:
        ticket['services'][service.name] = {
            'customer': shape.name,
            **service.options,
        }
        ports = free_ports(service.upstreams)
        for first, zone in enumerate(zones):
            deployment.start_upstreams(
                upstream_process(service.name, zone),
                ports[first :: len(zones)],
            )
        for index, port in enumerate(ports):
            ticket['upstreams'][f'{service.name}-{index}'] = {
                'service': service.name,
                'zone': zones[index % len(zones)],
                'address': f'127.0.0.1:{port}',
                'slots': service.slots,
            }
    return ticket


def upstream_process(service: str, zone: str) -> str:
    """Returns the name of the process of a service's upstreams in a zone."""
    return f'{service}-in-{zone}'


async def set_run_times(
    shape: CustomerShape, ticket: Mapping[str, Any]
) -> None:
    """Sets the run time of requests at each upstream from its service.

    An upstream with more requests in flight than slots runs each more slowly.
    """
    run_ms = {each.name: each.run_ms for each in shape.services}
    for upstream in ticket['upstreams'].values():
        await call(
            'POST',
            f'http://{upstream["address"]}/fault',
            json={
                'run_ms': run_ms[upstream['service']],
                'slots': upstream['slots'],
            },
        )


async def read_records(ticket: Mapping[str, Any]) -> list[UpstreamRecord]:
    """Returns the records of all upstreams of a ticket."""
    found = []
    for name, upstream in ticket['upstreams'].items():
        _, record = await call('GET', f'http://{upstream["address"]}/record')
        found.append(
            UpstreamRecord(
                name,
                upstream['slots'],
                record['runs'],
                record['most_in_flight'],
                record['in_flight'],
                record['finished'],
                record['last_start'],
            ),
        )
    return found


def free_share(records: list[UpstreamRecord]) -> float:
    """Returns the share of all slots that are free."""
    slots = sum(record.slots for record in records)
    return 1 - sum(record.in_flight for record in records) / slots
