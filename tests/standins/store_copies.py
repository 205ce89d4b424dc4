"""Copies of the registry store, from which it can come back."""

import asyncio
from collections import deque
from typing import NamedTuple

MAX_COPIES = 1_000


class StoreItem(NamedTuple):
    """A value, or a removal, with its revision and lease.

    Attributes:
        value: the value; None if the key was removed.
        revision: the revision of the write.
        lease: the lease of the key; 0 for none.
        created: the revision at which the key was created.
    """

    value: bytes | None
    revision: int
    lease: int
    created: int = 0


class StoreCopy(NamedTuple):
    """The content of the store at one time."""

    taken: float
    revision: int
    items: dict[str, StoreItem]
    leases: frozenset[int]
    next_lease: int


class StoreCopies:
    """The last copies, one after each change."""

    def __init__(self) -> None:
        """Starts without copies."""
        self._copies: deque[StoreCopy] = deque(maxlen=MAX_COPIES)

    def keep(self, copy: StoreCopy) -> None:
        """Keeps a copy of now."""
        self._copies.append(copy)

    def find(self, age_s: float) -> StoreCopy:
        """Returns the copy of a time ago, or the first one."""
        end = asyncio.get_running_loop().time() - age_s
        older = [copy for copy in self._copies if copy.taken <= end]
        return older[-1] if older else self._copies[0]

    def drop_after(self, copy: StoreCopy) -> None:
        """Drops the copies of changes that the store has lost."""
        while self._copies[-1] is not copy:
            self._copies.pop()
