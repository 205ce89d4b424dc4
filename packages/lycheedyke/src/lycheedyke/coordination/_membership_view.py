"""The part of the membership that zone summaries need."""

from collections.abc import Callable
from typing import Protocol

from lycheedyke.coordination._peers import Peer
from lycheedyke.coordination._summaries import OwnState
from lycheedyke.protocol import InstanceInfo


class MembershipView(Protocol):
    """The part of the membership that summaries are made from."""

    own: InstanceInfo
    service_of: Callable[[str], str]

    @property
    def state(self) -> OwnState:
        """The state that this instance sends to its zone."""

    @property
    def addresses(self) -> set[str]:
        """The control addresses that have a heartbeat task."""

    def live_in_zone(self) -> list[Peer]:
        """Returns the live peers of the own zone."""

    def start_heartbeats(self, address: str) -> None:
        """Starts the heartbeat task for an address of the own zone."""
