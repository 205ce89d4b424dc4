"""Tests tickets from peers, the call budget, and the choice of watchers."""

import asyncio
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.clock import SystemClock
from lycheedyke.coordination import (
    LogReader,
    TicketFollower,
    TicketLog,
    TicketReplication,
    watchers_of,
)
from lycheedyke.protocol import (
    InstanceInfo,
    MessageCodec,
    RateLimiter,
    SnapshotRequest,
    Ticket,
    TicketsRequest,
    Zone,
    encode_ticket,
)
from standins.memory_platform import MemoryPlatform, MemoryStore

COUNT = 600


class VirtualClock(SystemClock):
    """A clock whose time passes only by waiting."""

    def __init__(self) -> None:
        self.passed = timedelta()

    def elapsed(self) -> timedelta:
        return self.passed

    async def sleep(self, duration: timedelta) -> None:
        self.passed += duration
        await asyncio.sleep(0)


def _info(name: str) -> InstanceInfo:
    return InstanceInfo(name, name, 'norr-a', 'norr', '', '', '')


def _make_replication(log: TicketLog) -> TicketReplication:
    return TicketReplication(
        log,
        tuple,
        MessageCodec(b'secret'),
        VirtualClock(),
        lambda _: None,
        routes={},
    )


def _document(number: int, note: str = '') -> bytes:
    ticket = Ticket(f'a{number}', number, note=note, zones={'z': Zone('norr')})
    return encode_ticket(ticket)


def test_replies_are_whole_bounded_and_name_the_newest() -> None:
    """A reply stays under the message limit, and names the newest ticket."""
    log = TicketLog(lambda _: None)
    for number in range(1, COUNT + 1):
        document = _document(number, 'x' * 1000) + b' ' * 20_000
        assert log.apply(number, document)
    replication = _make_replication(log)
    reply = replication.answer_tickets(TicketsRequest(COUNT - 100))
    assert (reply.first, reply.newest) == (COUNT - 99, COUNT)
    assert 1 < len(reply.documents) < 100
    assert len(MessageCodec(b'secret').encode_control_message(reply)) < 2**20
    trimmed = replication.answer_tickets(TicketsRequest(0))
    assert (trimmed.documents, trimmed.newest) == ((), COUNT)
    part = replication.answer_snapshot(SnapshotRequest(0, 0))
    assert (part.number, part.count) == (COUNT, 1)
    later = replication.answer_snapshot(SnapshotRequest(COUNT - 1, 0))
    assert later.count == 0


@given(st.sets(st.integers(0, 99).map(str), min_size=1), st.data())
def test_watchers_change_only_with_their_own(
    names: set[str],
    data: st.DataObject,
) -> None:
    """Two instances watch; the loss of another one changes no watcher."""
    infos = [_info(name) for name in sorted(names)]
    before = watchers_of(infos)
    assert len(before) == min(2, len(infos))
    lost = data.draw(st.sampled_from(infos))
    after = watchers_of([info for info in infos if info != lost])
    assert set(before) - {lost} <= set(after)


@given(st.integers(1, 5), st.integers(1, 8), st.integers(1, 40))
def test_budget_bounds_the_calls(rate: int, burst: int, calls: int) -> None:
    """Calls never exceed the burst plus the rate times the passed time."""

    async def run() -> None:
        clock = VirtualClock()
        budget = RateLimiter(clock, rate, burst)
        for calls_made in range(1, calls + 1):
            waited = await budget.acquire()
            seconds = clock.elapsed().total_seconds()
            # Each wait is rounded to a microsecond.
            assert calls_made <= burst + rate * (seconds + calls_made * 1e-6)
            assert waited == (calls_made > burst)

    asyncio.run(run())


def test_all_but_watchers_leave_the_platform_alone() -> None:
    """An instance that does not watch makes few calls in an hour."""

    class IdleSnapshotter:
        async def step(self) -> None:
            raise AssertionError('no snapshot is due')

    async def follow() -> int:
        clock = VirtualClock()
        platform = MemoryPlatform(MemoryStore())
        reader = LogReader(TicketLog(lambda _: None), platform)
        follower = TicketFollower(
            reader,
            IdleSnapshotter(),  # type: ignore[arg-type]
            clock,
            lambda: False,
            lambda _: None,
        )
        while clock.elapsed() < timedelta(hours=1):
            await follower.step()
        return platform.calls

    # Two calls (head and range) per read, at intervals of at least 30 s.
    assert asyncio.run(follow()) <= 2 * 120 + 2
