"""Which instances of a zone watch the platform."""

import heapq
from collections.abc import Iterable

import xxhash

from lycheedyke.protocol import InstanceInfo

WATCHERS_PER_ZONE = 2


def watchers_of(instances: Iterable[InstanceInfo]) -> list[InstanceInfo]:
    """Returns the watchers among a zone's live instances, by rendezvous."""
    return heapq.nlargest(WATCHERS_PER_ZONE, instances, key=_weigh)


def _weigh(info: InstanceInfo) -> int:
    return xxhash.xxh3_64_intdigest(f'watch {info.name}'.encode())
