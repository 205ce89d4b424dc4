"""Tests operators, instances and a faulty platform against a simple model.

In the model, an instance has the whole state as of some accepted number, and
that number never decreases; each accepted ticket is in the log once.
"""

import asyncio
from datetime import datetime, timedelta
from typing import Any

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lycheedyke.clock import SystemClock
from lycheedyke.coordination import (
    LogReader,
    LogWriter,
    Snapshotter,
    TicketLog,
    TicketReplication,
)
from lycheedyke.exceptions import (
    CoordinationError,
    PlatformError,
    TicketConflict,
    TicketInvalid,
    TicketNotAccepted,
    TicketOutcomeUnknown,
    TicketOutdated,
)
from lycheedyke.protocol import (
    MessageCodec,
    Snapshot,
    SnapshotRequest,
    Ticket,
    TicketsReply,
    TicketsRequest,
    Zone,
    decode_snapshot,
)
from standins.memory_platform import MemoryPlatform, MemoryStore

START = datetime(2026, 1, 1).astimezone()
TICKETS_PER_SNAPSHOT = 1
KEPT_TICKETS = 0


class VirtualClock(SystemClock):
    """A clock whose time passes only by waiting."""

    def __init__(self) -> None:
        self.passed = timedelta()

    def now(self) -> datetime:
        return START + self.passed

    def elapsed(self) -> timedelta:
        return self.passed

    async def sleep(self, duration: timedelta) -> None:
        self.passed += duration
        await asyncio.sleep(0)


class Instance:
    """A ticket log of one instance with its reader and writers."""

    def __init__(self, store: MemoryStore, clock: VirtualClock) -> None:
        self.platform = MemoryPlatform(store)
        self.log = TicketLog(lambda _: None)
        self.reader = LogReader(self.log, self.platform)
        limit = timedelta(milliseconds=10)
        self.writer = LogWriter(
            self.log, self.reader, self.platform, clock, limit
        )
        self.snapshotter = Snapshotter(
            self.log,
            self.reader,
            self.platform,
            clock,
            every=TICKETS_PER_SNAPSHOT,
            kept=KEPT_TICKETS,
        )
        self.replication = TicketReplication(
            self.log,
            tuple,
            MessageCodec(b'secret'),
            clock,
            lambda _: None,
            routes={},
        )
        self.highest = 0

    def fetch_from(self, other: 'Instance') -> TicketsReply | Snapshot:
        request = TicketsRequest(self.log.number)
        reply = other.replication.answer_tickets(request)
        if reply.documents or other.log.number <= self.log.number:
            return reply
        parts: list[bytes] = []
        count = 1
        while len(parts) < count:
            part_request = SnapshotRequest(0, len(parts))
            part = other.replication.answer_snapshot(part_request)
            count = part.count
            parts.append(part.part)
        return decode_snapshot(parts)

    def apply_reply(self, reply: TicketsReply | Snapshot) -> None:
        if isinstance(reply, Snapshot):
            self.log.restore(reply)
            return
        for number, document in enumerate(reply.documents, reply.first):
            self.log.apply(number, document)


indexes = st.integers(0, 2)
names = st.sampled_from(['a', 'b', 'c'])


class TicketMachine(RuleBasedStateMachine):
    """Three instances, one store, and the results that operators got."""

    @initialize()
    def start(self) -> None:
        self.clock = VirtualClock()
        self.store = MemoryStore()
        self.instances = [Instance(self.store, self.clock) for _ in range(3)]
        self.past_entries: list[dict[str, Any]] = [{}]
        self.replies: list[TicketsReply | Snapshot] = []
        self.states: dict[int, dict[str, str]] = {0: {}}
        self.authors: dict[str, Ticket] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.not_accepted: set[str] = set()

    @rule(index=indexes, name=names, behind=st.integers(0, 2), other=indexes)
    def hand_in(self, index: int, name: str, behind: int, other: int) -> None:
        author = f'author-{len(self.authors)}'
        base = max(0, self.instances[other].log.number - behind)
        region = f'region-{len(self.authors)}'
        ticket = Ticket(author, base, zones={name: Zone(region)})
        self.authors[author] = ticket
        self._apply(index, ticket, is_first=True)

    @rule(index=indexes, data=st.data())
    def hand_in_again(self, index: int, data: st.DataObject) -> None:
        if self.authors:
            author = data.draw(st.sampled_from(sorted(self.authors)))
            self._apply(index, self.authors[author])

    def _apply(
        self,
        index: int,
        ticket: Ticket,
        *,
        is_first: bool = False,
    ) -> None:
        try:
            number = asyncio.run(self.instances[index].writer.apply(ticket))
        except (TicketConflict, TicketInvalid, TicketOutdated) as error:
            assert ticket.author not in self.accepted, error
            if isinstance(error, TicketConflict):
                assert error.winner > ticket.based_on
            self.refused.add(ticket.author)
        except TicketNotAccepted:
            if is_first:
                self.not_accepted.add(ticket.author)
        except CoordinationError as error:
            assert isinstance(error, TicketOutcomeUnknown)
            # A later call may be accepted, though the first one was not.
            self.not_accepted.discard(ticket.author)
        else:
            assert self.accepted.setdefault(ticket.author, number) == number
            self.refused.discard(ticket.author)
            self.not_accepted.discard(ticket.author)

    @rule(index=indexes)
    def read(self, index: int) -> None:
        try:
            asyncio.run(self.instances[index].reader.read())
        except PlatformError:
            return

    @rule(index=indexes)
    def write_snapshot(self, index: int) -> None:
        self.clock.passed += timedelta(seconds=5)
        try:
            asyncio.run(self.instances[index].snapshotter.step())
        except PlatformError:
            return

    @rule(index=indexes, other=indexes)
    def ask_peer(self, index: int, other: int) -> None:
        reply = self.instances[index].fetch_from(self.instances[other])
        self.replies.append(reply)
        self.instances[index].apply_reply(reply)

    @rule(index=indexes, data=st.data())
    def get_late_reply(self, index: int, data: st.DataObject) -> None:
        if self.replies:
            reply = data.draw(st.sampled_from(self.replies))
            self.instances[index].apply_reply(reply)

    @rule(index=indexes, name=names, count=st.integers(2, 4))
    def grow(self, index: int, name: str, count: int) -> None:
        for _ in range(count):
            self.hand_in(index, name, 0, index)
            self.write_snapshot(index)

    @rule(index=indexes)
    def replace(self, index: int) -> None:
        self.instances[index] = Instance(self.store, self.clock)

    @rule(index=indexes, fault=st.sampled_from(['', 'down', 'lose', 'both']))
    def fault(self, index: int, fault: str) -> None:
        platform = self.instances[index].platform
        platform.down = fault == 'down'
        platform.lose_responses = fault in {'lose', 'both'}
        platform.down_after_loss = fault == 'both'

    @rule(index=indexes, data=st.data())
    def answer_old(self, index: int, data: st.DataObject) -> None:
        stale = data.draw(
            st.sampled_from([None, *range(len(self.past_entries))])
        )
        platform = self.instances[index].platform
        platform.stale_entries = (
            None if stale is None else self.past_entries[stale]
        )

    @invariant()
    def record_past_entries(self) -> None:
        self.past_entries.append(dict(self.store.entries))

    @invariant()
    def state_is_that_of_its_number(self) -> None:
        for instance in self.instances:
            assert instance.log.number >= instance.highest
            instance.highest = instance.log.number
            zones = instance.log.configuration.zones
            state = {name: zone.region for name, zone in zones.items()}
            known = self.states.setdefault(instance.log.number, state)
            assert state == known

    @invariant()
    def accepted_once_and_found(self) -> None:
        # All instances that know a number know the same author for it.
        holders: dict[int, str] = {}
        for instance in self.instances:
            for record in instance.log.history.records:
                author = holders.setdefault(record.number, record.author)
                assert author == record.author
        assert len(set(holders.values())) == len(holders)
        for author, number in self.accepted.items():
            assert holders.get(number, author) == author

    def teardown(self) -> None:
        if not hasattr(self, 'instances'):
            return
        fresh = Instance(self.store, self.clock)
        asyncio.run(fresh.reader.read())
        newest = max(instance.log.number for instance in self.instances)
        assert fresh.log.number >= newest
        for author, number in self.accepted.items():
            record = fresh.log.find(author)
            assert record is not None
            assert record.number == number
        self._check_bases(fresh)
        for author in self.refused | self.not_accepted:
            assert fresh.log.find(author) is None

    def _check_bases(self, fresh: Instance) -> None:
        # No ticket was accepted after a conflicting change that was not in
        # its base.
        last: dict[str, int] = {}
        for record in fresh.log.history.records:
            for name in record.touches:
                base = self.authors[record.author].based_on
                assert base >= last.get(name, 0), record
                last[name] = record.number


TestTicketMachine = TicketMachine.TestCase
TestTicketMachine.settings = settings(max_examples=300)
