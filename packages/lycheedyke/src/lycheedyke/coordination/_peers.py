"""What is known of one other instance."""

from datetime import timedelta
from typing import NamedTuple

from lycheedyke.protocol import Heartbeat, HeartbeatReply, InstanceInfo
from lycheedyke.protocol import UpstreamLoad as Load

MILLISECOND = timedelta(milliseconds=1)


class SentMessage(NamedTuple):
    """A heartbeat or reply that waits for its acknowledgement.

    Attributes:
        sequence: its number.
        sent: when it was sent, on the monotonic clock.
        sent_unpaused: the same, on the clock without pauses.
        loads: the counts that it carried, or None.
    """

    sequence: int
    sent: timedelta
    sent_unpaused: timedelta
    loads: tuple[Load, ...] | None


class Peer:
    """What is known of one other instance.

    Attributes:
        received: when its last heartbeat was received, on the monotonic clock.
        acknowledged: when the last heartbeat that it answered was sent, on
            the monotonic clock; None before the first.
        live_at: the same, on the clock without pauses.
        acknowledged_loads: the counts that it has acknowledged.
        introduced: whether it knows how this instance is reached.
        last_sequence: of its last heartbeat.
        echo: the sequence of its last reply.
        reply: the last reply to it.
    """

    def __init__(self, info: InstanceInfo, heard: timedelta) -> None:
        """Makes a peer that was heard at a time of the clock."""
        self.info = info
        self.received = heard
        self.acknowledged: timedelta | None = None
        self.live_at: timedelta | None = None
        self.age = timedelta()
        self.age_updated = heard
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
        """Takes in the fields of a heartbeat or reply."""
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
        """Notes that the peer has answered what was sent."""
        if self.acknowledged is None or sent.sent > self.acknowledged:
            self.acknowledged = sent.sent
            self.live_at = sent.sent_unpaused
        self.introduced = True
        if sent.loads is not None:
            self.acknowledged_loads = sent.loads

    def record_age(self, age: timedelta, now: timedelta) -> None:
        """Notes the time since the start of the peer."""
        self.age = age
        self.age_updated = now
