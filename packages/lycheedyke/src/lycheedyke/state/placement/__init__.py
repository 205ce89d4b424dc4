"""Where the requests for an object run: its home upstreams."""

from lycheedyke.state.placement._placement import Placement
from lycheedyke.state.placement._pools import (
    MIN_POOL_SIZE,
    Location,
    Pools,
)
from lycheedyke.state.placement._ranking import rendezvous_hash

__all__ = (
    'MIN_POOL_SIZE',
    'Location',
    'Placement',
    'Pools',
    'rendezvous_hash',
)
