"""The records of a registry: routes, upstreams, evacuations and entries.

A registry is a store outside the system that operators and upstreams write
to. The key of a record consists of its kind and its name. Each record has the
revision of its last write, so of two copies the one with the higher revision
is newer. A registry that comes back from an older copy has lost writes and
gives revisions out again; it says so by a higher generation.
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple

import msgspec

from lycheedyke.protocol._configuration_notice import ConfigurationNotice
from lycheedyke.protocol._suspect_record import SuspectRecord


class RouteKind(Enum):
    """Whether a request with an unknown outcome may be sent again."""

    idempotent = 'idempotent'
    non_idempotent = 'non-idempotent'


class RoutePart(msgspec.Struct, frozen=True, array_like=True):
    """A service of a route, and its weight relative to the other services."""

    service: str
    weight: int | float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """The services for requests with a certain host and path prefix.

    Attributes:
        name: the route's name.
        host: the host in the request.
        prefix: the prefix of the path, with a slash at both ends.
        kind: whether a request may run more than once.
        parts: the services and their weights; never empty.
        timeout: the longest time that a caller waits for the response.
        goal: the time within which a response is useful to the caller.
        attempts: the maximum number of upstreams that one request is sent to.
        priority: the priority of the requests; 0 is the most urgent.
        sticky: whether an upstream answers faster for an object that it has
            served before.
        homes: the regions in which the requests may run; all if empty.
        public: whether callers need no key, in a configuration with tenants.
        streamed: whether large responses are passed on while they arrive.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    parts: tuple[RoutePart, ...]
    timeout: timedelta
    goal: timedelta
    attempts: int = 1
    priority: int | float = 0
    sticky: bool = False
    homes: frozenset[str] = frozenset()
    public: bool = False
    streamed: bool = False


class Tenant(msgspec.Struct, frozen=True, array_like=True):
    """A group of callers that is identified by keys.

    Attributes:
        name: the tenant's name.
        key_digests: the digests of its keys, by `digest_key`.
        priority: the priority of its requests instead of that of their
            route; None to use the route's.
        rate: its quota in requests per second; 0 without a quota.
        burst: the requests beyond the rate that it may send at once.
        homes: the regions in which its requests may run; all if empty.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | float | None = None
    rate: float = 0
    burst: float = 0
    homes: frozenset[str] = frozenset()


class EntryKind(Enum):
    """The kinds of entries of a configuration."""

    route = 'route'
    service = 'service'
    tenant = 'tenant'
    limits = 'limits'


class EntryFault(msgspec.Struct, frozen=True, array_like=True):
    """What is wrong with an entry of a configuration.

    Attributes:
        kind: the kind of the entry.
        name: its name; '' if that can't be read either.
        fault: what is wrong with it. It quotes no key of a tenant.
        in_force: whether the entry is in force all the same, with the value
            that the fault names.
        host: the host of a route that is not in force, if known.
        prefix: the path prefix of such a route, if known.
    """

    kind: EntryKind
    name: str
    fault: str
    in_force: bool = False
    host: str = ''
    prefix: str = ''


class ServiceLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on the load of each upstream of a service.

    Attributes:
        name: the service's name.
        max_connections: the maximum number of connections to one upstream.
        cold_per_s: the requests per second that a cold upstream can handle.
        cold: how long an upstream is cold after its start.
    """

    name: str
    max_connections: int
    cold_per_s: float
    cold: timedelta = timedelta()


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on the size of a request and the time to receive it."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class RoutingRecord(msgspec.Struct, frozen=True, tag='routing'):
    """A complete, numbered configuration.

    Attributes:
        number: its number; a higher one replaces it.
        routes: the routes.
        services: the limits of the services.
        limits: the limits of callers' requests.
        tenants: the tenants; None if callers need no key.
        faults: the entries that can't be read, or only in part. All others
            are in force.
    """

    number: int
    routes: tuple[Route, ...]
    services: tuple[ServiceLimits, ...]
    limits: CallerLimits
    tenants: tuple[Tenant, ...] | None = None
    faults: tuple[EntryFault, ...] = ()


class UpstreamRecord(msgspec.Struct, frozen=True, tag='upstream'):
    """An upstream as it registers itself.

    Attributes:
        name: its name; usually a new one at each start of the upstream.
        service: the service that it belongs to.
        address: where it listens, `ip:port`.
        zone: its availability zone.
        slots: the number of requests that it can run at the same time.
        leaving: whether it stops soon and must not get new requests.
        cold: how long it stays cold after the record was written.
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

    @property
    def incarnation(self) -> str:
        """The name of this run of the upstream; it may reuse its `name`."""
        return f'{self.name}@{self.born}'


class EvacuationRecord(msgspec.Struct, frozen=True, tag='evacuation'):
    """The operators' instruction to send nothing to the upstreams of a zone."""

    zone: str


class EntryRecord(msgspec.Struct, frozen=True, tag='entry'):
    """An entry instance as it announces itself.

    Attributes:
        name: the instance's name.
        incarnation: the id of this run of the process; new at every start.
        zone: its availability zone.
        region: its region.
        caller_address: where callers send requests.
        peer_address: where other entry instances request updates.
        capacity: the processor time that it has, in cores; 0 if not known, as
            from earlier releases.
        link_mbps: the bandwidth of its link; 0 if not known.
    """

    name: str
    incarnation: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    capacity: float = 0
    link_mbps: float = 0


class QuarantineRecord(msgspec.Struct, frozen=True, tag='quarantine'):
    """A request that crashes upstreams and that no instance may run.

    Attributes:
        fingerprint: the digest that equal requests of one caller share, in hex.
    """

    fingerprint: str


RegistryRecord = (
    RoutingRecord
    | UpstreamRecord
    | EvacuationRecord
    | EntryRecord
    | QuarantineRecord
    | SuspectRecord
)


class RegistryItem(msgspec.Struct, frozen=True, array_like=True):
    """The record of one registry key at one revision.

    Attributes:
        key: identifies the item.
        revision: the registry's revision at its last change.
        record: the content; None if it was removed or cannot be decoded.
        created: the revision at which the key was created; 0 if it was
            removed, and from earlier releases.
    """

    key: str
    revision: int
    record: RegistryRecord | None = None
    created: int = 0


class Position(NamedTuple):
    """A point in the history of a registry; later ones are greater.

    Attributes:
        generation: how often the registry came back from an older copy.
        revision: the revision within the generation.
    """

    generation: int
    revision: int


class ItemBatch(msgspec.Struct, frozen=True, array_like=True):
    """Items, and the registry revision up to which they are complete.

    Attributes:
        revision: the revision.
        items: the items; all of them where the receiver knows an earlier
            generation.
        generation: the generation of all these revisions.
    """

    revision: int
    items: tuple[RegistryItem, ...]
    generation: int = 0

    @property
    def position(self) -> Position:
        """The generation and the revision."""
        return Position(self.generation, self.revision)


class RegistryUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Registry items that one instance sends to another.

    Attributes:
        age_ms: the time since the items were received from the registry, in
            milliseconds.
        batch: the items that changed after the requested revision.
        held: the configuration in force, while the registry has lost it.
        deferral_ms: how much longer the sender defers the removal of records
            that may have lapsed in an outage, in milliseconds; 0 also from
            earlier releases.
        silence_ms: the time since the registry is known to have answered any
            instance, in milliseconds, or longer; None from earlier releases.
        deferral_token: the identity of the notice of an outage that the
            deferral follows; '' from earlier releases.
        steady_ms: how long the registry is known to have answered in this
            generation without an outage, in milliseconds; None from earlier
            releases.
        configurations: the configurations that changed after the requested
            revision, or are held, for receivers that ask for their contents
            apart.
    """

    age_ms: int
    batch: ItemBatch
    held: tuple[RegistryItem, ...] = ()
    deferral_ms: int = 0
    silence_ms: int | None = None
    deferral_token: str = ''
    steady_ms: int | None = None
    configurations: tuple[ConfigurationNotice, ...] = ()
