"""The instances that issue the permits of each tenant, in order."""

import functools
import heapq
from collections import OrderedDict
from collections.abc import Iterable
from datetime import timedelta

import xxhash

from lycheedyke.protocol import EntryRecord
from lycheedyke.state._bounded import keep_recent

# Issuers that an instance asks for one tenant, in turn.
MAX_ASKED = 3
MAX_TENANTS = 2048
# Issuers have at least this share of the greatest capacity.
CANDIDATE_SHARE = 0.5
# An instance that announces itself counts for so long before it is listed.
ANNOUNCEMENT_LIFE = timedelta(seconds=4)


class IssuerRanks:
    """Ranks the instances that may issue the permits of a tenant.

    Only instances with at least half of the greatest capacity are candidates.
    Where no capacity is known, all are.
    """

    def __init__(self) -> None:
        """Initializes without instances."""
        self._listed: list[EntryRecord] = []
        self._announced: dict[EntryRecord, timedelta] = {}
        self._ended: frozenset[str] = frozenset()
        self._candidates: tuple[EntryRecord, ...] = ()
        self._known: frozenset[EntryRecord] = frozenset()
        self._ranks: OrderedDict[str, tuple[EntryRecord, ...]] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of candidates."""
        return f'<IssuerRanks of {len(self._candidates)} candidates>'

    @property
    def candidates(self) -> tuple[EntryRecord, ...]:
        """The instances that may be issuers."""
        return self._candidates

    @property
    def ended(self) -> frozenset[str]:
        """The incarnations of listed instances whose process has ended."""
        return self._ended

    def refresh(self, listed: Iterable[EntryRecord], now: timedelta) -> None:
        """Applies the instances that are listed now."""
        entries = list(listed)
        if entries == self._listed and not self._announced:
            return
        self._listed = entries
        self._announced = {
            entry: until
            for entry, until in self._announced.items()
            if now < until and entry not in self._listed
        }
        self._update()

    def announce(self, entry: EntryRecord, now: timedelta) -> None:
        """Adds an instance that has told of itself before it was listed."""
        self._announced[entry] = now + ANNOUNCEMENT_LIFE
        self._update()

    def mark_ended(self, incarnations: Iterable[str]) -> frozenset[str]:
        """Excludes processes that have ended; returns those that are new."""
        known = {entry.incarnation for entry in self._known}
        added = known.intersection(incarnations) - self._ended
        if added:
            self._ended |= added
            self._update()
        return frozenset(added)

    def find(self, tenant: str) -> tuple[EntryRecord, ...]:
        """Returns the first issuers of a tenant, in the order to ask."""
        ranks = self._ranks.get(tenant)
        if ranks is None:
            ranks = tuple(
                heapq.nsmallest(
                    MAX_ASKED,
                    self._candidates,
                    key=functools.partial(_rank, tenant),
                )
            )
        return keep_recent(self._ranks, tenant, ranks, MAX_TENANTS)

    def _update(self) -> None:
        by_name = {entry.name: entry for entry in self._listed}
        # An announcement is newer than the record of an earlier process.
        by_name.update((entry.name, entry) for entry in self._announced)
        known = frozenset(by_name.values())
        running = tuple(
            entry for entry in known if entry.incarnation not in self._ended
        )
        greatest = max((entry.capacity for entry in running), default=0)
        candidates = tuple(
            entry
            for entry in running
            if entry.capacity >= greatest * CANDIDATE_SHARE
        )
        self._known = known
        self._ended &= {entry.incarnation for entry in known}
        if frozenset(candidates) != frozenset(self._candidates):
            self._candidates = candidates
            self._ranks.clear()


def _rank(tenant: str, issuer: EntryRecord) -> tuple[int, str]:
    """Returns the sort key of an issuer for a tenant."""
    text = f'quota {tenant} {issuer.name}'
    return xxhash.xxh3_64_intdigest(text.encode()), issuer.name
