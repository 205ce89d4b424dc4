"""Who receives a configuration from whom.

The instances of a zone form a tree with its watcher at the root, and the
watchers of all zones form one with the head at the root. So no instance sends
more copies than its link can bear, however many instances there are.
"""

from collections.abc import Sequence
from itertools import islice

from lycheedyke.protocol import EntryRecord

MIN_COPIES = 2
MAX_COPIES = 16
# The part of a link that one copy is meant to have, in Mbit/s.
LINK_OF_COPY_MBPS = 10


def ancestors_of(name: str, ranked: Sequence[EntryRecord]) -> list[EntryRecord]:
    """Returns the parent of an instance, its parent, and so on to the root.

    Args:
        name: the name of the instance.
        ranked: all instances of the tree; the first one is the root.
    """
    parents: dict[str, EntryRecord] = {}
    following = iter(ranked[1:])
    for parent in ranked:
        for child in islice(following, _copies_of(parent)):
            parents[child.name] = parent
    found = []
    while name in parents:
        found.append(parents[name])
        name = parents[name].name
    return found


def _copies_of(parent: EntryRecord) -> int:
    """Returns how many copies an instance sends."""
    share = int(parent.link_mbps // LINK_OF_COPY_MBPS)
    return min(MAX_COPIES, max(MIN_COPIES, share))
