"""Typed messages between instances, signed and bounded in size."""

import hmac
from typing import TypeVar

import msgspec

from lycheedyke.exceptions import MessageRejected
from lycheedyke.protocol._outcomes import Answered, NotRun, Unknown

VERSION = b'\x01'
MAC_BYTES = 16
MAX_MESSAGE_BYTES = 1_048_576


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
    """What the owner of an upstream counts."""

    upstream: str
    in_flight: int
    waiting: int
    limit: int


class Heartbeat(msgspec.Struct, frozen=True, tag='heartbeat'):
    """Says that the sender is alive, and what it knows.

    Attributes:
        sender: the instance that sends it.
        age_ms: time since the sender's start, in ms.
        ticket: the newest ticket in force there.
        loads: counts of the upstreams that it owns.
        stopping: whether a planned stop is under way.
    """

    sender: InstanceInfo
    age_ms: int
    ticket: int
    loads: tuple[UpstreamLoad, ...] = ()
    stopping: bool = False


class HeartbeatReply(msgspec.Struct, frozen=True, tag='heartbeat-reply'):
    """Answers a heartbeat in kind."""

    sender: InstanceInfo
    age_ms: int
    ticket: int
    loads: tuple[UpstreamLoad, ...] = ()
    peers: tuple[InstanceInfo, ...] = ()
    stopping: bool = False


class TicketsRequest(msgspec.Struct, frozen=True, tag='tickets'):
    """Asks for the tickets after a number."""

    after: int


class TicketsReply(msgspec.Struct, frozen=True, tag='tickets-reply'):
    """Tickets in order of their numbers, the first one `first`."""

    first: int
    documents: tuple[bytes, ...]


Exchange = Heartbeat | HeartbeatReply | TicketsRequest | TicketsReply


class _ExchangeBox(msgspec.Struct, frozen=True, array_like=True):
    content: Heartbeat | HeartbeatReply | TicketsRequest | TicketsReply


class RunRequest(msgspec.Struct, frozen=True):
    """A request forwarded to an instance that may run it.

    Attributes:
        upstream: the upstream to run on, or '' where the home decides.
        remaining_ms: the time left until the deadline, in ms.
        key: the idempotency key, or '' for an idempotent request.
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
            raise MessageRejected(f'message has {len(message)} bytes')
        if message[:1] != VERSION:
            raise MessageRejected(f'unknown version {message[:1]!r}')
        signature = message[1 : 1 + MAC_BYTES]
        payload = message[1 + MAC_BYTES :]
        if not hmac.compare_digest(signature, self._sign(payload)):
            raise MessageRejected('signature does not match')
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise MessageRejected(str(error)) from error

    def decode_exchange(self, message: bytes) -> Exchange:
        """Checks the signature and returns a control message.

        Raises:
            MessageRejected: wrong version, size, signature or form.
        """
        return self.decode(message, _ExchangeBox).content

    def encode_exchange(self, content: Exchange) -> bytes:
        """Returns a signed control message."""
        return self.encode(_ExchangeBox(content))

    def _sign(self, payload: bytes) -> bytes:
        return hmac.digest(self._secret, payload, 'sha256')[:MAC_BYTES]
