"""Tickets: the documents with which operators change the configuration."""

import hashlib
from datetime import UTC, datetime
from enum import Enum
from typing import Annotated

import msgspec

from lycheedyke.exceptions import DocumentMalformed, DocumentTooNew
from lycheedyke.protocol._schema import find_schema_faults

SCHEMA_VERSION = 1
CREATED_UNSET = datetime(1970, 1, 1, tzinfo=UTC)
DIGEST_BYTES = 8
MAX_TICKET_BYTES = 1_000_000
_Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
_Address = Annotated[
    str,
    msgspec.Meta(pattern=r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$'),
]


class WorkClass(Enum):
    """Classes of requests, the most urgent first."""

    interactive = 'interactive'
    deferred = 'deferred'
    batch = 'batch'


class Phase(Enum):
    """Whether an upstream gets new requests."""

    serving = 'serving'
    leaving = 'leaving'


class _Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of all parts of a ticket; rejects unknown fields."""


class Zone(_Document, frozen=True):
    """An availability zone."""

    region: _Name


class Service(_Document, frozen=True):
    """A service of a customer.

    Attributes:
        customer: the customer that the service belongs to.
        read_class: the class of idempotent requests.
        write_class: the class of non-idempotent requests.
        run_limit_ms: the longest time that a request may run, in ms.
        max_body_bytes: the largest request or response body, in bytes.
        queue_limit: the maximum number of requests that wait for one
            upstream.
        retry_share: the allowed retries, as a share of first attempts.
        answer_ttl_ms: how long callers may cache a look-up response, in ms.
    """

    customer: _Name
    read_class: WorkClass = WorkClass.interactive
    write_class: WorkClass = WorkClass.deferred
    run_limit_ms: _Milliseconds = 1000
    max_body_bytes: _Count = 262_144
    queue_limit: _Count = 16
    retry_share: _Share = 0.1
    answer_ttl_ms: _Milliseconds = 2000


class Upstream(_Document, frozen=True):
    """One back end of a service, in one zone."""

    service: _Name
    zone: _Name
    address: _Address
    slots: _Count
    phase: Phase = Phase.serving


class Shift(_Document, frozen=True):
    """A limited shift of a service's traffic between two regions.

    Attributes:
        service: the service whose traffic moves.
        source: the region from which it moves.
        destination: the region to which it moves.
        cap: the largest share of client blocks moved, 0 to 1.
        ramp_per_s: the fastest increase of the share, per second.
        start_share: the share that was in force when the ticket was
            accepted.
        failover: whether traffic moves only while the source region is not
            serving.
    """

    service: _Name
    source: _Name
    destination: _Name
    cap: _Share
    ramp_per_s: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.01
    start_share: _Share = 0
    failover: bool = False


class Block(_Document, frozen=True):
    """A block of client addresses and its home region."""

    home: _Name


class Ticket(_Document, frozen=True):
    """The complete new state of each object that the ticket changes.

    A value of None removes the object.

    Attributes:
        author: the unique id that the operator gave this ticket.
        based_on: the number of the newest ticket known to the author.
        created: when the ticket was accepted; the entry instance sets it.
        allow_last: permits the removal of the last serving upstream.
        version: the version of the schema.
    """

    author: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    based_on: Annotated[int, msgspec.Meta(ge=0)]
    created: Annotated[datetime, msgspec.Meta(tz=True)] = CREATED_UNSET
    note: Annotated[str, msgspec.Meta(max_length=1000)] = ''
    allow_last: bool = False
    zones: dict[_Name, Zone | None] = {}
    services: dict[_Name, Service | None] = {}
    upstreams: dict[_Name, Upstream | None] = {}
    shifts: dict[_Name, Shift | None] = {}
    blocks: dict[str, Block | None] = {}
    version: Annotated[int, msgspec.Meta(ge=1)] = SCHEMA_VERSION

    def touched_objects(self) -> set[str]:
        """Returns the names of all objects that the ticket changes."""
        kinds = ('zones', 'services', 'upstreams', 'shifts', 'blocks')
        return {
            f'{kind[:-1]} {name}'
            for kind in kinds
            for name in getattr(self, kind)
        }


class _Version(msgspec.Struct):
    version: int = SCHEMA_VERSION


_encoder = msgspec.json.Encoder(order='deterministic')
_decoder = msgspec.json.Decoder(Ticket)
_version_decoder = msgspec.json.Decoder(_Version)


def encode_ticket(ticket: Ticket) -> bytes:
    """Encodes a ticket as JSON, with the members in a fixed order."""
    return _encoder.encode(ticket)


def digest_ticket(ticket: Ticket) -> str:
    """Returns a digest of the content, without `based_on` and `created`."""
    content = msgspec.structs.replace(ticket, based_on=0, created=CREATED_UNSET)
    document = encode_ticket(content)
    return hashlib.blake2b(document, digest_size=DIGEST_BYTES).hexdigest()


def decode_ticket(document: bytes) -> Ticket:
    """Decodes a ticket from JSON.

    Raises:
        DocumentTooNew: the document was written by a newer version.
        DocumentMalformed: the document is too large or is not a ticket; the
            message names all faults.
    """
    if len(document) > MAX_TICKET_BYTES:
        raise DocumentMalformed(
            f'ticket has {len(document)} bytes; '
            f'at most {MAX_TICKET_BYTES} are allowed',
        )
    try:
        ticket = _decoder.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        _check_version(document)
        faults = find_schema_faults(document, Ticket) or [str(error)]
        raise DocumentMalformed(f'ticket: {"; ".join(faults)}') from error
    if ticket.version > SCHEMA_VERSION:
        raise DocumentTooNew(f'ticket has version {ticket.version}')
    return ticket


def parse_ticket(document: bytes) -> Ticket:
    """Decodes a ticket from an operator; also rejects duplicate names.

    Raises:
        DocumentMalformed: as for `decode_ticket`, or there is a duplicate
            name.
    """
    ticket = decode_ticket(document)
    faults = find_schema_faults(document, Ticket)
    if faults:
        raise DocumentMalformed(f'ticket: {"; ".join(faults)}')
    return ticket


def _check_version(document: bytes) -> None:
    try:
        found = _version_decoder.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return
    if found.version > SCHEMA_VERSION:
        raise DocumentTooNew(f'ticket has version {found.version}')
