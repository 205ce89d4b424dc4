"""Finds entries of a configuration that are wrong, or that can have no effect.

Instances put a configuration with such entries in force as far as they can
read it, so the time to find them is before it is written.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lycheedyke.protocol import Route, RoutingRecord, Tenant
from lycheedyke.state.tenants import TenantDirectory

ZERO = timedelta()


class Severity(Enum):
    """What a finding means for callers."""

    # An entry is not in force, or another one than its author meant is.
    error = 'error'
    # An entry has no effect.
    unused = 'unused'
    # Two limits can't both have an effect.
    contradiction = 'contradiction'


class Finding(NamedTuple):
    """A problem of one entry.

    Attributes:
        severity: what it means for callers.
        entry: the entry, such as `route 'read'`.
        problem: what is wrong.
    """

    severity: Severity
    entry: str
    problem: str

    def __str__(self) -> str:
        """Returns one line for operators."""
        return f'{self.severity.value}: {self.entry}: {self.problem}'


def find_problems(record: RoutingRecord) -> list[Finding]:
    """Returns the problems of a configuration, errors first."""
    found = [
        *_find_faults(record),
        *_find_repeated_names(record),
        *_find_route_problems(record),
        *_find_service_problems(record),
        *_find_tenant_problems(record),
        *_find_limit_problems(record),
    ]
    order = list(Severity)
    return sorted(found, key=lambda each: order.index(each.severity))


def _find_faults(record: RoutingRecord) -> Iterator[Finding]:
    tenants = TenantDirectory(record.tenants or ())
    for fault in (*record.faults, *tenants.faults):
        name = repr(fault.name) if fault.name else '(no name can be read)'
        entry = f'{fault.kind.value} {name}'
        yield Finding(Severity.error, entry, fault.fault)


def _find_repeated_names(record: RoutingRecord) -> Iterator[Finding]:
    routes = [route.name for route in record.routes]
    services = [service.name for service in record.services]
    for kind, names in ('route', routes), ('service', services):
        for name, count in Counter(names).items():
            if count > 1:
                problem = f'{count} entries have this name'
                yield Finding(Severity.error, f'{kind} {name!r}', problem)


def _find_route_problems(record: RoutingRecord) -> Iterator[Finding]:
    known = {service.name for service in record.services}
    # Of two routes for the same paths, the last one is in force.
    in_force = {(each.host, each.prefix): each for each in record.routes}
    for route in record.routes:
        entry = f'route {route.name!r}'
        winner = in_force[route.host, route.prefix]
        if winner is not route:
            problem = f'route {winner.name!r} has the same host and prefix'
            yield Finding(Severity.unused, entry, f'never matches: {problem}')
        for part in route.parts:
            if part.service not in known:
                problem = f'service {part.service!r} does not exist'
                yield Finding(Severity.error, entry, problem)
            if not part.weight:
                problem = f'service {part.service!r} has weight 0'
                yield Finding(Severity.unused, entry, problem)
        if route.goal > route.timeout:
            problem = (
                f'its goal of {_seconds(route.goal)} is beyond its time-out '
                f'of {_seconds(route.timeout)}'
            )
            yield Finding(Severity.contradiction, entry, problem)
        yield from _find_shared_region_problems(entry, route, record.tenants)


def _find_shared_region_problems(
    entry: str, route: Route, tenants: Iterable[Tenant] | None
) -> Iterator[Finding]:
    """Finds tenants whose requests on a route can run nowhere."""
    if route.public or not route.homes:
        return
    for tenant in tenants or ():
        if tenant.homes and not tenant.homes & route.homes:
            problem = f'shares no home region with tenant {tenant.name!r}'
            yield Finding(Severity.contradiction, entry, problem)


def _find_service_problems(record: RoutingRecord) -> Iterator[Finding]:
    used = {part.service for route in record.routes for part in route.parts}
    for service in record.services:
        entry = f'service {service.name!r}'
        if service.name not in used:
            yield Finding(Severity.unused, entry, 'no route names it')
        if service.cold > ZERO and not service.cold_per_s:
            problem = (
                f'its upstreams are cold for {_seconds(service.cold)}, and get '
                f'no request while they are cold'
            )
            yield Finding(Severity.contradiction, entry, problem)


def _find_tenant_problems(record: RoutingRecord) -> Iterator[Finding]:
    for tenant in record.tenants or ():
        entry = f'tenant {tenant.name!r}'
        if not tenant.key_digests:
            yield Finding(Severity.unused, entry, 'it holds no key')
        if tenant.burst and not tenant.rate:
            problem = f'a burst of {tenant.burst:g}, and no rate to exceed'
            yield Finding(Severity.contradiction, entry, problem)
    is_public = all(route.public for route in record.routes)
    if record.tenants and record.routes and is_public:
        problem = 'all routes are public, so keys decide nothing'
        yield Finding(Severity.unused, 'tenants', problem)


def _find_limit_problems(record: RoutingRecord) -> Iterator[Finding]:
    limits = record.limits
    if limits.header_timeout > limits.idle_timeout:
        problem = (
            f'the header time-out of {_seconds(limits.header_timeout)} is '
            f'beyond the idle time-out of {_seconds(limits.idle_timeout)}'
        )
        yield Finding(Severity.contradiction, 'limits', problem)


def _seconds(duration: timedelta) -> str:
    return f'{duration.total_seconds():g} s'
