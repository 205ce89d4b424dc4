"""The record of which instances own the upstreams of a zone."""

from collections.abc import Mapping

import msgspec

from lycheedyke.exceptions import DocumentMalformed


class OwnerPair(msgspec.Struct, frozen=True, array_like=True):
    """The incarnations that may admit work to one upstream.

    Attributes:
        owner: the incarnation that uses the slots.
        deputy: the incarnation that takes over if the owner is silent or
            has ended; '' if there is none.
    """

    owner: str
    deputy: str = ''


class OwnerRecord(msgspec.Struct, frozen=True):
    """The owners and deputies of all upstreams of one zone.

    Attributes:
        epoch: increases by one at each change.
        pairs: the owner and the deputy by name of the upstream.
        addresses: the control address by incarnation, for all incarnations
            in `pairs`.
    """

    epoch: int = 0
    pairs: Mapping[str, OwnerPair] = {}
    addresses: Mapping[str, str] = {}


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """Slots that an owner grants to its deputy until the record changes."""

    upstream: str
    deputy: str
    slots: int


class SlotUsage(msgspec.Struct, frozen=True, array_like=True):
    """The number of a deputy's requests that an upstream may be running."""

    upstream: str
    slots: int


_encoder = msgspec.json.Encoder(order='deterministic')
_decoder = msgspec.json.Decoder(OwnerRecord)


def owners_key(zone: str) -> str:
    """Returns the platform key of the owner record of a zone."""
    return f'owners/{zone}'


def encode_owners(record: OwnerRecord) -> bytes:
    """Encodes an owner record as JSON."""
    return _encoder.encode(record)


def decode_owners(document: bytes) -> OwnerRecord:
    """Decodes an owner record from JSON.

    Raises:
        DocumentMalformed: the document is not an owner record.
    """
    try:
        return _decoder.decode(document)
    except msgspec.MsgspecError as error:
        raise DocumentMalformed(f'owner record: {error}') from error
