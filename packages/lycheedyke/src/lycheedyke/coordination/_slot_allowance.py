"""Determines how many slots of an upstream an instance may use at a time.

Of S slots, the owner may use all while its deputy acknowledges its messages,
and S - S // 2 otherwise. The deputy may use S // 2 after a long silence of
the owner.
"""

import logging
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.coordination._ownership_exchange import ReceivedMessage
from lycheedyke.protocol import OwnerPair, OwnerRecord, SlotGrant

RESPONSE_TIMEOUT = timedelta(seconds=1)
RUN_MARGIN = timedelta(milliseconds=250)

_logger = logging.getLogger(__name__)


class Contact:
    """What the last messages of one incarnation reported, and their times."""

    def __init__(self) -> None:
        """Initializes a contact without messages."""
        self.received: timedelta | None = None
        self.acknowledged: timedelta | None = None
        self.used: dict[str, int] = {}
        self.epoch = 0

    def __repr__(self) -> str:
        """Returns the times of the last messages."""
        return f'<Contact received {self.received}, acked {self.acknowledged}>'


class _Assignment(NamedTuple):
    """A pair with the time and the epoch at which it became known."""

    pair: OwnerPair
    known_since: timedelta
    epoch: int


class UpstreamLimits(NamedTuple):
    """The limits of an upstream.

    Attributes:
        slots: the number of requests that it can run at a time.
        run_limit: the maximum time that a request may run.
    """

    slots: int
    run_limit: timedelta


class SlotAllowance:
    """The slots that one incarnation may use under the record it knows.

    Args:
        own: the own incarnation.
        clock: measures the silence of peers.
    """

    def __init__(self, own: str, clock: Clock) -> None:
        """Initializes the allowance without any slots."""
        self.record = OwnerRecord()
        self._own = own
        self._clock = clock
        self._assignments: dict[str, _Assignment] = {}
        self._contacts: dict[str, Contact] = {}
        self._first_known: dict[str, timedelta] = {}
        self._ended: dict[str, timedelta] = {}
        self._proposed: set[str] = set()
        self._reserved: dict[str, int] = {}
        self._granted: dict[str, int] = {}
        self._received: dict[str, int] = {}

    def __repr__(self) -> str:
        """Returns the own incarnation and the epoch."""
        return f'<SlotAllowance of {self._own} at epoch {self.record.epoch}>'

    def apply_record(self, record: OwnerRecord) -> bool:
        """Applies a record if its epoch is higher; returns whether it was."""
        if record.epoch <= self.record.epoch:
            return False
        now = self._clock.elapsed()
        for name, pair in record.pairs.items():
            assignment = self._assignments.get(name)
            if (
                assignment is None
                or assignment.pair != pair
                or name in self._proposed
            ):
                self._assignments[name] = _Assignment(pair, now, record.epoch)
                self._reserved.pop(name, None)
                self._granted.pop(name, None)
                self._received.pop(name, None)
        for name in self._assignments.keys() - record.pairs.keys():
            self._assignments.pop(name)
        for incarnation in record.addresses:
            self._first_known.setdefault(incarnation, now)
        self._proposed.clear()
        self.record = record
        return True

    def receive(self, received: ReceivedMessage) -> None:
        """Applies a message received from a peer."""
        message = received.message
        sender = message.incarnation
        self._withdraw_end(sender)
        contact = self._contacts.setdefault(sender, Contact())
        contact.received = self._clock.elapsed()
        contact.epoch = message.owner_epoch
        self._apply_grants(sender, message.owner_epoch, message.grants)
        if received.sent is None:
            return
        contact.acknowledged = received.sent
        contact.used = {used.upstream: used.slots for used in message.used}
        if received.address:
            self._record_replaced(received.address, sender, received.sent)

    def record_end(self, incarnation: str) -> None:
        """Records that an incarnation is proven to have ended."""
        self._ended.setdefault(incarnation, self._clock.elapsed())

    def silence(self, incarnation: str) -> timedelta | None:
        """Returns the time since the last message; None before the first."""
        contact = self._contacts.get(incarnation)
        if contact is None or contact.received is None:
            return None
        return self._clock.elapsed() - contact.received

    def has_ended(self, incarnation: str) -> bool:
        """Returns whether an incarnation is proven to have ended."""
        return incarnation in self._ended

    def has_work_ended(self, incarnation: str, run_limit: timedelta) -> bool:
        """Returns whether it has ended and all its work must have ended too."""
        ended = self._ended.get(incarnation)
        if ended is None:
            return False
        return self._clock.elapsed() >= ended + run_limit + RUN_MARGIN

    def is_responsive(self, incarnation: str) -> bool:
        """Returns whether an incarnation acknowledged a recent message."""
        contact = self._contacts.get(incarnation)
        if contact is None or contact.acknowledged is None:
            return False
        return self._clock.elapsed() - contact.acknowledged < RESPONSE_TIMEOUT

    def mark_proposed(self, name: str) -> None:
        """Gives up, before a write, the slots that the write may reassign.

        The slots stay given up until a later record is known, as the write
        may take effect at any time until then.
        """
        self._proposed.add(name)

    def reserve(self, name: str, slots: int) -> int:
        """Stops using slots until the record changes; returns how many."""
        self._reserved[name] = max(slots, self._reserved.get(name, 0))
        return self._reserved[name]

    def grant(self, name: str, slots: int) -> None:
        """Grants free slots to the deputy until the record changes."""
        self._granted[name] = max(slots, self.granted(name))
        self.reserve(name, slots)

    def granted(self, name: str) -> int:
        """Returns the number of slots granted to the deputy."""
        return self._granted.get(name, 0)

    def newer_record_for(self, incarnation: str) -> OwnerRecord | None:
        """Returns the record if the peer is known to have an older one."""
        contact = self._contacts.get(incarnation)
        if contact is None or contact.epoch >= self.record.epoch:
            return None
        return self.record

    def deputy_addresses(self) -> set[str]:
        """Returns the control addresses of the own deputies."""
        addresses = self.record.addresses
        return {
            addresses[assignment.pair.deputy]
            for assignment in self._assignments.values()
            if assignment.pair.owner == self._own and assignment.pair.deputy
        }

    def deputy_upstreams(self) -> list[str]:
        """Returns the upstreams whose deputy this incarnation is."""
        return [
            name
            for name, assignment in self._assignments.items()
            if assignment.pair.deputy == self._own
        ]

    def grants(self) -> tuple[SlotGrant, ...]:
        """Returns all grants to deputies."""
        return tuple(
            SlotGrant(name, self._assignments[name].pair.deputy, slots)
            for name, slots in self._granted.items()
        )

    def usable_slots(self, name: str, limits: UpstreamLimits) -> int:
        """Returns the number of an upstream's slots that may be used now."""
        assignment = self._assignments.get(name)
        if assignment is None:
            return 0
        if assignment.pair.owner == self._own:
            own = self._owner_slots(name, assignment.pair.deputy, limits)
            reserved = self._reserved.get(name, 0)
            return max(0, min(own, limits.slots - reserved))
        if assignment.pair.deputy == self._own and name not in self._proposed:
            received = min(limits.slots, self._received.get(name, 0))
            return max(received, self._deputy_slots(assignment, limits))
        return 0

    def _withdraw_end(self, incarnation: str) -> None:
        """Withdraws the proof that an incarnation has ended, as it is heard.

        A connection may have been refused on the way to it.
        """
        if self._ended.pop(incarnation, None) is not None:
            _logger.warning('end withdrawn', extra={'incarnation': incarnation})

    def _owner_slots(
        self, name: str, deputy: str, limits: UpstreamLimits
    ) -> int:
        reduced = limits.slots - limits.slots // 2
        if name in self._proposed:
            return reduced
        if not deputy or self.has_work_ended(deputy, limits.run_limit):
            return limits.slots
        if self.is_responsive(deputy):
            return limits.slots - self._contacts[deputy].used.get(name, 0)
        return reduced

    def _deputy_slots(
        self, assignment: _Assignment, limits: UpstreamLimits
    ) -> int:
        if self.has_work_ended(assignment.pair.owner, limits.run_limit):
            return limits.slots
        contact = self._contacts.get(assignment.pair.owner)
        received = (
            contact.received
            if contact and contact.received
            else assignment.known_since
        )
        silent_since = max(received, assignment.known_since)
        if self._clock.elapsed() - silent_since >= takeover_delay(
            limits.run_limit
        ):
            return limits.slots // 2
        return 0

    def _apply_grants(
        self,
        owner: str,
        epoch: int,
        grants: Iterable[SlotGrant],
    ) -> None:
        for name, deputy, slots in map(_grant_fields, grants):
            assignment = self._assignments.get(name)
            if assignment is None or assignment.pair != OwnerPair(
                owner, self._own
            ):
                continue
            if deputy == self._own and epoch >= assignment.epoch:
                self._received[name] = max(
                    slots,
                    self._received.get(name, 0),
                )

    def _record_replaced(
        self,
        address: str,
        running: str,
        sent: timedelta,
    ) -> None:
        for incarnation, held in self.record.addresses.items():
            is_older = self._first_known[incarnation] < sent
            if held == address and incarnation != running and is_older:
                self.record_end(incarnation)


def takeover_delay(run_limit: timedelta) -> timedelta:
    """Returns the silence of an owner after which its deputy takes over."""
    return RESPONSE_TIMEOUT + run_limit + RUN_MARGIN


def _grant_fields(grant: SlotGrant) -> tuple[str, str, int]:
    return grant.upstream, grant.deputy, grant.slots
