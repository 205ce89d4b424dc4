"""Defines the steps that start, cut and stop a deployment."""

import asyncio
import signal
from typing import Any

from behave import given, then, when

from standins.deployment import Deployment, call, free_ports
from standins.operators import apply_ticket, make_ticket, wait_in_force

SLOTS = 9


@given('a running deployment of the zones {one} and {two} in region {region}')
def start_deployment(context: Any, one: str, two: str, region: str) -> None:
    """Starts two entry instances in each zone, and four upstreams."""
    context.zones = {one: region, two: region}
    context.running = Deployment(
        context.folder,
        zones=context.zones,
        entries=2,
        links=True,
    )
    context.running.__enter__()
    context.ports = free_ports(4)
    context.running.start_upstreams('upstreams', context.ports)


@given('a ticket with {count:d} upstreams for {service} is in force')
def submit_and_wait(context: Any, count: int, service: str) -> None:
    """Submits a ticket and waits until it is in force."""
    ticket = make_ticket(context.zones, service, context.ports[:count])
    context.ticket = ticket
    number = apply_ticket(context.running, ticket)
    asyncio.run(wait_in_force(context.running, number))


@when('the platform goes down')
def stop_platform(context: Any) -> None:
    """Makes every request to the platform fail."""
    _set_platform(context, down=True)


@when('the platform recovers')
def start_platform(context: Any) -> None:
    """Makes the platform answer requests again."""
    _set_platform(context, down=False)


@when('the zone {zone} is cut off')
def cut_zone(context: Any, zone: str) -> None:
    """Cuts a zone off from the other zones and the platform."""
    asyncio.run(_set_links(context, zone, is_open=False))


@when('the zone {zone} is connected again')
def heal_zone(context: Any, zone: str) -> None:
    """Heals all links of a zone."""
    asyncio.run(_set_links(context, zone, is_open=True))


@then('the stopped process exits with status {status:d}')
def check_status(context: Any, status: int) -> None:
    """Checks the exit status of the stopped entry instance."""
    assert context.running.wait(context.stopped) == status


def stop_entry(context: Any, name: str) -> None:
    """Sends SIGTERM to an entry instance."""
    context.stopped = name
    context.running.signal(name, signal.SIGTERM)


def _set_platform(context: Any, *, down: bool) -> None:
    address = context.running.platform
    asyncio.run(call('POST', f'http://{address}/fault', json={'down': down}))


async def _set_links(context: Any, zone: str, *, is_open: bool) -> None:
    running = context.running
    change = running.heal if is_open else running.cut
    for other in running.zones:
        if other != zone:
            await change(zone, other)
            await change(other, zone)
    await change(zone, 'platform')
