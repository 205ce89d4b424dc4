"""Entry instances with real ownership managers and a fake platform."""

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
UPSTREAM_LIMITS = {
    'kassa-1': UpstreamLimits(9, RUN_LIMIT),
    'shoe-desk-1': UpstreamLimits(3, RUN_LIMIT),
}
UPSTREAM = 'kassa-1'
UPSTREAM_SLOTS = UPSTREAM_LIMITS[UPSTREAM].slots
INSTANCE_COUNT = 4


class FakePlatform:
    """One key with compare-and-swap.

    `mode` selects the fault: `down` (calls fail), `late` (a write is held in
    `delayed_writes` and fails) or `lost` (a write is applied, but fails).
    """

    def __init__(self) -> None:
        self.mode = 'ok'
        self.entry: PlatformEntry | None = None
        self.delayed_writes: list[tuple[bytes, int]] = []

    async def get(self, key: str) -> PlatformEntry | None:
        if self.mode == 'down':
            raise PlatformUnreachable('down')
        return self.entry

    async def replace(self, key: str, content: bytes, *, revision: int) -> int:
        if self.mode == 'down':
            raise PlatformUnreachable('down')
        if self.mode == 'late':
            self.delayed_writes.append((content, revision))
            raise PlatformUnreachable('late')
        self.apply_write(content, revision)
        if self.mode == 'lost':
            raise PlatformUnreachable('lost')
        return revision + 1

    def apply_write(self, content: bytes, revision: int) -> None:
        if revision != (self.entry.revision if self.entry else 0):
            raise WriteConflict('revision')
        self.entry = PlatformEntry('owners/norr-a', content, revision + 1)


class FakeMembers:
    """The part of the membership that `OwnershipManager` uses."""

    def __init__(self, own: InstanceInfo) -> None:
        self.own = own
        self.ownership: Any = None


class SimulatedEntry:
    """One entry instance with a real `OwnershipManager`.

    `work_ends` holds when the work that it admitted ends, by upstream.
    """

    def __init__(self, index: int, run_number: int, simulation: Any) -> None:
        address = f'127.0.0.1:{index + 1}'
        self.info = InstanceInfo(
            f'norr-a-{index}', f'{index}-{run_number}', 'norr-a', 'norr',
            address, address, address,
        )  # fmt: skip
        self.run_number = run_number
        self.view: set[int] = set(range(INSTANCE_COUNT))
        self.is_alive = self.is_awake = True
        self.simulation = simulation
        self.members = FakeMembers(self.info)
        self.owners = OwnershipManager(
            cast(Members, self.members),
            cast(PlatformClient, simulation.platform),
            simulation.clock,
            Counters(),
            routes={},
        )
        self.owners.describe_zone = self.describe_zone
        self.work_ends: dict[str, list[timedelta]] = {
            name: [] for name in UPSTREAM_LIMITS
        }

    def describe_zone(self) -> ZoneState:
        live = [
            self.simulation.entries[index].info for index in sorted(self.view)
        ]
        return ZoneState(self.info, live, UPSTREAM_LIMITS, self.in_flight)

    def in_flight(self, name: str) -> int:
        now = self.simulation.clock.elapsed()
        self.work_ends[name] = [
            end for end in self.work_ends[name] if end > now
        ]
        return len(self.work_ends[name])

    def fill_slots(self, name: str) -> None:
        while self.in_flight(name) < self.owners.allowance.usable_slots(
            name, UPSTREAM_LIMITS[name]
        ):
            end = self.simulation.clock.elapsed() + RUN_LIMIT
            self.work_ends[name].append(end)

    def make_heartbeat(self) -> Heartbeat:
        owners = self.owners
        return Heartbeat(
            self.info.incarnation,
            1,
            owner_epoch=owners.record.epoch,
            grants=owners.grants(),
            used=owners.used(),
        )

    def answer_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        owners = self.owners
        owners.receive(ReceivedMessage(heartbeat))
        return HeartbeatReply(
            self.info.incarnation,
            1,
            owner_epoch=owners.record.epoch,
            owners=owners.newer_record_for(heartbeat.incarnation),
            grants=owners.grants(),
            used=owners.used(),
        )

    def apply_reply(
        self,
        reply: HeartbeatReply,
        sent: timedelta,
        answerer: InstanceInfo,
    ) -> None:
        self.owners.receive(
            ReceivedMessage(reply, sent, answerer.control_address)
        )

    def reconcile(self) -> None:
        try:
            run_without_waiting(self.owners.reconcile())
        except PlatformError:
            return


def run_without_waiting(coroutine: Coroutine[Any, Any, None]) -> None:
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError('the coroutine waits')
