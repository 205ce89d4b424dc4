"""Allocates the slots of a service between callers that compete for them."""

from lycheedyke.state.fairness._allocation import SlotAllocation
from lycheedyke.state.fairness._tenant_use import FixedUse, TenantUse

__all__ = ('SlotAllocation', 'TenantUse', 'FixedUse')
