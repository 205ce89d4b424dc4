"""Tickets from peers, the call budget, and who watches."""

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


class StillClock(SystemClock):
    """Time that passes only by waiting."""

    def __init__(self) -> None:
        self.passed = timedelta()

    def elapsed(self) -> timedelta:
        return self.passed

    async def sleep(self, duration: timedelta) -> None:
        self.passed += duration
        await asyncio.sleep(0)


def _info(name: str) -> InstanceInfo:
    return InstanceInfo(name, name, 'norr-a', 'norr', '', '', '')


def _spread(log: TicketLog) -> TicketReplication:
    return TicketReplication(
        log,
        tuple,
        MessageCodec(b'secret'),
        StillClock(),
        lambda _: None,
        routes={},
    )


def _document(number: int, note: str = '') -> bytes:
    ticket = Ticket(f'a{number}', number, note=note, zones={'z': Zone('norr')})
    return encode_ticket(ticket)


def test_replies_are_whole_bounded_and_name_the_newest() -> None:
    """A reply stays under the message limit; forgotten tickets are named."""
    log = TicketLog(lambda _: None)
    for number in range(1, COUNT + 1):
        document = _document(number, 'x' * 1000) + b' ' * 20_000
        assert log.apply(number, document)
    spread = _spread(log)
    reply = spread.answer_tickets(TicketsRequest(COUNT - 100))
    assert (reply.first, reply.newest) == (COUNT - 99, COUNT)
    assert 1 < len(reply.documents) < 100
    assert len(MessageCodec(b'secret').encode_control_message(reply)) < 2**20
    forgotten = spread.answer_tickets(TicketsRequest(0))
    assert (forgotten.documents, forgotten.newest) == ((), COUNT)
    part = spread.answer_snapshot(SnapshotRequest(0, 0))
    assert (part.number, part.count) == (COUNT, 1)
    later = spread.answer_snapshot(SnapshotRequest(COUNT - 1, 0))
    assert later.count == 0


@given(st.sets(st.integers(0, 99).map(str), min_size=1), st.data())
def test_watchers_change_only_with_their_own(
    names: set[str],
    data: st.DataObject,
) -> None:
    """Two watch; the loss of another instance changes no watcher."""
    infos = [_info(name) for name in sorted(names)]
    before = watchers_of(infos)
    assert len(before) == min(2, len(infos))
    lost = data.draw(st.sampled_from(infos))
    after = watchers_of([info for info in infos if info != lost])
    assert set(before) - {lost} <= set(after)


@given(st.integers(1, 5), st.integers(1, 8), st.integers(1, 40))
def test_budget_bounds_the_calls(rate: int, burst: int, calls: int) -> None:
    """In any time, at most the burst and what returned is taken."""

    async def take() -> None:
        clock = StillClock()
        budget = RateLimiter(clock, rate, burst)
        for taken in range(1, calls + 1):
            waited = await budget.acquire()
            seconds = clock.elapsed().total_seconds()
            # Each wait is rounded to a microsecond.
            assert taken <= burst + rate * (seconds + taken * 1e-6)
            assert waited == (taken > burst)

    asyncio.run(take())


def test_all_but_watchers_leave_the_platform_alone() -> None:
    """An hour of an instance that does not watch takes few calls."""

    class Idle:
        async def step(self) -> None:
            raise AssertionError('no snapshot is due')

    async def follow() -> int:
        clock = StillClock()
        platform = MemoryPlatform(MemoryStore())
        reader = LogReader(TicketLog(lambda _: None), platform)
        follower = TicketFollower(
            reader,
            Idle(),  # type: ignore[arg-type]
            clock,
            lambda: False,
            lambda _: None,
        )
        while clock.elapsed() < timedelta(hours=1):
            await follower.step()
        return platform.calls

    # Two calls (head and range) at least every 30 s.
    assert asyncio.run(follow()) <= 2 * 120 + 2
