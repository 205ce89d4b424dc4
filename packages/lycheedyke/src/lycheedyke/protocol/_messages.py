"""Typed messages between instances, signed and bounded in size."""

import hmac
from types import MappingProxyType
from typing import TypeVar

import msgspec

from lycheedyke.exceptions import MessageRejected
from lycheedyke.protocol._outcomes import Answered, NotRun, Unknown
from lycheedyke.protocol._owners import OwnerRecord, SlotGrant, SlotUsage
from lycheedyke.protocol._snapshots import SnapshotReply, SnapshotRequest

VERSION = b'\x01'
MAC_BYTES = 16
MAX_MESSAGE_BYTES = 1_048_576
_SHORT_NAMES = MappingProxyType(
    {
        'incarnation': 'i',
        'sequence': 's',
        'echo': 'e',
        'ticket': 't',
        'digest': 'd',
        'loads': 'l',
        'zone': 'z',
        'region': 'r',
        'version': 'v',
        'author': 'a',
        'roster': 'o',
        'headroom': 'h',
        'owner_epoch': 'p',
        'grants': 'g',
        'used': 'u',
    }
)


class InstanceInfo(msgspec.Struct, frozen=True):
    """How an entry instance is reached.

    Attributes:
        name: the instance's name, kept over restarts.
        incarnation: fresh at every start of the process.
        zone: the availability zone that it stands in.
        region: the region of that zone.
        caller_address: where callers send requests, `ip:port`.
        peer_address: where peers forward requests over HTTP, `ip:port`.
        control_address: where peers send control messages, `ip:port`.
    """

    name: str
    incarnation: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    control_address: str


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """What an instance that may admit work to an upstream counts.

    Attributes:
        in_flight: requests that the upstream may be running.
        waiting: requests in the queue.
        limit: the slots that may be used now; 0 while another admits.
        usable: whether its last outcomes let it take work.
    """

    upstream: str
    in_flight: int
    waiting: int
    limit: int
    usable: bool = True


class _Beat(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename=_SHORT_NAMES,
):
    """What heartbeats and their replies say.

    Attributes:
        incarnation: of the sender.
        sequence: grows with each heartbeat and reply of an incarnation.
        echo: in a reply, the sequence of the heartbeat; in a heartbeat, that
            of the last reply received from the addressee, 0 if none.
        ticket: the newest ticket in force at the sender.
        digest: hash of the zone summaries that the sender knows.
        loads: counts of the upstreams that it owns; None if the addressee
            has acknowledged the same counts before.
        sender: how the sender is reached, until the addressee knows it.
        age_ms: time since the sender's start in ms, sent with `sender`.
        introduce: asks for `sender` in the answer.
        stopping: whether a planned stop is under way.
        owner_epoch: epoch of the zone's owner record known there.
        owners: that record, where the addressee's is known to be older.
        grants: slots that the sender leaves to its deputies.
        used: slots that the sender uses as a deputy.
    """

    incarnation: str
    sequence: int
    echo: int = 0
    ticket: int = 0
    digest: int = 0
    loads: tuple[UpstreamLoad, ...] | None = None
    sender: InstanceInfo | None = None
    age_ms: int = 0
    introduce: bool = False
    stopping: bool = False
    owner_epoch: int = 0
    owners: OwnerRecord | None = None
    grants: tuple[SlotGrant, ...] = ()
    used: tuple[SlotUsage, ...] = ()


class Heartbeat(_Beat, frozen=True, tag='hb'):
    """Says that the sender is alive, and what it knows."""


class HeartbeatReply(_Beat, frozen=True, tag='hbr'):
    """Answers a heartbeat in kind."""


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Counts over all upstreams of a service in one zone."""

    service: str
    in_flight: int
    waiting: int
    limit: int


class InstanceLoads(msgspec.Struct, frozen=True, array_like=True):
    """Counts of the upstreams that a named instance owns."""

    name: str
    loads: tuple[UpstreamLoad, ...]


class RosterMember(msgspec.Struct, frozen=True, array_like=True):
    """A live instance of a zone, and its age in ms when this was sent."""

    info: InstanceInfo
    age_ms: int


class Roster(msgspec.Struct, frozen=True, array_like=True):
    """The live instances of a zone."""

    zone: str
    members: tuple[RosterMember, ...]


class ZoneSummary(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename=_SHORT_NAMES,
):
    """What the other zones have to know of a zone.

    Attributes:
        version: grows with each summary of the zone; of two with the same
            version, the higher author counts.
        author: the incarnation that made it.
        roster: hash of the zone's roster.
        ticket: the newest ticket in force in the zone.
        headroom: counts of each service.
        loads: counts of each upstream, only sent within the region.
        stopping: names of the instances with a planned stop under way.
    """

    zone: str
    region: str
    version: int
    author: str
    roster: int
    ticket: int = 0
    headroom: tuple[ServiceLoad, ...] = ()
    loads: tuple[InstanceLoads, ...] = ()
    stopping: tuple[str, ...] = ()


class ZoneVersion(msgspec.Struct, frozen=True, array_like=True):
    """The newest summary that the sender knows of a zone."""

    zone: str
    version: int
    author: str


class _Summaries(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename=_SHORT_NAMES,
):
    """An exchange of zone summaries.

    Attributes:
        zone: the sender's zone.
        region: the sender's region.
        versions: what the sender knows.
        summaries: those that the addressee lacks.
        rosters: those that the addressee wanted.
        wanted: zones whose rosters the sender lacks.
        sender: how the sender is reached, while it joins.
    """

    zone: str
    region: str
    versions: tuple[ZoneVersion, ...] = ()
    summaries: tuple[ZoneSummary, ...] = ()
    rosters: tuple[Roster, ...] = ()
    wanted: tuple[str, ...] = ()
    sender: InstanceInfo | None = None


class SummariesRequest(_Summaries, frozen=True, tag='sum'):
    """Offers summaries and asks for newer ones."""


class SummariesReply(_Summaries, frozen=True, tag='sumr'):
    """Answers with what the asker lacks."""


class TicketsRequest(msgspec.Struct, frozen=True, tag='tickets'):
    """Asks for the tickets after a number."""

    after: int


class TicketsReply(msgspec.Struct, frozen=True, tag='tickets-reply'):
    """Tickets in order of their numbers, the first one `first`.

    Attributes:
        newest: the newest ticket in force there; a snapshot is needed where
            it is higher than the one asked for and no document came.
    """

    first: int
    documents: tuple[bytes, ...]
    newest: int = 0


ControlMessage = (
    Heartbeat
    | HeartbeatReply
    | SummariesRequest
    | SummariesReply
    | TicketsRequest
    | TicketsReply
    | SnapshotRequest
    | SnapshotReply
)


class _ExchangeBox(msgspec.Struct, frozen=True, array_like=True):
    content: ControlMessage


class RunRequest(msgspec.Struct, frozen=True):
    """A request forwarded to an instance that may run it.

    Attributes:
        upstream: the upstream to run on, or '' where the home decides.
        remaining_ms: the time left until the deadline, in ms.
        key: the idempotency key, or '' for an idempotent request.
        home: the client's home region as the sender judged it, or ''.
        region: the region of the sender, or ''.
        resent: whether the caller has sent it before.
        may_wait: whether it may wait for a slot.
    """

    service: str
    upstream: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_ms: int
    client: str
    key: str = ''
    home: str = ''
    region: str = ''
    resent: bool = False
    may_wait: bool = True


class RunReply(msgspec.Struct, frozen=True):
    """The outcome of a forwarded request."""

    outcome: Answered | NotRun | Unknown


_Message = TypeVar('_Message')


class MessageCodec:
    """Encodes, signs, checks and decodes messages.

    A message is a version byte, a MAC over the rest, and msgpack.

    Args:
        secret: the secret that all instances of a deployment share.
    """

    def __init__(self, secret: bytes) -> None:
        """Makes a codec for one secret."""
        self._secret = secret

    def encode(self, message: msgspec.Struct) -> bytes:
        """Returns the signed message."""
        payload = msgspec.msgpack.encode(message)
        return VERSION + self._sign(payload) + payload

    def decode(
        self,
        message: bytes,
        kind: type[_Message],
        *,
        max_bytes: int = MAX_MESSAGE_BYTES,
    ) -> _Message:
        """Checks the signature and returns the typed message.

        Args:
            message: the signed message.
            kind: the type that it must have.
            max_bytes: the largest message.

        Raises:
            MessageRejected: wrong version, size, signature or form.
        """
        if len(message) > max_bytes:
            raise MessageRejected(
                f'message has {len(message)} bytes',
                reason='oversized',
            )
        if message[:1] != VERSION:
            raise MessageRejected(
                f'unknown version {message[:1]!r}',
                reason='version',
            )
        signature = message[1 : 1 + MAC_BYTES]
        payload = message[1 + MAC_BYTES :]
        if not hmac.compare_digest(signature, self._sign(payload)):
            raise MessageRejected(
                'signature does not match',
                reason='signature',
            )
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise MessageRejected(str(error), reason='form') from error

    def decode_control_message(self, message: bytes) -> ControlMessage:
        """Checks the signature and returns a control message.

        Raises:
            MessageRejected: wrong version, size, signature or form.
        """
        return self.decode(message, _ExchangeBox).content

    def encode_control_message(self, content: ControlMessage) -> bytes:
        """Returns a signed control message."""
        return self.encode(_ExchangeBox(content))

    def _sign(self, payload: bytes) -> bytes:
        return hmac.digest(self._secret, payload, 'sha256')[:MAC_BYTES]
