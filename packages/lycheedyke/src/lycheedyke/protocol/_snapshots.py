"""Snapshots of the configuration: documents, parts and messages."""

import hashlib
from datetime import datetime

import msgspec

from lycheedyke.exceptions import DocumentMalformed, DocumentTooNew
from lycheedyke.protocol._tickets import Service, Shift, Upstream, Zone

SNAPSHOT_VERSION = 1
PART_BYTES = 900_000


class BlockTable(msgspec.Struct, frozen=True, array_like=True):
    """The blocks of one prefix length.

    Attributes:
        version: the IP version, 4 or 6.
        length: the prefix length in bits.
        numbers: the leading bits of each network, ascending, little-endian
            and 4 bytes each for IPv4, 8 for IPv6; above 64 bits 16 bytes
            each, big-endian.
        homes: for each network the index of its home, 2 bytes each.
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
    """What is remembered of an accepted ticket.

    Attributes:
        digest: the digest of the ticket's content.
        touches: the objects that it changed; empty for an old ticket.
    """

    number: int
    author: str
    digest: str
    touches: tuple[str, ...] = ()


class Snapshot(msgspec.Struct, frozen=True):
    """The whole configuration as of one ticket.

    Attributes:
        floor: the newest ticket whose touched objects are forgotten.
        created: the time at which the newest ticket was accepted.
        records: recent tickets, the oldest first.
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
    """Where the parts of the newest snapshot stand in the platform.

    Attributes:
        parts: the digest of each part, in order.
        trimmed: the newest ticket whose document has been emptied.
    """

    number: int
    parts: tuple[str, ...]
    trimmed: int = 0


class SnapshotRequest(msgspec.Struct, frozen=True, tag='snapshot'):
    """Asks for one part; `number` is 0 in the first request."""

    number: int
    index: int


class SnapshotReply(msgspec.Struct, frozen=True, tag='snapshot-reply'):
    """One part of a snapshot; `count` is 0 where there is none."""

    number: int
    count: int
    part: bytes


class _Version(msgspec.Struct):
    version: int = SNAPSHOT_VERSION


def encode_snapshot(snapshot: Snapshot) -> list[bytes]:
    """Returns the snapshot in parts, each under the platform's limit."""
    document = msgspec.msgpack.encode(snapshot)
    return [
        document[start : start + PART_BYTES]
        for start in range(0, len(document), PART_BYTES)
    ]


def decode_snapshot(parts: list[bytes]) -> Snapshot:
    """Reads a snapshot from all its parts.

    Raises:
        DocumentTooNew: it was written by a newer version.
        DocumentMalformed: it has another form.
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
