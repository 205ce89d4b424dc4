"""Which entry instance owns an upstream."""

from collections.abc import Iterable

import xxhash

from lycheedyke.protocol import InstanceInfo


def owner_of(
    upstream: str,
    instances: Iterable[InstanceInfo],
) -> InstanceInfo | None:
    """Returns the instance with the highest rendezvous weight, or None.

    Args:
        upstream: the name of the upstream.
        instances: the live instances of the upstream's zone.
    """
    return max(
        instances,
        key=lambda info: _weigh(upstream, info),
        default=None,
    )


def _weigh(upstream: str, info: InstanceInfo) -> int:
    return xxhash.xxh3_64_intdigest(f'{upstream} {info.name}'.encode())
