"""How much of its share of a service each tenant uses."""

import math
import statistics
from collections import OrderedDict
from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import Protocol

from lycheedyke.protocol import Tenant
from lycheedyke.state._bounded import keep_recent
from lycheedyke.state.fairness._decay import DecayingSums

NO_USES: Mapping[str, float] = MappingProxyType({})
MAX_TENANTS = 256
# The time constant of the number of requests of a tenant at this instance.
USE_TIME = timedelta(seconds=3)
# A tenant exceeds its share if its use is this many times the median of others.
# The use varies by chance: in the model, a fifth at 11 requests a second.
EXCESS_FACTOR = 1.5
# The use is a mean over some seconds, so it is too low when a tenant begins to
# exceed its share. What it got until then is made up for by a lower part later.
EXCESS_EXPONENT = 1.5
# A few requests say little: a local count must exceed the share by this many
# standard deviations as well. Without this, chance alone made tenants exceed
# their share, and in the model of a usual load a fifth was refused.
NOISE_DEVIATIONS = 2.0


class TenantUse(Protocol):
    """Tells how much of its quota a tenant uses, over all instances."""

    def use(self, name: str) -> float | None:
        """Returns the requested rate over the quota's, or None if unknown.

        Args:
            name: the name of the tenant.
        """
        ...


class FixedUse:
    """Tells figures that do not change; without any, no use is known.

    Args:
        uses: the use of the quota of some tenants, by name.
    """

    def __init__(self, uses: Mapping[str, float] = NO_USES) -> None:
        """Sets the figures."""
        self._uses = uses

    def __repr__(self) -> str:
        """Returns the figures."""
        return f'<FixedUse {self._uses!r}>'

    def use(self, name: str) -> float | None:
        """Returns the use of a tenant's quota, or None if it is not known."""
        return self._uses.get(name)


class TenantShares:
    """Compares the use of each tenant with that of the others of a service.

    The use of quotas is compared where it is known. Otherwise the numbers of
    requests are compared that each tenant has lately sent to this instance,
    in proportion to the quotas.

    Args:
        tenant_use: tells the use of quotas.
    """

    def __init__(self, tenant_use: TenantUse) -> None:
        """Initializes without requests."""
        self._tenant_use = tenant_use
        self._asked = DecayingSums(USE_TIME, MAX_TENANTS)
        self._quotas: OrderedDict[str, float] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the numbers of requests."""
        return f'<TenantShares {self._asked!r}>'

    def record(self, tenant: Tenant, now: timedelta) -> None:
        """Records a request of a tenant."""
        self._asked.add(tenant.name, 1, now)
        keep_recent(self._quotas, tenant.name, tenant.rate, MAX_TENANTS)

    def fair_part(self, tenant: Tenant, now: timedelta) -> float:
        """Returns the part of its requests that is within a tenant's share.

        Args:
            tenant: the tenant.
            now: the time of the clock.

        Returns:
            1 unless the tenant uses more than the others.
        """
        asked = self._asked.all_at(now)
        if self._tenant_use.use(tenant.name) is None:
            unit = tenant.rate or 1
            own = asked.get(tenant.name, 0)
            noise = NOISE_DEVIATIONS * math.sqrt(own) / unit
            return _fair_part(tenant.name, self._compare(tenant, asked), noise)
        known = {each: self._tenant_use.use(each) for each in asked}
        uses = {each: use for each, use in known.items() if use is not None}
        return _fair_part(tenant.name, uses, 0)

    def _compare(
        self, tenant: Tenant, asked: Mapping[str, float]
    ) -> dict[str, float]:
        """Returns the requests for each unit of quota.

        Tenants without a quota are compared only with each other.
        """
        uses: dict[str, float] = {}
        for name, quota in self._quotas.items():
            if bool(quota) == bool(tenant.rate):
                uses[name] = asked[name] / (quota or 1)
        return uses


def _fair_part(name: str, uses: Mapping[str, float], noise: float) -> float:
    own = uses.get(name, 0)
    others = [use for each, use in uses.items() if each != name]
    if not others or own <= 0:
        return 1
    share = statistics.median(others)
    if own <= EXCESS_FACTOR * share + noise:
        return 1
    return math.pow(share / own, EXCESS_EXPONENT)
