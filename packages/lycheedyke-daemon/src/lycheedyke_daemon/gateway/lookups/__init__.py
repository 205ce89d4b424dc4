"""Parts of the answers to look-ups."""

from lycheedyke_daemon.gateway.lookups._caller_shares import (
    CallerShares,
    step_after,
)
from lycheedyke_daemon.gateway.lookups._entry_orders import (
    Callers,
    EntryOrders,
    ListPlan,
)
from lycheedyke_daemon.gateway.lookups._homes import (
    ANYWHERE,
    homes_of_tenant,
    known_homes,
    restrict_homes,
)
from lycheedyke_daemon.gateway.lookups._host_slots import (
    HostSlots,
    ZoneShares,
    count_slots,
)

__all__ = (
    'ANYWHERE',
    'CallerShares',
    'Callers',
    'EntryOrders',
    'HostSlots',
    'ListPlan',
    'ZoneShares',
    'count_slots',
    'homes_of_tenant',
    'known_homes',
    'restrict_homes',
    'step_after',
)
