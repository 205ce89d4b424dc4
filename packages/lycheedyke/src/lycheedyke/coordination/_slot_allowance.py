"""How many slots of an upstream an instance may use at a time.

The owner may use all slots while its deputy is known to hear it, and
S - S // 2 without that; the deputy S // 2 after a long silence of the owner.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.coordination._ownership_exchange import ReceivedMessage
from lycheedyke.protocol import OwnerPair, OwnerRecord, SlotGrant

LOWER_AFTER = timedelta(seconds=1)
RUN_MARGIN = timedelta(milliseconds=250)


class Contact:
    """The last messages of one incarnation."""

    def __init__(self) -> None:
        """Makes a contact that was never heard."""
        self.heard: timedelta | None = None
        self.acknowledged: timedelta | None = None
        self.used: dict[str, int] = {}
        self.epoch = 0

    def __repr__(self) -> str:
        """Returns the times."""
        return f'<Contact heard {self.heard}, knows {self.acknowledged}>'


class _Part(NamedTuple):
    """A pair with the time and the epoch at which it became known."""

    pair: OwnerPair
    learned: timedelta
    epoch: int


class UpstreamLimits(NamedTuple):
    """The size of an upstream.

    Attributes:
        slots: requests that it can run at a time.
        run_limit: the longest time that a request may run.
    """

    slots: int
    run_limit: timedelta


class SlotAllowance:
    """What one incarnation may use under the record that it knows.

    Args:
        own: the own incarnation.
        clock: measures silence.
    """

    def __init__(self, own: str, clock: Clock) -> None:
        """Makes rights to nothing."""
        self.record = OwnerRecord()
        self._own = own
        self._clock = clock
        self._parts: dict[str, _Part] = {}
        self._contacts: dict[str, Contact] = {}
        self._first_known: dict[str, timedelta] = {}
        self._deaths: dict[str, timedelta] = {}
        self._proposed: set[str] = set()
        self._reserved: dict[str, int] = {}
        self._granted: dict[str, int] = {}
        self._received: dict[str, int] = {}

    def __repr__(self) -> str:
        """Returns the own incarnation and the epoch."""
        return f'<Rights of {self._own} at epoch {self.record.epoch}>'

    def apply_record(self, record: OwnerRecord) -> bool:
        """Takes in a record of a higher epoch; returns whether it was."""
        if record.epoch <= self.record.epoch:
            return False
        now = self._clock.elapsed()
        for name, pair in record.pairs.items():
            part = self._parts.get(name)
            if part is None or part.pair != pair or name in self._proposed:
                self._parts[name] = _Part(pair, now, record.epoch)
                self._reserved.pop(name, None)
                self._granted.pop(name, None)
                self._received.pop(name, None)
        for name in self._parts.keys() - record.pairs.keys():
            self._parts.pop(name)
        for incarnation in record.addresses:
            self._first_known.setdefault(incarnation, now)
        self._proposed.clear()
        self.record = record
        return True

    def receive(self, heard: ReceivedMessage) -> None:
        """Takes in a message of a peer."""
        message = heard.message
        sender = message.incarnation
        contact = self._contacts.setdefault(sender, Contact())
        contact.heard = self._clock.elapsed()
        contact.epoch = message.owner_epoch
        self._receive(sender, message.owner_epoch, message.grants)
        if heard.sent is None:
            return
        contact.acknowledged = heard.sent
        contact.used = {used.upstream: used.slots for used in message.used}
        if heard.address:
            self._bury(heard.address, sender, heard.sent)

    def record_end(self, incarnation: str) -> None:
        """Takes in the proof that an incarnation has ended."""
        self._deaths.setdefault(incarnation, self._clock.elapsed())

    def silence(self, incarnation: str) -> timedelta | None:
        """Returns the time since its last message; None before the first."""
        contact = self._contacts.get(incarnation)
        if contact is None or contact.heard is None:
            return None
        return self._clock.elapsed() - contact.heard

    def has_ended(self, incarnation: str) -> bool:
        """Returns whether an incarnation is proven dead."""
        return incarnation in self._deaths

    def has_work_ended(self, incarnation: str, run_limit: timedelta) -> bool:
        """Returns whether it is dead and all its work must have ended."""
        died = self._deaths.get(incarnation)
        if died is None:
            return False
        return self._clock.elapsed() >= died + run_limit + RUN_MARGIN

    def is_responsive(self, incarnation: str) -> bool:
        """Returns whether an incarnation acknowledged a late heartbeat."""
        contact = self._contacts.get(incarnation)
        if contact is None or contact.acknowledged is None:
            return False
        return self._clock.elapsed() - contact.acknowledged < LOWER_AFTER

    def mark_proposed(self, name: str) -> None:
        """Gives up, before a write, what it could take from this side.

        It stays so until a later record is known, as the write may take
        effect at any time until then.
        """
        self._proposed.add(name)

    def reserve(self, name: str, slots: int) -> int:
        """Stops using slots until the record changes; returns how many."""
        self._reserved[name] = max(slots, self._reserved.get(name, 0))
        return self._reserved[name]

    def grant(self, name: str, slots: int) -> None:
        """Leaves free slots to the deputy until the record changes."""
        self._granted[name] = max(slots, self.granted(name))
        self.reserve(name, slots)

    def granted(self, name: str) -> int:
        """Returns the slots left to the deputy."""
        return self._granted.get(name, 0)

    def newer_record_for(self, incarnation: str) -> OwnerRecord | None:
        """Returns the record if a peer's is known to be older."""
        contact = self._contacts.get(incarnation)
        if contact is None or contact.epoch >= self.record.epoch:
            return None
        return self.record

    def deputy_addresses(self) -> set[str]:
        """Returns the control addresses of the own deputies."""
        addresses = self.record.addresses
        return {
            addresses[part.pair.deputy]
            for part in self._parts.values()
            if part.pair.owner == self._own and part.pair.deputy
        }

    def deputy_upstreams(self) -> list[str]:
        """Returns the upstreams whose deputy this incarnation is."""
        return [
            name
            for name, part in self._parts.items()
            if part.pair.deputy == self._own
        ]

    def grants(self) -> tuple[SlotGrant, ...]:
        """Returns all grants to deputies."""
        return tuple(
            SlotGrant(name, self._parts[name].pair.deputy, slots)
            for name, slots in self._granted.items()
        )

    def usable_slots(self, name: str, size: UpstreamLimits) -> int:
        """Returns the slots of an upstream that may be used right now."""
        part = self._parts.get(name)
        if part is None:
            return 0
        if part.pair.owner == self._own:
            own = self._count_as_owner(name, part.pair.deputy, size)
            reserved = self._reserved.get(name, 0)
            return max(0, min(own, size.slots - reserved))
        if part.pair.deputy == self._own and name not in self._proposed:
            received = min(size.slots, self._received.get(name, 0))
            return max(received, self._count_as_deputy(part, size))
        return 0

    def _count_as_owner(
        self, name: str, deputy: str, size: UpstreamLimits
    ) -> int:
        lowered = size.slots - size.slots // 2
        if name in self._proposed:
            return lowered
        if not deputy or self.has_work_ended(deputy, size.run_limit):
            return size.slots
        if self.is_responsive(deputy):
            return size.slots - self._contacts[deputy].used.get(name, 0)
        return lowered

    def _count_as_deputy(self, part: _Part, size: UpstreamLimits) -> int:
        if self.has_work_ended(part.pair.owner, size.run_limit):
            return size.slots
        contact = self._contacts.get(part.pair.owner)
        heard = contact.heard if contact and contact.heard else part.learned
        silent_since = max(heard, part.learned)
        if self._clock.elapsed() - silent_since >= takeover_delay(
            size.run_limit
        ):
            return size.slots // 2
        return 0

    def _receive(
        self,
        owner: str,
        epoch: int,
        grants: Iterable[SlotGrant],
    ) -> None:
        for name, deputy, slots in map(_grant_fields, grants):
            part = self._parts.get(name)
            if part is None or part.pair != OwnerPair(owner, self._own):
                continue
            if deputy == self._own and epoch >= part.epoch:
                self._received[name] = max(
                    slots,
                    self._received.get(name, 0),
                )

    def _bury(self, address: str, living: str, asked: timedelta) -> None:
        for incarnation, held in self.record.addresses.items():
            is_older = self._first_known[incarnation] < asked
            if held == address and incarnation != living and is_older:
                self.record_end(incarnation)


def takeover_delay(run_limit: timedelta) -> timedelta:
    """Returns the silence of an owner after which its deputy takes over."""
    return LOWER_AFTER + run_limit + RUN_MARGIN


def _grant_fields(grant: SlotGrant) -> tuple[str, str, int]:
    return grant.upstream, grant.deputy, grant.slots
