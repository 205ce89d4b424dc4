"""What the router asks of its instance."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.state import UpstreamState
from lycheedyke.state.fairness import FixedUse, TenantUse


class InstanceStatus(NamedTuple):
    """The status of an instance, and what it does for requests.

    Attributes:
        max_instances: returns the maximum number of instances that share the
            repeat budget.
        is_stopping: returns whether the instance is in a planned stop.
        may_take: returns whether a planned stop leaves the time for a run.
        paused_within: returns how long the process stood still within the
            last time of the given length.
        news_age: returns the age of the last update from the registry.
        wait_permit: waits a moment for the permit that was asked for.
        tenant_use: tells how much of their quotas tenants use.
    """

    max_instances: Callable[[], int]
    is_stopping: Callable[[], bool]
    may_take: Callable[[timedelta], bool]
    paused_within: Callable[[timedelta], timedelta]
    news_age: Callable[[], timedelta]
    wait_permit: Callable[[UpstreamState], Awaitable[None]]
    tenant_use: TenantUse = FixedUse()
