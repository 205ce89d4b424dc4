"""Shares the rates of upstreams and tenants with the other instances."""

from lycheedyke_daemon.gateway.rates._limit_exchange import LimitExchange
from lycheedyke_daemon.gateway.rates._quota_exchange import QuotaExchange
from lycheedyke_daemon.gateway.rates._quota_gate import (
    QuotaGate,
    RunWithinQuota,
    run_freely,
)
from lycheedyke_daemon.gateway.rates._quota_metrics import collect_quotas

__all__ = (
    'LimitExchange',
    'QuotaExchange',
    'QuotaGate',
    'RunWithinQuota',
    'run_freely',
    'collect_quotas',
)
