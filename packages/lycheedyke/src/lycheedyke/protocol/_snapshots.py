"""Snapshots of the configuration, their parts, and messages for them."""

import hashlib
from datetime import datetime

import msgspec

from lycheedyke.exceptions import DocumentMalformed, DocumentTooNew
from lycheedyke.protocol._tickets import Service, Shift, Upstream, Zone

SNAPSHOT_VERSION = 1
PART_BYTES = 900_000


class BlockTable(msgspec.Struct, frozen=True, array_like=True):
    """The client address blocks of one prefix length.

    Attributes:
        version: the IP version, 4 or 6.
        length: the prefix length in bits.
        numbers: the leading bits of each network, ascending, little-endian
            and 4 bytes each for IPv4, 8 for IPv6; above 64 bits 16 bytes
            each, big-endian.
        homes: for each network the index of its home region, 2 bytes each.
    """

    version: int
    length: int
    numbers: bytes
    homes: bytes


class ShiftState(msgspec.Struct, frozen=True, array_like=True):
    """A shift and the time at which its ticket was accepted."""

    shift: Shift
    accepted: datetime


class TicketRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored summary of an accepted ticket.

    Attributes:
        digest: the digest of the ticket's content.
        touches: the objects that the ticket changed; empty for an old ticket.
    """

    number: int
    author: str
    digest: str
    touches: tuple[str, ...] = ()


class Snapshot(msgspec.Struct, frozen=True):
    """The complete configuration after one ticket.

    Attributes:
        floor: the newest ticket whose changed objects are no longer stored.
        created: the time at which the newest ticket was accepted.
        records: recent tickets, oldest first.
    """

    number: int
    floor: int
    created: datetime
    zones: dict[str, Zone]
    services: dict[str, Service]
    upstreams: dict[str, Upstream]
    shifts: dict[str, ShiftState]
    records: tuple[TicketRecord, ...]
    homes: tuple[str, ...]
    blocks: tuple[BlockTable, ...]
    version: int = SNAPSHOT_VERSION


class SnapshotHead(msgspec.Struct, frozen=True):
    """Names the parts of the newest snapshot in the platform's store.

    Attributes:
        parts: the digest of each part, in order.
        trimmed: the newest ticket whose document was replaced by an empty
            one.
    """

    number: int
    parts: tuple[str, ...]
    trimmed: int = 0


class SnapshotRequest(msgspec.Struct, frozen=True, tag='snapshot'):
    """Requests one part; `number` is 0 in the first request."""

    number: int
    index: int


class SnapshotReply(msgspec.Struct, frozen=True, tag='snapshot-reply'):
    """One part of a snapshot; `count` is 0 if there is no snapshot."""

    number: int
    count: int
    part: bytes


class _Version(msgspec.Struct):
    version: int = SNAPSHOT_VERSION


def encode_snapshot(snapshot: Snapshot) -> list[bytes]:
    """Encodes a snapshot in parts, each below the platform's size limit."""
    document = msgspec.msgpack.encode(snapshot)
    return [
        document[start : start + PART_BYTES]
        for start in range(0, len(document), PART_BYTES)
    ]


def decode_snapshot(parts: list[bytes]) -> Snapshot:
    """Decodes a snapshot from all its parts.

    Raises:
        DocumentTooNew: the snapshot was written by a newer version.
        DocumentMalformed: the parts are not a snapshot.
    """
    document = b''.join(parts)
    try:
        found = msgspec.msgpack.decode(document, type=_Version)
        if found.version > SNAPSHOT_VERSION:
            raise DocumentTooNew(f'snapshot has version {found.version}')
        return msgspec.msgpack.decode(document, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise DocumentMalformed(f'snapshot: {error}') from error


def digest_part(part: bytes) -> str:
    """Returns the digest under which a part is stored."""
    return hashlib.blake2b(part, digest_size=16).hexdigest()
