"""Validates a ticket against the configuration that it would change."""

import ipaddress
from collections.abc import Iterator, Mapping
from datetime import datetime, timedelta
from typing import Any

from lycheedyke.protocol import (
    CREATED_UNSET,
    MAX_TICKET_BYTES,
    Ticket,
    encode_ticket,
)
from lycheedyke.state._configuration import Configuration
from lycheedyke.state._references import find_reference_faults

MAX_CLOCK_ERROR = timedelta(hours=1)


def find_faults(before: Configuration, ticket: Ticket) -> list[str]:
    """Returns a sentence for each fault, none if the ticket is acceptable."""
    faults = list(_form_faults(before, ticket))
    prefix_faults = list(_prefix_faults(ticket))
    faults.extend(prefix_faults)
    if prefix_faults:
        return faults
    faults.extend(_removal_faults(before, ticket))
    after = before.apply(before.number + 1, ticket)
    faults.extend(find_reference_faults(after))
    faults.extend(_duplicate_faults(after))
    if not ticket.allow_last:
        faults.extend(_last_upstream_faults(before, after))
    return faults


def find_time_faults(ticket: Ticket, now: datetime) -> list[str]:
    """Returns a sentence if the creation time is more than an hour off."""
    error = abs(ticket.created - now)
    if ticket.created == CREATED_UNSET or error <= MAX_CLOCK_ERROR:
        return []
    return [
        f'created is {ticket.created.isoformat()}, more than an hour away '
        f'from {now.isoformat()}; leave it out',
    ]


def _form_faults(before: Configuration, ticket: Ticket) -> Iterator[str]:
    if not ticket.touched_objects():
        yield 'the ticket changes nothing'
    if ticket.based_on > before.number:
        yield (
            f'based_on {ticket.based_on} is newer than the newest ticket '
            f'known to this instance, {before.number}'
        )
    size = len(encode_ticket(ticket))
    if size > MAX_TICKET_BYTES:
        yield (
            f'the ticket has {size} bytes; '
            f'at most {MAX_TICKET_BYTES} are allowed'
        )


def _prefix_faults(ticket: Ticket) -> Iterator[str]:
    for prefix in ticket.blocks:
        try:
            network = ipaddress.ip_network(prefix)
        except ValueError as error:
            yield f'block {prefix!r} is not a network prefix: {error}'
            continue
        if str(network) != prefix:
            yield f'block {prefix!r} must be written {str(network)!r}'


def _removal_faults(before: Configuration, ticket: Ticket) -> Iterator[str]:
    kinds: tuple[tuple[str, Mapping[str, Any], Mapping[str, Any]], ...] = (
        ('zone', ticket.zones, before.zones),
        ('service', ticket.services, before.services),
        ('upstream', ticket.upstreams, before.upstreams),
        ('shift', ticket.shifts, before.shifts),
    )
    for kind, changes, present in kinds:
        for name, new in changes.items():
            if new is None and name not in present:
                yield f'{kind} {name!r} cannot be removed: it does not exist'
    for prefix, block in ticket.blocks.items():
        if block is None and before.blocks.get(prefix) is None:
            yield f'block {prefix!r} cannot be removed: it does not exist'


def _duplicate_faults(after: Configuration) -> Iterator[str]:
    first_at: dict[str, str] = {}
    for name, upstream in after.upstreams.items():
        first = first_at.setdefault(upstream.address, name)
        if first != name:
            yield (
                f'upstream {name!r}: address {upstream.address!r} '
                f'is already used by upstream {first!r}'
            )
    first_of: dict[tuple[str, str, str, bool], str] = {}
    for name, (shift, _) in after.shifts.items():
        path = (shift.service, shift.source, shift.destination, shift.failover)
        first = first_of.setdefault(path, name)
        if first != name:
            yield f'shift {name!r} moves the same traffic as shift {first!r}'


def _last_upstream_faults(
    before: Configuration,
    after: Configuration,
) -> Iterator[str]:
    for service in before.services:
        if before.serving(service) and not after.serving(service):
            yield (
                f'service {service!r} would lose its last serving upstream; '
                'set allow_last to permit it'
            )
