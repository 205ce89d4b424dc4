"""Plans: the changes of a ticket, and the slots that it would leave."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from lycheedyke.protocol import Ticket
from lycheedyke.state._configuration import Configuration


class ObjectChange(msgspec.Struct, frozen=True):
    """One object before and after a ticket; None if it does not exist."""

    name: str
    before: Any
    after: Any


class SlotChange(msgspec.Struct, frozen=True):
    """The slots of the serving upstreams of a service in a region."""

    service: str
    region: str
    before: int
    after: int


class Plan(msgspec.Struct, frozen=True):
    """The effect that a ticket would have.

    Attributes:
        based_on: the newest ticket at the time of the plan.
        faults: why the ticket would be refused; empty if it is acceptable.
        changes: each object that the ticket touches.
        headroom: the slots of each service and region that has any.
    """

    based_on: int
    faults: list[str]
    changes: list[ObjectChange]
    headroom: list[SlotChange]


def make_plan(
    before: Configuration,
    ticket: Ticket,
    faults: list[str],
) -> Plan:
    """Returns the effect of a ticket; with faults, the slots do not change."""
    after = before if faults else before.apply(before.number + 1, ticket)
    return Plan(
        before.number,
        faults,
        _changes(before, ticket),
        _headroom(before, after),
    )


def _changes(before: Configuration, ticket: Ticket) -> list[ObjectChange]:
    shifts = {name: state.shift for name, state in before.shifts.items()}
    return [
        *_compare('zone', before.zones, ticket.zones),
        *_compare('service', before.services, ticket.services),
        *_compare('upstream', before.upstreams, ticket.upstreams),
        *_compare('shift', shifts, ticket.shifts),
        *(
            ObjectChange(
                f'block {prefix}',
                _home(before, prefix),
                block.home if block else None,
            )
            for prefix, block in ticket.blocks.items()
        ),
    ]


def _compare(
    kind: str,
    present: Mapping[str, Any],
    changes: Mapping[str, Any],
) -> Iterator[ObjectChange]:
    for name, new in changes.items():
        yield ObjectChange(f'{kind} {name}', present.get(name), new)


def _home(before: Configuration, prefix: str) -> str | None:
    try:
        return before.blocks.get(prefix)
    except ValueError:
        return None


def _headroom(before: Configuration, after: Configuration) -> list[SlotChange]:
    old, new = _slots(before), _slots(after)
    return [
        SlotChange(*key, old[key], new[key])
        for key in sorted(old.keys() | new.keys())
    ]


def _slots(configuration: Configuration) -> Counter[tuple[str, str]]:
    slots: Counter[tuple[str, str]] = Counter()
    for service in configuration.services:
        for upstream in configuration.serving(service).values():
            region = configuration.region_of(upstream)
            slots[service, region] += upstream.slots
    return slots
