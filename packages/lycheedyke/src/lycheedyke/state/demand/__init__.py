"""Demand by zone: measurement, prediction and the shares that follow."""

from lycheedyke.state.demand._arrivals import (
    MAX_SERVICES,
    MEASURED_TIME,
    TENTHS,
    ArrivalCounts,
)
from lycheedyke.state.demand._caller_lists import (
    EntryStrength,
    ZoneOrders,
    caller_class,
    equal_strengths,
    list_by_strength,
    relative_strengths,
)
from lycheedyke.state.demand._forecast import Forecast
from lycheedyke.state.demand._host_demand import HostDemand, Shares, noise_of
from lycheedyke.state.demand._totals import (
    MAX_REPORTERS,
    DemandTotals,
    ZoneReports,
    ZoneTotal,
)
from lycheedyke.state.demand._zone_shares import (
    EVEN_TOLERANCE,
    deviation_of,
    steer_shares,
)

__all__ = (
    'ArrivalCounts',
    'DemandTotals',
    'EVEN_TOLERANCE',
    'EntryStrength',
    'Forecast',
    'HostDemand',
    'MAX_REPORTERS',
    'MAX_SERVICES',
    'MEASURED_TIME',
    'Shares',
    'TENTHS',
    'ZoneOrders',
    'ZoneReports',
    'ZoneTotal',
    'caller_class',
    'deviation_of',
    'equal_strengths',
    'list_by_strength',
    'noise_of',
    'relative_strengths',
    'steer_shares',
)
