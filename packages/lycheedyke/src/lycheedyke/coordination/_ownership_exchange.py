"""What the membership carries for the ownership of upstreams."""

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
    """A message of a peer.

    Attributes:
        sent: when the own message was sent that it acknowledges; None if it
            acknowledges none.
        address: the control address that gave it as a reply, or ''.
    """

    message: Heartbeat | HeartbeatReply
    sent: timedelta | None = None
    address: str = ''


class OwnershipExchange(Protocol):
    """Says what heartbeats carry, and takes in what they say."""

    @property
    def record(self) -> OwnerRecord:
        """The record known here."""

    def newer_record_for(self, incarnation: str) -> OwnerRecord | None:
        """Returns the record if a peer's is known to be older."""

    def grants(self) -> tuple[SlotGrant, ...]:
        """Returns the grants to deputies."""

    def used(self) -> tuple[SlotUsage, ...]:
        """Returns the slots used as a deputy."""

    def deputy_addresses(self) -> set[str]:
        """Returns the control addresses to send every heartbeat to."""

    def receive(self, heard: ReceivedMessage) -> None:
        """Takes in a message, before it is answered."""


class NoOwnership:
    """The link of an instance without upstreams."""

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

    def receive(self, heard: ReceivedMessage) -> None:
        """Does nothing."""
