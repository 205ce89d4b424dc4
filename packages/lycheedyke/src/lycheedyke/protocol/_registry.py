"""What a registry tells: routes, upstreams, evacuations and entries.

A registry is a store outside the system that operators and upstreams write
to. Every record stands under a kind and a name and carries the revision of
its last write, so of two copies the one with the higher revision is newer.
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec


class RouteKind(Enum):
    """What may be done with a request whose outcome is unknown."""

    idempotent = 'idempotent'
    non_idempotent = 'non-idempotent'


class RoutePart(msgspec.Struct, frozen=True, array_like=True):
    """A service and its weight among the parts of a route."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Where requests go that match a host and begin with a prefix.

    Attributes:
        name: the route's name.
        host: the host that callers name.
        prefix: the beginning of the path, with a slash at both ends.
        kind: whether a request may run more than once.
        parts: the services and their weights; never empty.
        timeout: the longest time that a caller is kept waiting.
        goal: the time within which an answer is useful.
        attempts: the most upstreams that one request is sent to.
        priority: the rank of its requests; 0 is the most urgent.
        sticky: whether upstreams answer known objects faster.
        homes: the regions in which it may run; all if empty.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    parts: tuple[RoutePart, ...]
    timeout: timedelta
    goal: timedelta
    attempts: int = 1
    priority: int = 0
    sticky: bool = False
    homes: frozenset[str] = frozenset()


class ServiceLimits(msgspec.Struct, frozen=True, array_like=True):
    """What the upstreams of a service bear.

    Attributes:
        name: the service's name.
        max_connections: the most connections to one upstream.
        cold_per_s: the requests per second that a cold upstream bears.
    """

    name: str
    max_connections: int
    cold_per_s: float


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Bounds on what a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class RoutingRecord(msgspec.Struct, frozen=True, tag='routing'):
    """A numbered configuration in full."""

    number: int
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    limits: CallerLimits


class UpstreamRecord(msgspec.Struct, frozen=True, tag='upstream'):
    """What an upstream says of itself.

    Attributes:
        name: its name; each incarnation mostly has a new one.
        service: the service that it belongs to.
        address: where it listens, `ip:port`.
        zone: its availability zone.
        slots: the requests that it runs at a time.
        leaving: whether it ends soon and is to get no new work.
        cold: how long it stays cold, counted from the writing.
        born: the time of its start, in Unix milliseconds.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold: timedelta
    born: int


class EvacuationRecord(msgspec.Struct, frozen=True, tag='evacuation'):
    """Asks that a zone's upstreams get no work."""

    zone: str


class EntryRecord(msgspec.Struct, frozen=True, tag='entry'):
    """An entry instance as it announces itself.

    Attributes:
        name: the instance's name.
        incarnation: differs at each start of the process.
        zone: its availability zone.
        region: its region.
        caller_address: where callers send requests.
        peer_address: where other entry instances ask for news.
    """

    name: str
    incarnation: str
    zone: str
    region: str
    caller_address: str
    peer_address: str


RegistryRecord = RoutingRecord | UpstreamRecord | EvacuationRecord | EntryRecord


class RegistryItem(msgspec.Struct, frozen=True, array_like=True):
    """A key of the registry at one revision.

    Attributes:
        key: identifies the item.
        revision: the registry's revision at its last change.
        record: its content; None once it is removed or unreadable.
    """

    key: str
    revision: int
    record: RegistryRecord | None = None


class ItemBatch(msgspec.Struct, frozen=True, array_like=True):
    """Items, and the revision up to which they are complete."""

    revision: int
    items: tuple[RegistryItem, ...]


class RegistryUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a peer knows.

    Attributes:
        age_ms: how long ago the registry told it, in milliseconds.
        batch: the items that changed after the revision asked for.
    """

    age_ms: int
    batch: ItemBatch


class Announcement(NamedTuple):
    """The proof that an instance announced itself, for its renewal."""

    key: str
    lease: int


class Registry(Protocol):
    """The registry as the coordination layer uses it.

    All calls raise `PlatformError` where they fail; `changes` raises
    `HistoryLost` where the registry has forgotten the revision asked for.
    """

    async def read_all(self) -> ItemBatch:
        """Returns all items."""

    async def watch(self, after: int, wait: timedelta) -> ItemBatch:
        """Waits for the changes after a revision and returns them.

        Args:
            after: the revision up to which everything is known.
            wait: how long to wait for the first change.
        """

    async def announce(
        self,
        entry: EntryRecord,
        ttl: timedelta,
    ) -> Announcement:
        """Writes the entry's record, which lapses unless it is renewed."""

    async def renew(self, announcement: Announcement) -> None:
        """Renews an announcement.

        Raises:
            LeaseExpired: it has lapsed.
        """

    async def withdraw(self, announcement: Announcement) -> None:
        """Removes an announcement."""

    async def close(self) -> None:
        """Closes the connections."""
