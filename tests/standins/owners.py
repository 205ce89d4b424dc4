"""Entries with real owners of upstreams, over a fake platform."""

from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, cast

from lycheedyke.coordination import (
    Members,
    OwnershipManager,
    ReceivedMessage,
    UpstreamLimits,
    ZoneState,
)
from lycheedyke.exceptions import (
    PlatformError,
    PlatformUnreachable,
    WriteConflict,
)
from lycheedyke.protocol import (
    Heartbeat,
    HeartbeatReply,
    InstanceInfo,
    PlatformClient,
    PlatformEntry,
)
from lycheedyke.state import Counters

MS = timedelta(milliseconds=1)
RUN_LIMIT = 1000 * MS
SIZES = {
    'kassa-1': UpstreamLimits(9, RUN_LIMIT),
    'shoe-desk-1': UpstreamLimits(3, RUN_LIMIT),
}
NAME = 'kassa-1'
SLOTS = SIZES[NAME].slots
SEATS = 4


class FakePlatform:
    """One key with compare-and-swap; its writes may be lost or late."""

    def __init__(self) -> None:
        self.mode = 'ok'
        self.entry: PlatformEntry | None = None
        self.late: list[tuple[bytes, int]] = []

    async def get(self, key: str) -> PlatformEntry | None:
        if self.mode == 'down':
            raise PlatformUnreachable('down')
        return self.entry

    async def replace(self, key: str, content: bytes, *, revision: int) -> int:
        if self.mode == 'down':
            raise PlatformUnreachable('down')
        if self.mode == 'late':
            self.late.append((content, revision))
            raise PlatformUnreachable('late')
        self.land(content, revision)
        if self.mode == 'lost':
            raise PlatformUnreachable('lost')
        return revision + 1

    def land(self, content: bytes, revision: int) -> None:
        if revision != (self.entry.revision if self.entry else 0):
            raise WriteConflict('revision')
        self.entry = PlatformEntry('owners/norr-a', content, revision + 1)


class FakeMembers:
    """What `Owners` uses of the membership."""

    def __init__(self, own: InstanceInfo) -> None:
        self.own = own
        self.ownership: Any = None


class Entry:
    """One process: real `Owners`, and the work that it has started."""

    def __init__(self, seat: int, life: int, world: Any) -> None:
        address = f'127.0.0.1:{seat + 1}'
        self.info = InstanceInfo(
            f'norr-a-{seat}', f'{seat}-{life}', 'norr-a', 'norr',
            address, address, address,
        )  # fmt: skip
        self.life = life
        self.view: set[int] = set(range(SEATS))
        self.is_alive = self.is_awake = True
        self.world = world
        self.members = FakeMembers(self.info)
        self.owners = OwnershipManager(
            cast(Members, self.members),
            cast(PlatformClient, world.platform),
            world.clock,
            Counters(),
            routes={},
        )
        self.owners.describe_zone = self.describe
        self.works: dict[str, list[timedelta]] = {name: [] for name in SIZES}

    def describe(self) -> ZoneState:
        live = [self.world.entries[seat].info for seat in sorted(self.view)]
        return ZoneState(self.info, live, SIZES, self.in_flight)

    def in_flight(self, name: str) -> int:
        now = self.world.clock.elapsed()
        self.works[name] = [end for end in self.works[name] if end > now]
        return len(self.works[name])

    def admit(self, name: str) -> None:
        while self.in_flight(name) < self.owners.allowance.usable_slots(
            name, SIZES[name]
        ):
            end = self.world.clock.elapsed() + RUN_LIMIT
            self.works[name].append(end)

    def beat(self) -> Heartbeat:
        owners = self.owners
        return Heartbeat(
            self.info.incarnation,
            1,
            owner_epoch=owners.record.epoch,
            grants=owners.grants(),
            used=owners.used(),
        )

    def answer(self, beat: Heartbeat) -> HeartbeatReply:
        owners = self.owners
        owners.receive(ReceivedMessage(beat))
        return HeartbeatReply(
            self.info.incarnation,
            1,
            owner_epoch=owners.record.epoch,
            owners=owners.newer_record_for(beat.incarnation),
            grants=owners.grants(),
            used=owners.used(),
        )

    def take(
        self,
        reply: HeartbeatReply,
        sent: timedelta,
        answerer: InstanceInfo,
    ) -> None:
        self.owners.receive(
            ReceivedMessage(reply, sent, answerer.control_address)
        )

    def improve(self) -> None:
        try:
            finish(self.owners.reconcile())
        except PlatformError:
            return


def finish(coroutine: Coroutine[Any, Any, None]) -> None:
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError('it waits')
