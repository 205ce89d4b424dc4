"""Rates that all instances share: limits of upstreams, quotas of tenants."""

from lycheedyke.state.rates._permit_issuer import (
    PermitGrant,
    PermitIssuer,
    PermitRequest,
)
from lycheedyke.state.rates._send_limits import (
    MAX_RATE,
    LimitNews,
    LimitNotUnderstood,
    SendLimit,
)

__all__ = (
    'LimitNews',
    'LimitNotUnderstood',
    'MAX_RATE',
    'PermitGrant',
    'PermitIssuer',
    'PermitRequest',
    'SendLimit',
)
