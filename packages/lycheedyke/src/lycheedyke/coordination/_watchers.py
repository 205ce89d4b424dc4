"""Which instances of a zone watch the platform."""

import heapq
from collections.abc import Iterable
from typing import TypeVar

import xxhash

from lycheedyke.protocol import EntryRecord, InstanceInfo

WATCHERS_PER_ZONE = 2

_Instance = TypeVar('_Instance', InstanceInfo, EntryRecord)


def watchers_of(
    instances: Iterable[_Instance],
    count: int = WATCHERS_PER_ZONE,
) -> list[_Instance]:
    """Returns the watchers among a zone's live instances, by rendezvous."""
    return heapq.nlargest(count, instances, key=_weigh)


def _weigh(info: InstanceInfo | EntryRecord) -> int:
    return xxhash.xxh3_64_intdigest(f'watch {info.name}'.encode())
