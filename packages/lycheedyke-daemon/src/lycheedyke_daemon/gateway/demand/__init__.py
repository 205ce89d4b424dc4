"""Exchanges the demand of zones with peers, and steers callers by it."""

from lycheedyke_daemon.gateway.demand._exchange import DemandExchange
from lycheedyke_daemon.gateway.demand._steering import DemandSteering

__all__ = ('DemandExchange', 'DemandSteering')
