"""Scaled-down zones and services of the two customers."""

from collections.abc import Mapping
from typing import Any, NamedTuple


class ServiceShape(NamedTuple):
    """One service of a customer.

    Attributes:
        name: the service.
        upstreams: number of upstreams, distributed over the zones.
        slots: slots of each upstream.
        run_ms: run time of a request, in ms.
        writes: whether callers send non-idempotent requests.
        options: additional fields of the service in the ticket.
    """

    name: str
    upstreams: int
    slots: int
    run_ms: int
    writes: bool
    options: Mapping[str, Any]


class CustomerShape(NamedTuple):
    """One customer: zones (zone name to region name) and services."""

    name: str
    zones: Mapping[str, str]
    services: tuple[ServiceShape, ...]


PANTSAKER = CustomerShape(
    'pantsaker',
    {
        'norr-a': 'norr',
        'norr-b': 'norr',
        'vast-a': 'vast',
        'vast-b': 'vast',
        'syd-a': 'syd',
        'syd-b': 'syd',
    },
    (
        ServiceShape('kassa', 12, 9, 100, True, {}),
        ServiceShape('redovisning', 6, 9, 200, False, {'read_class': 'batch'}),
    ),
)
CASCADE = CustomerShape(
    'cascade',
    {
        'pnw-a': 'pnw',
        'pnw-b': 'pnw',
        'mountain-a': 'mountain',
        'mountain-b': 'mountain',
        'norcal-a': 'norcal',
        'norcal-b': 'norcal',
    },
    (
        ServiceShape('shoe-desk', 12, 3, 100, True, {}),
        ServiceShape('fit-guide', 6, 3, 100, False, {}),
    ),
)
CUSTOMERS = {shape.name: shape for shape in (PANTSAKER, CASCADE)}
