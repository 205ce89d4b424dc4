"""Selects the upstreams that stay in use while some of them fail."""

from collections.abc import Iterable

from lycheedyke.protocol import UpstreamLoad

# At least one in this many upstreams stays in use, even if it fails.
MIN_IN_USE_DIVISOR = 3


def keep_in_use(loads: Iterable[UpstreamLoad]) -> list[UpstreamLoad]:
    """Returns the usable upstreams, but at least a third of all upstreams.

    If fewer are usable, failing upstreams are added in the order of their
    names, so that all instances choose the same ones.
    """
    ranked = sorted(loads, key=lambda load: (not load.usable, load.upstream))
    usable = sum(load.usable for load in ranked)
    min_in_use = -(-len(ranked) // MIN_IN_USE_DIVISOR)
    return ranked[: max(usable, min_in_use)]
