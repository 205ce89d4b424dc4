"""The homes of tenants in look-ups."""

from collections.abc import Sequence

from lycheedyke.state import HostHomes, RouteTable

ANYWHERE: frozenset[str] = frozenset()


def homes_of_tenant(
    table: RouteTable | None, authorizations: Sequence[str]
) -> frozenset[str]:
    """Returns the homes of the tenant whose key a look-up carries.

    Returns:
        None at all if the tenant is not known or not restricted.
    """
    if not authorizations or table is None or table.tenants is None:
        return ANYWHERE
    tenant = table.tenants.identify(authorizations)
    return ANYWHERE if tenant is None else frozenset(tenant.homes)


def restrict_homes(
    homes: HostHomes | None, of_tenant: frozenset[str]
) -> HostHomes | None:
    """Returns the regions that suit a tenant as well as the routes of a host.

    Args:
        homes: the homes of the routes; None if they are not restricted.
        of_tenant: the homes of the tenant; empty if it is not restricted.
    """
    if not of_tenant:
        return homes
    if homes is None:
        return HostHomes(of_tenant, of_tenant)
    return HostHomes(
        homes.of_all & of_tenant, homes.of_any & of_tenant or of_tenant
    )


def known_homes(table: RouteTable | None) -> frozenset[frozenset[str]]:
    """Returns the homes that look-ups may be restricted to."""
    if table is None or table.tenants is None:
        return frozenset((ANYWHERE,))
    return frozenset(
        (ANYWHERE, *(frozenset(each.homes) for each in table.tenants.all()))
    )
