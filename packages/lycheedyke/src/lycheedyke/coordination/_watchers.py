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


def rank_by_link(entries: Iterable[EntryRecord]) -> list[EntryRecord]:
    """Returns entry instances in the order in which they serve the others.

    Those with the most room on their links come first: what all need passes
    them. Among equal links the loss of one instance moves no other.
    """
    return sorted(entries, key=_weigh_link, reverse=True)


def first_by_link(entries: Iterable[EntryRecord]) -> EntryRecord | None:
    """Returns the first one of `rank_by_link`, if there is any."""
    return max(entries, key=_weigh_link, default=None)


def _weigh_link(entry: EntryRecord) -> tuple[float, int]:
    return entry.link_mbps, _weigh(entry)


def _weigh(info: InstanceInfo | EntryRecord) -> int:
    return xxhash.xxh3_64_intdigest(f'watch {info.name}'.encode())
