"""The configuration that results from all accepted tickets."""

from collections.abc import Mapping
from datetime import datetime
from typing import NamedTuple, Self, TypeVar

from lycheedyke.protocol import (
    Phase,
    Service,
    Shift,
    Ticket,
    Upstream,
    Zone,
)
from lycheedyke.state._blocks import BlockMap

_Object = TypeVar('_Object')


class AcceptedShift(NamedTuple):
    """A shift and the time at which its ticket was accepted."""

    shift: Shift
    accepted: datetime


class Configuration(NamedTuple):
    """All objects as of one ticket number; immutable."""

    number: int = 0
    zones: Mapping[str, Zone] = {}
    services: Mapping[str, Service] = {}
    upstreams: Mapping[str, Upstream] = {}
    shifts: Mapping[str, AcceptedShift] = {}
    blocks: BlockMap = BlockMap()

    def apply(self, number: int, ticket: Ticket) -> Self:
        """Returns the configuration with a ticket applied.

        Args:
            number: the ticket's number.
            ticket: the accepted ticket.
        """
        shifts = {
            name: AcceptedShift(shift, ticket.created) if shift else None
            for name, shift in ticket.shifts.items()
        }
        blocks = self.blocks
        return self._replace(
            number=number,
            zones=_merge(self.zones, ticket.zones),
            services=_merge(self.services, ticket.services),
            upstreams=_merge(self.upstreams, ticket.upstreams),
            shifts=_merge(self.shifts, shifts),
            blocks=blocks.change(ticket.blocks) if ticket.blocks else blocks,
        )

    def region_of(self, upstream: Upstream) -> str:
        """Returns the region of an upstream."""
        return self.zones[upstream.zone].region

    def regions(self) -> set[str]:
        """Returns the names of all regions."""
        return {zone.region for zone in self.zones.values()}

    def serving(self, service: str) -> dict[str, Upstream]:
        """Returns the upstreams of a service that get new requests."""
        return {
            name: upstream
            for name, upstream in self.upstreams.items()
            if upstream.service == service and upstream.phase is Phase.serving
        }


def _merge(
    present: Mapping[str, _Object],
    changes: Mapping[str, _Object | None],
) -> Mapping[str, _Object]:
    if not changes:
        return present
    merged = dict(present)
    for name, new in changes.items():
        if new is None:
            merged.pop(name, None)
        else:
            merged[name] = new
    return merged
