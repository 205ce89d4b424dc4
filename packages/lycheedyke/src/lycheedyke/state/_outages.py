"""Which upstreams of a service stay in use while some of them fail."""

from collections.abc import Iterable

from lycheedyke.protocol import UpstreamLoad

LEAST_IN_USE = 3
# One in so many upstreams stays in use, failing or not.


def keep_in_use(loads: Iterable[UpstreamLoad]) -> list[UpstreamLoad]:
    """Returns the usable upstreams, and at least a third of all.

    Failing upstreams fill up the third in the order of their names, so that
    all instances choose the same ones.
    """
    ranked = sorted(loads, key=lambda load: (not load.usable, load.upstream))
    usable = sum(load.usable for load in ranked)
    least = -(-len(ranked) // LEAST_IN_USE)
    return ranked[: max(usable, least)]
