"""Parts of the answers to look-ups."""

from lycheedyke_daemon.gateway.lookups._caller_shares import (
    CallerShares,
    step_after,
)

__all__ = ('CallerShares', 'step_after')
