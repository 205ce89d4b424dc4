"""How much of its share of a service each tenant uses."""

import math
import statistics
from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import Protocol

from lycheedyke.state.fairness._decay import DecayingSums

NO_USES: Mapping[str, float] = MappingProxyType({})
MAX_TENANTS = 256
# The time constant of the number of requests of a tenant at this instance.
USE_TIME = timedelta(seconds=3)
# A tenant exceeds its share if its use is this many times the median of others.
EXCESS_FACTOR = 1.25
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
    requests are compared that each tenant has lately sent to this instance.

    Args:
        tenant_use: tells the use of quotas.
    """

    def __init__(self, tenant_use: TenantUse) -> None:
        """Initializes without requests."""
        self._tenant_use = tenant_use
        self._asked = DecayingSums(USE_TIME, MAX_TENANTS)

    def __repr__(self) -> str:
        """Returns the numbers of requests."""
        return f'<TenantShares {self._asked!r}>'

    def record(self, name: str, now: timedelta) -> None:
        """Records a request of a tenant."""
        self._asked.add(name, 1, now)

    def fair_part(self, name: str, now: timedelta) -> float:
        """Returns the part of its requests that is within a tenant's share.

        Args:
            name: the name of the tenant.
            now: the time of the clock.

        Returns:
            1 unless the tenant uses more than the others.
        """
        asked = self._asked.all_at(now)
        known = {each: self._tenant_use.use(each) for each in asked}
        if known.get(name) is not None:
            uses = {each: use for each, use in known.items() if use is not None}
            noise: float = 0
        else:
            uses = asked
            noise = NOISE_DEVIATIONS * math.sqrt(asked.get(name, 0))
        own = uses.pop(name, 0)
        if not uses or own <= 0:
            return 1
        share = EXCESS_FACTOR * statistics.median(uses.values()) + noise
        return min(1.0, share / own)
