"""Steps of traffic that moves between regions."""

import asyncio
import time
from typing import Any

from behave import given, then, when

from lycheedyke.state import hash_point
from standins.deployment import Deployment, call, free_ports
from standins.operators import apply_ticket, wait_in_force

SERVICE = 'kassa'
RISE_SECONDS = 2
HTTP_OK = 200


@given('a running deployment of the regions {one} and {two}')
def start_regions(context: Any, one: str, two: str) -> None:
    """Starts an entry instance in one zone of each region."""
    context.zones = {f'{one}-a': one, f'{two}-a': two}
    context.running = Deployment(context.folder, zones=context.zones)
    context.running.__enter__()
    context.ports = free_ports(4)
    context.running.start_upstreams('upstreams', context.ports)


@when('callers of {count:d} client blocks ask the entry instances of {region}')
def ask_from_blocks(context: Any, count: int, region: str) -> None:
    """Sends one request from each client block, and notes where it ran."""
    before = asyncio.run(_runs_by_region(context))
    asyncio.run(_ask(context, count, region))
    after = asyncio.run(_runs_by_region(context))
    context.ran = {
        place: {
            target for target in after[place] if target not in before[place]
        }
        for place in after
    }


@then('all of them were served in {region}')
def check_home(context: Any, region: str) -> None:
    """Checks that nothing ran elsewhere."""
    assert {place for place, ran in context.ran.items() if ran} == {region}


@when(
    'a shift of {percent:d}% of {service} from {one} to {two} is accepted and has risen'
)
def shift(context: Any, percent: int, service: str, one: str, two: str) -> None:
    """Hands in a shift with a steep ramp, and waits for its end."""
    change = {
        'service': service,
        'source': one,
        'destination': two,
        'cap': percent / 100,
        'ramp_per_s': 1,
    }
    number = apply_ticket(context.running, {'shifts': {'relief': change}})
    asyncio.run(wait_in_force(context.running, number))
    time.sleep(RISE_SECONDS)


@then('only the client blocks under {percent:d}% were served in {region}')
def check_moved(context: Any, percent: int, region: str) -> None:
    """Compares the moved blocks with those whose hash point is under."""
    asked = set().union(*context.ran.values())
    under = {
        target
        for target in asked
        if hash_point(SERVICE, f'10.0.{_block_of(target)}.0/24') < percent / 100
    }
    assert context.ran[region] == under, (context.ran[region], under)
    assert under and asked - under


def _block_of(target: str) -> int:
    return int(target.split()[1].rpartition('/')[2])


async def _ask(context: Any, count: int, region: str) -> None:
    context.round = getattr(context, 'round', 0) + 1
    seats = [
        seat for seat in context.running.instances.values() if seat.region == region
    ]
    for block in range(count):
        status, _ = await call(
            'GET',
            f'http://{seats[0].caller}/v1/services/{SERVICE}'
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
