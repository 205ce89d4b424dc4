"""The record of which instances own the upstreams of a zone."""

from collections.abc import Mapping

import msgspec

from lycheedyke.exceptions import DocumentMalformed


class OwnerPair(msgspec.Struct, frozen=True, array_like=True):
    """The incarnations that may admit work to one upstream.

    Attributes:
        owner: uses the slots.
        deputy: takes over from a silent or dead owner; '' for none.
    """

    owner: str
    deputy: str = ''


class OwnerRecord(msgspec.Struct, frozen=True):
    """The pairs of all upstreams of one zone.

    Attributes:
        epoch: rises by one at each change.
        pairs: upstream name to its pair.
        addresses: incarnation to control address, for all in `pairs`.
    """

    epoch: int = 0
    pairs: Mapping[str, OwnerPair] = {}
    addresses: Mapping[str, str] = {}


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """Slots that an owner leaves to its deputy until the record changes."""

    upstream: str
    deputy: str
    slots: int


class SlotUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a deputy that an upstream may be running."""

    upstream: str
    slots: int


_encoder = msgspec.json.Encoder(order='deterministic')
_decoder = msgspec.json.Decoder(OwnerRecord)


def owners_key(zone: str) -> str:
    """Returns the platform key of a zone's record."""
    return f'owners/{zone}'


def encode_owners(record: OwnerRecord) -> bytes:
    """Returns the record as JSON."""
    return _encoder.encode(record)


def decode_owners(document: bytes) -> OwnerRecord:
    """Reads a record from JSON.

    Raises:
        DocumentMalformed: the document has another form.
    """
    try:
        return _decoder.decode(document)
    except msgspec.MsgspecError as error:
        raise DocumentMalformed(f'owner record: {error}') from error
