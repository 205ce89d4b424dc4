"""Validates the references between the objects of a configuration.

Every instance applies these checks to the tickets in the log, so their result
must be the same in all versions of the project.
"""

import ipaddress
from collections.abc import Iterator

from lycheedyke.protocol import Phase
from lycheedyke.state._configuration import Configuration

MAX_PORT = 65_535


def find_reference_faults(configuration: Configuration) -> list[str]:
    """Returns a sentence for each invalid object or reference."""
    return [
        *_upstream_faults(configuration),
        *_shift_faults(configuration),
        *_home_faults(configuration),
    ]


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
        if not _is_address(upstream.address):
            yield (
                f'upstream {name!r}: {upstream.address!r} '
                'is not an IP address and a port'
            )


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT


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


def _home_faults(after: Configuration) -> Iterator[str]:
    for home in sorted(after.blocks.homes() - after.regions()):
        yield f'blocks have the home {home!r}: region {home!r} does not exist'
