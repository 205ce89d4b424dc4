"""Typed messages between instances: signed, and limited in size."""

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
    """The identity, location and addresses of an entry instance.

    Attributes:
        name: the instance's name, which restarts do not change.
        incarnation: the id of this run of the process; new at every start.
        zone: the availability zone of the instance.
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
    """The load of one upstream, as counted by an instance that admits to it.

    Attributes:
        in_flight: requests that the upstream may be running.
        waiting: requests in the queue.
        limit: the slots that may be used now; 0 while another instance
            admits.
        usable: whether the last outcomes allow sending requests to it.
    """

    upstream: str
    in_flight: int
    waiting: int
    limit: int
    usable: bool = True


class _HeartbeatFields(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename=_SHORT_NAMES,
):
    """The fields of heartbeats and their replies.

    Attributes:
        incarnation: the incarnation of the sender.
        sequence: increases with each heartbeat and reply of an incarnation.
        echo: in a reply, the sequence of the heartbeat; in a heartbeat, the
            sequence of the last reply from the receiver, 0 if none.
        ticket: the newest ticket in force at the sender.
        digest: hash of the zone summaries that the sender holds.
        loads: loads of the upstreams that the sender owns; None if the
            receiver has already acknowledged the same loads.
        sender: the addresses of the sender, until the receiver knows them.
        age_ms: time since the start of the sender in ms, sent with `sender`.
        introduce: requests `sender` in the reply.
        stopping: whether a planned stop is under way.
        owner_epoch: epoch of the zone's owner record at the sender.
        owners: the owner record, if the receiver is known to hold an older
            one.
        grants: slots that the sender grants to its deputies.
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


class Heartbeat(_HeartbeatFields, frozen=True, tag='hb'):
    """Shows that the sender is running, and carries its state."""


class HeartbeatReply(_HeartbeatFields, frozen=True, tag='hbr'):
    """Answers a heartbeat with the state of the receiver."""


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """The total load of all upstreams of a service in one zone."""

    service: str
    in_flight: int
    waiting: int
    limit: int


class InstanceLoads(msgspec.Struct, frozen=True, array_like=True):
    """The loads of the upstreams that the named instance owns."""

    name: str
    loads: tuple[UpstreamLoad, ...]


class RosterMember(msgspec.Struct, frozen=True, array_like=True):
    """A live instance of a zone, and its age in ms at the time of sending."""

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
    """The state of a zone that is sent to the other zones.

    Attributes:
        version: increases with each summary of the zone; of two summaries
            with the same version, the one with the higher author is used.
        author: the incarnation that wrote the summary.
        roster: hash of the zone's roster.
        ticket: the newest ticket in force in the zone.
        headroom: the load of each service.
        loads: the loads of each upstream, only sent within the region.
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
    """The version of the newest summary of a zone that the sender holds."""

    zone: str
    version: int
    author: str


class _SummariesFields(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename=_SHORT_NAMES,
):
    """The fields of messages that exchange zone summaries.

    Attributes:
        zone: the sender's zone.
        region: the sender's region.
        versions: the summaries that the sender holds.
        summaries: summaries that the receiver lacks.
        rosters: rosters that the receiver has requested.
        wanted: zones whose rosters the sender lacks.
        sender: the addresses of the sender, while it joins.
    """

    zone: str
    region: str
    versions: tuple[ZoneVersion, ...] = ()
    summaries: tuple[ZoneSummary, ...] = ()
    rosters: tuple[Roster, ...] = ()
    wanted: tuple[str, ...] = ()
    sender: InstanceInfo | None = None


class SummariesRequest(_SummariesFields, frozen=True, tag='sum'):
    """Offers summaries and requests newer ones."""


class SummariesReply(_SummariesFields, frozen=True, tag='sumr'):
    """Carries the summaries that the requester lacks."""


class TicketsRequest(msgspec.Struct, frozen=True, tag='tickets'):
    """Requests the tickets after a number."""

    after: int


class TicketsReply(msgspec.Struct, frozen=True, tag='tickets-reply'):
    """Tickets in the order of their numbers.

    Attributes:
        first: the number of the first ticket.
        documents: the tickets, in JSON.
        newest: the newest ticket in force at the sender. If it is higher
            than the requested number and there are no documents, the
            requester needs a snapshot.
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


class _ControlEnvelope(msgspec.Struct, frozen=True, array_like=True):
    content: ControlMessage


class RunRequest(msgspec.Struct, frozen=True):
    """A request forwarded to an instance that may run it.

    Attributes:
        upstream: the upstream to run on, or '' if the home of the key
            decides.
        remaining_ms: the time left until the deadline, in ms.
        key: the idempotency key, or '' for an idempotent request.
        home: the client's home region as determined by the sender, or ''.
        region: the region of the sender, or ''.
        resent: whether the caller has sent the request before.
        may_wait: whether the request may wait for a slot.
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
    """Encodes and signs messages; authenticates and decodes them.

    A message is a version byte, a MAC of the payload, and the payload in
    msgpack. The MAC is an HMAC-SHA-256 truncated to `MAC_BYTES`.

    Args:
        secret: the secret that all instances of a deployment share.
    """

    def __init__(self, secret: bytes) -> None:
        """Initializes the codec with the shared secret."""
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
            kind: the type of the message.
            max_bytes: the largest accepted message, in bytes.

        Raises:
            MessageRejected: the version, size, signature or form is wrong.
        """
        if len(message) > max_bytes:
            raise MessageRejected(
                f'message has {len(message)} bytes; '
                f'at most {max_bytes} are allowed',
                reason='oversized',
            )
        if message[:1] != VERSION:
            raise MessageRejected(
                f'unknown message version {message[:1]!r}',
                reason='version',
            )
        signature = message[1 : 1 + MAC_BYTES]
        payload = message[1 + MAC_BYTES :]
        if not hmac.compare_digest(signature, self._sign(payload)):
            raise MessageRejected(
                'message signature does not match',
                reason='signature',
            )
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise MessageRejected(str(error), reason='form') from error

    def decode_control_message(self, message: bytes) -> ControlMessage:
        """Checks the signature and returns a control message.

        Raises:
            MessageRejected: the version, size, signature or form is wrong.
        """
        return self.decode(message, _ControlEnvelope).content

    def encode_control_message(self, content: ControlMessage) -> bytes:
        """Returns a signed control message."""
        return self.encode(_ControlEnvelope(content))

    def _sign(self, payload: bytes) -> bytes:
        return hmac.digest(self._secret, payload, 'sha256')[:MAC_BYTES]
