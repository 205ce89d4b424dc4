"""Defines the steps of traffic that moves between regions."""

import asyncio
import time
from typing import Any

from behave import given, then, when

from lycheedyke.state import hash_point
from standins.deployment import Deployment, call, free_ports
from standins.operators import apply_ticket, wait_in_force

SERVICE = 'kassa'
RAMP_SECONDS = 2
HTTP_OK = 200


@given('a running deployment of the regions {one} and {two}')
def start_regions(context: Any, one: str, two: str) -> None:
    """Starts an entry instance in one zone of each region."""
    context.zones = {f'{one}-a': one, f'{two}-a': two}
    context.running = Deployment(context.folder, zones=context.zones)
    context.running.__enter__()
    context.ports = free_ports(4)
    context.running.start_upstreams('upstreams', context.ports)


@when('callers of {count:d} client blocks send requests to region {region}')
def send_from_blocks(context: Any, count: int, region: str) -> None:
    """Sends one request from each client block and records where it ran."""
    before = asyncio.run(_runs_by_region(context))
    asyncio.run(_send_requests(context, count, region))
    after = asyncio.run(_runs_by_region(context))
    context.runs_by_region = {
        served_region: {
            target
            for target in after[served_region]
            if target not in before[served_region]
        }
        for served_region in after
    }


@then('all requests were served in {region}')
def check_region(context: Any, region: str) -> None:
    """Checks that requests ran in this region only."""
    assert {
        served_region
        for served_region, targets in context.runs_by_region.items()
        if targets
    } == {region}


@when(
    'a shift of {percent:d}% of {service} from {one} to {two} reaches its cap'
)
def apply_shift(
    context: Any, percent: int, service: str, one: str, two: str
) -> None:
    """Submits a shift with a steep ramp and waits for the end of the ramp."""
    change = {
        'service': service,
        'source': one,
        'destination': two,
        'cap': percent / 100,
        'ramp_per_s': 1,
    }
    number = apply_ticket(context.running, {'shifts': {'relief': change}})
    asyncio.run(wait_in_force(context.running, number))
    time.sleep(RAMP_SECONDS)


@then('only the client blocks below {percent:d}% were served in {region}')
def check_moved(context: Any, percent: int, region: str) -> None:
    """Checks that exactly the blocks with hash points below the cap moved."""
    sent = set().union(*context.runs_by_region.values())
    below_cap = {
        target
        for target in sent
        if hash_point(SERVICE, f'10.0.{_block_of(target)}.0/24') < percent / 100
    }
    assert context.runs_by_region[region] == below_cap, (
        context.runs_by_region[region],
        below_cap,
    )
    assert below_cap and sent - below_cap


def _block_of(target: str) -> int:
    return int(target.split()[1].rpartition('/')[2])


async def _send_requests(context: Any, count: int, region: str) -> None:
    context.round = getattr(context, 'round', 0) + 1
    instances = [
        instance
        for instance in context.running.instances.values()
        if instance.region == region
    ]
    for block in range(count):
        status, _ = await call(
            'GET',
            f'http://{instances[0].caller}/v1/services/{SERVICE}'
            f'/round/{context.round}/{block}',
            headers={'Lycheedyke-Client': f'10.0.{block}.7'},
        )
        assert status == HTTP_OK, status


async def _runs_by_region(context: Any) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {
        region: set() for region in context.zones.values()
    }
    for upstream in context.ticket['upstreams'].values():
        _, record = await call('GET', f'http://{upstream["address"]}/record')
        found[context.zones[upstream['zone']]].update(record['runs'])
    return found
