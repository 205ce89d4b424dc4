"""How far the tenants use their quotas."""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.state._bounded import keep_recent

MAX_TENANTS = 2048
MAX_AGE = timedelta(seconds=3)


class _Use(NamedTuple):
    share: float
    as_of: timedelta


class TenantUse:
    """The utilisation of the quotas, as issuers report it.

    Args:
        clock: the time source.
    """

    def __init__(self, clock: Clock) -> None:
        """Initializes without reports."""
        self._clock = clock
        self._uses: OrderedDict[str, _Use] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of tenants."""
        return f'<TenantUse of {len(self._uses)} tenants>'

    def use(self, name: str) -> float | None:
        """Returns the requests of all instances over a tenant's quota.

        Returns:
            None if it is not known, or not reported within `MAX_AGE`.
        """
        known = self._uses.get(name)
        if known is None or self._clock.elapsed() - known.as_of > MAX_AGE:
            return None
        return known.share

    def record(self, name: str, share: float) -> None:
        """Records what an issuer reports.

        Args:
            name: the name of the tenant.
            share: the requests of all instances over its quota.
        """
        use = _Use(share, self._clock.elapsed())
        keep_recent(self._uses, name, use, MAX_TENANTS)

    def names(self) -> tuple[str, ...]:
        """Returns the tenants that were reported."""
        return tuple(self._uses)
