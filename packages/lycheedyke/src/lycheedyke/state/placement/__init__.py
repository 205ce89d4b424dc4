"""Where the requests for an object run: its home upstreams."""

from lycheedyke.state.placement._pools import (
    MIN_POOL_SIZE,
    Location,
    Pools,
    rendezvous_hash,
)

__all__ = ('MIN_POOL_SIZE', 'Location', 'Pools', 'rendezvous_hash')
