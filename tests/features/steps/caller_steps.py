"""Steps of callers."""

import asyncio
import json
import time
from typing import Any

from behave import then, when
from deployment_steps import stop_entry

from lycheedyke import Client
from standins.deployment import call

HTTP_OK = 200
STOP_AT = 50


@then('a look-up of {service} names entry instances of both zones')
def look_up(context: Any, service: str) -> None:
    """Checks the zones of the entries that a look-up names."""
    entries = asyncio.run(_look_up(context, service))
    zones = {context.running.instances[entry.instance].zone for entry in entries}
    assert zones == set(context.zones), zones


@then('{reads:d} balance look-ups and {credits:d} credits are answered')
def ask(context: Any, reads: int, credits: int) -> None:
    """Sends reads and credits, and checks that each has its own answer."""
    asyncio.run(_ask(context, reads, credits))


@then('callers of the zone {zone} get {count:d} balances')
def ask_in_zone(context: Any, zone: str, count: int) -> None:
    """Sends reads through the entry instances of one zone."""
    asyncio.run(_ask(context, count, 0, zone))


@when(
    'the entry instance {name} is stopped while callers ask {count:d} balances'
)
def stop_under_load(context: Any, name: str, count: int) -> None:
    """Stops an entry instance while requests are sent."""
    asyncio.run(_stop_under_load(context, name, count))


@then('every caller got the whole answer to its own request')
def check_replies(context: Any) -> None:
    """Checks the replies collected before."""
    assert context.replies
    for path, reply in context.replies:
        assert reply.status == HTTP_OK
        assert json.loads(reply.body)['ran'] == f'GET {path} '


@then('{name} gets no new work {seconds:d} s after the ticket was accepted')
def check_drained(context: Any, name: str, seconds: int) -> None:
    """Compares the upstream's record before and after more requests."""
    time.sleep(seconds)
    address = context.ticket['upstreams'][name]['address']
    before = asyncio.run(_record(address))
    asyncio.run(_ask(context, 40, 0))
    assert asyncio.run(_record(address)) == before


async def _record(address: str) -> Any:
    _, record = await call('GET', f'http://{address}/record')
    return record['runs']


def _client(context: Any, zone: str = '') -> Client:
    seats = context.running.instances.values()
    return Client([seat.caller for seat in seats if zone in seat.zone])


async def _look_up(context: Any, service: str) -> Any:
    async with _client(context) as client:
        return await client.lookup(service)


async def _ask(context: Any, reads: int, credits: int, zone: str = '') -> None:
    async with _client(context, zone) as client:
        for index in range(reads):
            path = f'/balances/{index}'
            reply = await client.get('kassa', path)
            assert json.loads(reply.body)['ran'] == f'GET {path} '
        for index in range(credits):
            reply = await client.post('kassa', '/credits', b'%d' % index)
            assert json.loads(reply.body)['run'] == 1


async def _stop_under_load(context: Any, name: str, count: int) -> None:
    async with _client(context) as client:
        for index in range(count):
            if index == STOP_AT:
                stop_entry(context, name)
            path = f'/balances/{index}'
            context.replies.append((path, await client.get('kassa', path)))
            await asyncio.sleep(0.01)
