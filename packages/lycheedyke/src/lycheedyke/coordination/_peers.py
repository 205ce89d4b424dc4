"""The state of another instance as known here."""

from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import Heartbeat, HeartbeatReply, InstanceInfo
from lycheedyke.protocol import UpstreamLoad as Load

MILLISECOND = timedelta(milliseconds=1)


class SentMessage(NamedTuple):
    """A sent heartbeat or reply that awaits its acknowledgement.

    Attributes:
        sequence: the sequence number of the message.
        sent: when the message was sent, on the monotonic clock.
        sent_unpaused: the same, on the clock that excludes pauses.
        loads: the counts that the message carried, or None.
    """

    sequence: int
    sent: timedelta
    sent_unpaused: timedelta
    loads: tuple[Load, ...] | None


class Peer:
    """The state of another instance as known here.

    Attributes:
        received: when its last heartbeat or reply was received, on the
            monotonic clock.
        acknowledged: when the last message that it acknowledged was sent,
            on the monotonic clock; None before the first.
        live_at: the same, on the clock that excludes pauses.
        age: the time since its start, as of `age_updated`.
        age_updated: when `age` was recorded, on the monotonic clock.
        acknowledged_loads: the counts that it has acknowledged.
        introduced: whether it knows the addresses of this instance.
        last_sequence: the sequence number of its last heartbeat.
        echo: the sequence number of its last reply.
        reply: the last reply that was sent to it.
    """

    def __init__(self, info: InstanceInfo, received: timedelta) -> None:
        """Initializes a peer whose first message came at the given time."""
        self.info = info
        self.received = received
        self.acknowledged: timedelta | None = None
        self.live_at: timedelta | None = None
        self.age = timedelta()
        self.age_updated = received
        self.ticket = 0
        self.digest = 0
        self.loads: tuple[Load, ...] = ()
        self.stopping = False
        self.acknowledged_loads: tuple[Load, ...] | None = None
        self.introduced = False
        self.last_sequence = 0
        self.echo = 0
        self.reply: SentMessage | None = None

    def __repr__(self) -> str:
        """Returns the name and the incarnation."""
        return f'<Peer {self.info.name} {self.info.incarnation}>'

    def apply_heartbeat(
        self, beat: Heartbeat | HeartbeatReply, now: timedelta
    ) -> None:
        """Applies the fields of a heartbeat or reply."""
        self.received = now
        self.ticket = max(self.ticket, beat.ticket)
        self.digest = beat.digest
        self.stopping = beat.stopping
        if beat.loads is not None:
            self.loads = beat.loads
        if beat.sender is not None:
            self.record_age(beat.age_ms * MILLISECOND, now)
        if beat.introduce:
            self.introduced = False

    def acknowledge(self, sent: SentMessage) -> None:
        """Records that the peer has acknowledged a sent message."""
        if self.acknowledged is None or sent.sent > self.acknowledged:
            self.acknowledged = sent.sent
            self.live_at = sent.sent_unpaused
        self.introduced = True
        if sent.loads is not None:
            self.acknowledged_loads = sent.loads

    def record_age(self, age: timedelta, now: timedelta) -> None:
        """Records the time since the peer's start."""
        self.age = age
        self.age_updated = now
