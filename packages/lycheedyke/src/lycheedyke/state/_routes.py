"""Finds the route of a request."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from lycheedyke.protocol import EntryKind, Route, RoutingRecord, Tenant
from lycheedyke.state.tenants import TenantDirectory


class HostHomes(NamedTuple):
    """The home regions of the restricted routes of a host.

    Attributes:
        of_all: the regions in which all of these routes may run; empty if they
            share none.
        of_any: the regions in which at least one of them may run.
    """

    of_all: frozenset[str]
    of_any: frozenset[str]


class RouteTable:
    """The routes of one numbered configuration.

    Args:
        record: the configuration.
    """

    def __init__(self, record: RoutingRecord) -> None:
        """Indexes the routes by host and prefix."""
        self.number = record.number
        self.limits = record.limits
        self.services = {terms.name: terms for terms in record.services}
        self.routes = record.routes
        self.tenants = (
            None if record.tenants is None else TenantDirectory(record.tenants)
        )
        self._by_host = _by_host(record.routes)
        self._unreadable = {
            (fault.host, fault.prefix)
            for fault in record.faults
            if fault.kind is EntryKind.route and not fault.in_force
        }
        for host, prefix in self._unreadable:
            # Its requests must not match a shorter prefix.
            self._by_host.get(host, {}).pop(prefix, None)
        self._priorities = _priorities(record.routes, record.tenants)

    def __repr__(self) -> str:
        """Returns the configuration number and the number of routes."""
        return f'<RouteTable {self.number} with {len(self.routes)} routes>'

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix of the path.

        Args:
            host: the requested host, without a port.
            path: the path, without a query.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            prefix = path[: end + 1]
            route = prefixes.get(prefix)
            if route is not None:
                return route
            if self._unreadable and (host, prefix) in self._unreadable:
                return None
            end = path.rfind('/', 0, end)
        return None

    def is_unreadable(self, host: str, path: str) -> bool:
        """Returns whether the route of a path exists but can't be read.

        Args:
            host: the requested host, without a port.
            path: the path, without a query, for which `find` has no route.
        """
        return any(
            host == known and path.startswith(prefix)
            for known, prefix in self._unreadable
        )

    def rank(
        self, route: Route, service: str, tenant: Tenant | None = None
    ) -> int:
        """Returns the number of more urgent priorities of a service."""
        own = priority_of(route, tenant)
        priorities = self._priorities.get(service, ())
        return sum(1 for each in priorities if each < own)

    def urgency_of(self, route: Route, tenant: Tenant | None) -> float | None:
        """Returns the priority of a request; None without tenants."""
        return None if self.tenants is None else priority_of(route, tenant)

    def has_host(self, host: str) -> bool:
        """Returns whether any route has this host."""
        return host in self._by_host

    def services_of(self, host: str) -> frozenset[str]:
        """Returns the services of all routes of a host."""
        return frozenset(
            part.service
            for route in self._by_host.get(host, {}).values()
            for part in route.parts
        )

    def homes_of(
        self, host: str, is_in_use: Callable[[Route], bool]
    ) -> HostHomes | None:
        """Returns the regions in which the routes of a host may run.

        Where restricted routes share no region, and others of the host are not
        restricted, only those in use count: a route that nobody uses would
        keep the callers of all others in their own region.

        Args:
            host: the requested host, without a port.
            is_in_use: returns whether callers use a restricted route.

        Returns:
            None if none of the routes is restricted.
        """
        routes = self._by_host.get(host, {}).values()
        bound = [route for route in routes if route.homes]
        if bound and len(bound) < len(routes) and not _shared_homes(bound):
            bound = [route for route in bound if is_in_use(route)]
        if not bound:
            return None
        return HostHomes(
            _shared_homes(bound),
            frozenset.union(*(route.homes for route in bound)),
        )


def _shared_homes(routes: Iterable[Route]) -> frozenset[str]:
    return frozenset.intersection(*(route.homes for route in routes))


def _by_host(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    found: defaultdict[str, dict[str, Route]] = defaultdict(dict)
    for route in routes:
        found[route.host][route.prefix] = route
    return dict(found)


def priority_of(route: Route, tenant: Tenant | None) -> float:
    """Returns the priority of a request; the tenant's replaces the route's."""
    if tenant is None or tenant.priority is None:
        return route.priority
    return tenant.priority


def _priorities(
    routes: Iterable[Route], tenants: Iterable[Tenant] | None
) -> dict[str, frozenset[float]]:
    named = {each.priority for each in tenants or ()}
    of_tenants = {each for each in named if each is not None}
    found: defaultdict[str, set[float]] = defaultdict(set)
    for route in routes:
        priorities: set[float] = set()
        if route.public or tenants is None or None in named:
            priorities.add(route.priority)
        if not route.public:
            priorities |= of_tenants
        for part in route.parts:
            found[part.service] |= priorities
    return {service: frozenset(each) for service, each in found.items()}
