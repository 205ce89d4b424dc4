"""Defines the steps of callers."""

import asyncio
import json
import time
from typing import Any

from behave import then, when
from deployment_steps import stop_entry

from lycheedyke import Client
from standins.deployment import call, poll_for

HTTP_OK = 200
STOP_INDEX = 50
# A change is in force everywhere within this time.
IN_FORCE_SECONDS = 6


@then('a look-up of {service} names entry instances of both zones')
def check_look_up(context: Any, service: str) -> None:
    """Waits until a look-up names entries of all zones.

    Zones learn of each other by summaries, which may come after a ticket.
    """
    for _ in poll_for(IN_FORCE_SECONDS):
        entries = asyncio.run(_look_up_service(context, service))
        zones = {
            context.running.instances[entry.instance].zone for entry in entries
        }
        if zones == set(context.zones):
            break
    assert zones == set(context.zones), zones


@then('{reads:d} balance reads and {credits:d} credits are answered')
def check_answers(context: Any, reads: int, credits: int) -> None:
    """Sends reads and credits and checks that each gets its own response."""
    asyncio.run(_send_requests(context, reads, credits))


@then('callers of the zone {zone} get {count:d} balances')
def check_answers_in_zone(context: Any, zone: str, count: int) -> None:
    """Sends reads through the entry instances of one zone."""
    asyncio.run(_send_requests(context, count, 0, zone))


@when(
    'the entry instance {name} is stopped while callers read {count:d} balances'
)
def stop_under_load(context: Any, name: str, count: int) -> None:
    """Stops an entry instance while requests are sent."""
    asyncio.run(_stop_under_load(context, name, count))


@then('every caller got the complete response to its own request')
def check_replies(context: Any) -> None:
    """Checks the responses that an earlier step collected."""
    assert context.replies
    for path, reply in context.replies:
        assert reply.status == HTTP_OK
        assert json.loads(reply.body)['ran'] == f'GET {path} '


@then('{name} gets no new requests {seconds:d} s after the ticket was accepted')
def check_drained(context: Any, name: str, seconds: int) -> None:
    """Checks that further requests do not run at the upstream."""
    time.sleep(seconds)
    address = context.ticket['upstreams'][name]['address']
    before = asyncio.run(_get_runs(address))
    asyncio.run(_send_requests(context, 40, 0))
    assert asyncio.run(_get_runs(address)) == before


async def _get_runs(address: str) -> Any:
    _, record = await call('GET', f'http://{address}/record')
    return record['runs']


def _client(context: Any, zone: str = '') -> Client:
    instances = context.running.instances.values()
    return Client(
        [instance.caller for instance in instances if zone in instance.zone]
    )


async def _look_up_service(context: Any, service: str) -> Any:
    async with _client(context) as client:
        return await client.lookup(service)


async def _send_requests(
    context: Any, reads: int, credits: int, zone: str = ''
) -> None:
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
            if index == STOP_INDEX:
                stop_entry(context, name)
            path = f'/balances/{index}'
            context.replies.append((path, await client.get('kassa', path)))
            await asyncio.sleep(0.01)
