"""The interface between heartbeats and the ownership of upstreams."""

from datetime import timedelta
from typing import NamedTuple, Protocol

from lycheedyke.protocol import (
    Heartbeat,
    HeartbeatReply,
    OwnerRecord,
    SlotGrant,
    SlotUsage,
)


class ReceivedMessage(NamedTuple):
    """A message received from a peer.

    Attributes:
        sent: when the message that it acknowledges was sent by this
            instance; None if it acknowledges none.
        address: the control address that replied with it; '' if it is not
            a reply.
    """

    message: Heartbeat | HeartbeatReply
    sent: timedelta | None = None
    address: str = ''


class OwnershipExchange(Protocol):
    """Provides the ownership fields of heartbeats, and applies received ones."""

    @property
    def record(self) -> OwnerRecord:
        """The newest owner record that this instance knows."""

    def newer_record_for(self, incarnation: str) -> OwnerRecord | None:
        """Returns the record if the peer is known to have an older one."""

    def grants(self) -> tuple[SlotGrant, ...]:
        """Returns the slots granted to deputies."""

    def used(self) -> tuple[SlotUsage, ...]:
        """Returns the slots that this instance uses as a deputy."""

    def deputy_addresses(self) -> set[str]:
        """Returns the control addresses to send every heartbeat to."""

    def receive(self, received: ReceivedMessage) -> None:
        """Applies a received message; called before it is answered."""


class NoOwnership:
    """The ownership exchange of an instance that owns no upstreams."""

    record = OwnerRecord()

    def __repr__(self) -> str:
        """Returns the constructor call."""
        return 'NoOwnership()'

    def newer_record_for(self, incarnation: str) -> OwnerRecord | None:
        """Returns None."""

    def grants(self) -> tuple[SlotGrant, ...]:
        """Returns no grants."""
        return ()

    def used(self) -> tuple[SlotUsage, ...]:
        """Returns no slots."""
        return ()

    def deputy_addresses(self) -> set[str]:
        """Returns no addresses."""
        return set()

    def receive(self, received: ReceivedMessage) -> None:
        """Does nothing."""
