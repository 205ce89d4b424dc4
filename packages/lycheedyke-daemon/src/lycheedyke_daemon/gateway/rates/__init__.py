"""Shares the rates of upstreams and tenants with the other instances."""

from lycheedyke_daemon.gateway.rates._limit_exchange import LimitExchange

__all__ = ('LimitExchange',)
