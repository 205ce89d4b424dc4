"""Registry records for tests."""

from datetime import timedelta
from typing import Any

from lycheedyke.protocol import (
    CallerLimits,
    Route,
    RouteKind,
    RoutePart,
    RoutingRecord,
    ServiceLimits,
    UpstreamRecord,
)


def make_upstream(name: str, **changes: Any) -> UpstreamRecord:
    """Returns the record of a ready upstream."""
    fields: dict[str, Any] = {
        'service': 'desk',
        'address': '10.0.0.1:80',
        'zone': 'pnw-a',
        'slots': 3,
        'leaving': False,
        'cold': timedelta(),
        'born': 1,
    }
    return UpstreamRecord(name=name, **{**fields, **changes})


def make_route(prefix: str, *parts: RoutePart, **changes: Any) -> Route:
    """Returns a route whose name is its prefix."""
    fields: dict[str, Any] = {
        'host': 'a',
        'kind': RouteKind.idempotent,
        'timeout': timedelta(seconds=1),
        'goal': timedelta(milliseconds=250),
        'attempts': 2,
        'sticky': True,
    }
    return Route(
        name=prefix,
        prefix=prefix,
        parts=parts or (RoutePart('desk', 1),),
        **{**fields, **changes},
    )


def make_routing(number: int, *routes: Route) -> RoutingRecord:
    """Returns a routing record with one service."""
    limits = (ServiceLimits('desk', 780, 7.1),)
    return RoutingRecord(number, routes, limits, CallerLimits())
