"""Checks of a ticket against the configuration that it would change."""

import ipaddress
from collections.abc import Iterator

from lycheedyke.protocol import Phase, Ticket
from lycheedyke.state._configuration import Configuration


def find_faults(before: Configuration, ticket: Ticket) -> list[str]:
    """Returns a sentence for each fault; none means that it may go in."""
    faults = list(_block_faults(ticket))
    if faults:
        return faults
    after = before.apply(before.number + 1, ticket)
    faults.extend(_upstream_faults(after))
    faults.extend(_shift_faults(after))
    faults.extend(_home_faults(after, ticket))
    if not ticket.allow_last:
        faults.extend(_last_upstream_faults(before, after))
    return faults


def _block_faults(ticket: Ticket) -> Iterator[str]:
    for prefix in ticket.blocks:
        try:
            ipaddress.ip_network(prefix)
        except ValueError as error:
            yield f'block {prefix!r} is not a network prefix: {error}'


def _upstream_faults(after: Configuration) -> Iterator[str]:
    for name, upstream in after.upstreams.items():
        if upstream.zone not in after.zones:
            yield f'upstream {name!r}: zone {upstream.zone!r} does not exist'
        if upstream.service not in after.services:
            yield (
                f'upstream {name!r}: service {upstream.service!r} '
                'does not exist'
            )
        if upstream.phase is Phase.serving and not upstream.slots:
            yield f'upstream {name!r} is serving with 0 slots'


def _shift_faults(after: Configuration) -> Iterator[str]:
    regions = after.regions()
    for name, (shift, _) in after.shifts.items():
        if shift.service not in after.services:
            yield f'shift {name!r}: service {shift.service!r} does not exist'
        for region in (shift.source, shift.destination):
            if region not in regions:
                yield f'shift {name!r}: region {region!r} does not exist'
        if shift.source == shift.destination:
            yield f'shift {name!r} moves {shift.source!r} to itself'
        if shift.start_share > shift.cap:
            yield f'shift {name!r}: start_share is above the cap'


def _home_faults(after: Configuration, ticket: Ticket) -> Iterator[str]:
    regions = after.regions()
    for prefix, block in ticket.blocks.items():
        if block is not None and block.home not in regions:
            yield f'block {prefix!r}: region {block.home!r} does not exist'


def _last_upstream_faults(
    before: Configuration,
    after: Configuration,
) -> Iterator[str]:
    for service in before.services.keys() & after.services.keys():
        if before.serving(service) and not after.serving(service):
            yield (
                f'service {service!r} would lose its last serving upstream; '
                'set allow_last to permit it'
            )
