"""Rates that all instances share: limits of upstreams, quotas of tenants."""

from lycheedyke.state.rates._issuer_ranks import IssuerRanks
from lycheedyke.state.rates._issuer_status import IssuerStatus
from lycheedyke.state.rates._permit_issuer import (
    PermitGrant,
    PermitIssuer,
    PermitRequest,
)
from lycheedyke.state.rates._quota_account import QuotaAccount, QuotaPermit
from lycheedyke.state.rates._quota_issuer import QuotaIssuer
from lycheedyke.state.rates._quota_messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaGrant,
    QuotaQuestion,
)
from lycheedyke.state.rates._quotas import Quota, QuotaBounds
from lycheedyke.state.rates._schedule import HORIZON
from lycheedyke.state.rates._send_limits import (
    MAX_RATE,
    LimitNews,
    LimitNotUnderstood,
    SendLimit,
)
from lycheedyke.state.rates._tenant_use import TenantUse

__all__ = (
    'HORIZON',
    'IssuerRanks',
    'IssuerStatus',
    'LimitNews',
    'LimitNotUnderstood',
    'MAX_RATE',
    'PermitGrant',
    'PermitIssuer',
    'PermitRequest',
    'Quota',
    'QuotaAccount',
    'QuotaAnswer',
    'QuotaAsk',
    'QuotaBounds',
    'QuotaGrant',
    'QuotaIssuer',
    'QuotaPermit',
    'QuotaQuestion',
    'SendLimit',
    'TenantUse',
)
