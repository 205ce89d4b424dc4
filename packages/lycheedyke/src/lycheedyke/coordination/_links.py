"""What the membership carries for the ownership of upstreams."""

from datetime import timedelta
from typing import NamedTuple, Protocol

from lycheedyke.protocol import (
    Grant,
    Heartbeat,
    HeartbeatReply,
    OwnerRecord,
    Used,
)


class Heard(NamedTuple):
    """A message of a peer.

    Attributes:
        sent: when the own message was sent that it acknowledges; None if it
            acknowledges none.
        address: the control address that gave it as a reply, or ''.
    """

    message: Heartbeat | HeartbeatReply
    sent: timedelta | None = None
    address: str = ''


class OwnershipLink(Protocol):
    """Says what heartbeats carry, and takes in what they say."""

    @property
    def record(self) -> OwnerRecord:
        """The record known here."""

    def news_for(self, incarnation: str) -> OwnerRecord | None:
        """Returns the record if a peer's is known to be older."""

    def grants(self) -> tuple[Grant, ...]:
        """Returns the grants to deputies."""

    def used(self) -> tuple[Used, ...]:
        """Returns the slots used as a deputy."""

    def partners(self) -> set[str]:
        """Returns the control addresses to send every heartbeat to."""

    def hear(self, heard: Heard) -> None:
        """Takes in a message, before it is answered."""


class NoOwnership:
    """The link of an instance without upstreams."""

    record = OwnerRecord()

    def __repr__(self) -> str:
        """Returns the constructor call."""
        return 'NoOwnership()'

    def news_for(self, incarnation: str) -> OwnerRecord | None:
        """Returns None."""

    def grants(self) -> tuple[Grant, ...]:
        """Returns no grants."""
        return ()

    def used(self) -> tuple[Used, ...]:
        """Returns no slots."""
        return ()

    def partners(self) -> set[str]:
        """Returns no addresses."""
        return set()

    def hear(self, heard: Heard) -> None:
        """Does nothing."""
