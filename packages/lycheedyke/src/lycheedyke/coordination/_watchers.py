"""Chooses the instances of a zone that watch the platform."""

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
    """Returns the watchers among a zone's live instances.

    They are the ones of the highest rendezvous weight, so the loss of one
    instance changes no other watcher.
    """
    return heapq.nlargest(count, instances, key=_weigh)


def _weigh(info: InstanceInfo | EntryRecord) -> int:
    return xxhash.xxh3_64_intdigest(f'watch {info.name}'.encode())
