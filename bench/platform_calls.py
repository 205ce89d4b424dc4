"""Measures calls to the platform and the spread of tickets.

Run as `PYTHONPATH=tests python -m bench.platform_calls [ZONES] [PER_ZONE ...]`. Followers,
readers, writers and snapshotters are the real ones; the platform is in
memory, heartbeats and peers' answers are direct calls in one process, and
time runs faster by a factor. Figures are in the followers' time.
"""

import asyncio
import random
import sys
import time
from datetime import timedelta

from lycheedyke.clock import SystemClock
from lycheedyke.coordination import (
    LogReader,
    LogWriter,
    Snapshotter,
    TicketFollower,
    TicketLog,
    TicketReplication,
    watchers_of,
)
from lycheedyke.protocol import (
    InstanceInfo,
    MessageCodec,
    Ticket,
    TicketsRequest,
    Zone,
)
from standins.memory_platform import MemoryPlatform, MemoryStore

SPEED = 5.0
HEARTBEAT = timedelta(milliseconds=250)
CALM = timedelta(seconds=60)
OUTAGE = timedelta(seconds=60)
RECOVERY = timedelta(seconds=20)
TICKETS = 10
TICKET_INTERVAL = timedelta(seconds=4)


class FastClock(SystemClock):
    """Runs faster than the system's clock."""

    def elapsed(self) -> timedelta:
        """Returns the faster time."""
        return super().elapsed() * SPEED

    async def sleep(self, duration: timedelta) -> None:
        """Waits for less."""
        await asyncio.sleep(duration.total_seconds() / SPEED)


class Seat:
    """One instance."""

    def __init__(self, fleet: 'Fleet', zone: str, index: int) -> None:
        """Wires the real parts to the store in memory."""
        self.platform = MemoryPlatform(fleet.store)
        self.platform.time_factor = SPEED
        name = f'{zone}-{index}'
        self.info = InstanceInfo(name, name, zone, zone, '', '', '')
        self.log = TicketLog(lambda _: None)
        reader = LogReader(self.log, self.platform)
        clock = fleet.clock
        self.writer = LogWriter(self.log, reader, self.platform, clock)
        self.follower = TicketFollower(
            reader,
            Snapshotter(self.log, reader, self.platform, clock),
            clock,
            lambda: self.info in fleet.watchers[zone],
            lambda _: None,
        )
        self.spread = TicketReplication(
            self.log,
            tuple,
            MessageCodec(b'bench'),
            clock,
            lambda _: None,
            routes={},
        )


class Fleet:
    """All instances, and the sum of their calls."""

    def __init__(self, zones: int, per_zone: int) -> None:
        """Makes the instances of all zones."""
        self.clock = FastClock()
        self.store = MemoryStore()
        self.seats = [
            Seat(self, f'zone-{zone}', index)
            for zone in range(zones)
            for index in range(per_zone)
        ]
        self.watchers = {
            zone: watchers_of(
                [seat.info for seat in self.seats if seat.info.zone == zone],
            )
            for zone in sorted({seat.info.zone for seat in self.seats})
        }

    def calls(self) -> int:
        """Returns all calls so far."""
        return sum(seat.platform.calls for seat in self.seats)

    async def beat(self) -> None:
        """Lets each instance learn from a random peer that is ahead."""
        while True:
            for seat in self.seats:
                peer = random.choice(self.seats)
                if peer.log.number > seat.log.number:
                    asked = TicketsRequest(seat.log.number)
                    reply = peer.spread.answer_tickets(asked)
                    for number, each in enumerate(reply.documents, reply.first):
                        seat.log.apply(number, each)
            await self.clock.sleep(HEARTBEAT)

    async def measure(self, label: str, duration: timedelta) -> None:
        """Prints the mean and the highest rate of calls over a time."""
        begin, first = self.clock.elapsed(), self.calls()
        last, peak = first, 0
        while self.clock.elapsed() - begin < duration:
            await self.clock.sleep(timedelta(seconds=1))
            now = self.calls()
            peak = max(peak, now - last)
            last = now
        spent = (self.clock.elapsed() - begin).total_seconds()
        rate = (last - first) / spent
        print(
            f'  {label}: {rate:.1f} calls/s, peak {peak} in 1 s, '
            f'{rate / len(self.seats):.4f}/s each',
        )


async def _apply(fleet: Fleet) -> list[float]:
    delays = []
    for index in range(TICKETS):
        entry = random.choice(fleet.seats)
        ticket = Ticket(
            f'author-{index}',
            entry.log.number,
            zones={f'z-{index}': Zone('norr')},
        )
        number = await entry.writer.apply(ticket)
        begin = fleet.clock.elapsed()
        while any(seat.log.number < number for seat in fleet.seats):
            await fleet.clock.sleep(timedelta(milliseconds=20))
        delays.append((fleet.clock.elapsed() - begin).total_seconds())
        await fleet.clock.sleep(TICKET_INTERVAL)
    return delays


async def _run(zones: int, per_zone: int) -> None:
    fleet = Fleet(zones, per_zone)
    print(f'{len(fleet.seats)} instances in {zones} zones')
    begin = time.process_time()
    tasks = [
        asyncio.create_task(seat.follower.follow()) for seat in fleet.seats
    ]
    tasks.append(asyncio.create_task(fleet.beat()))
    await fleet.measure('start', timedelta(seconds=5))
    await fleet.measure('calm', CALM)
    first = fleet.calls()
    delays = sorted(await _apply(fleet))
    count = (fleet.calls() - first) / TICKETS
    print(
        f'  ticket: {count:.0f} calls each (with {TICKET_INTERVAL.seconds} s '
        f'of calm), in force everywhere after {delays[len(delays) // 2]:.2f} '
        f's median, {delays[-1]:.2f} s at most',
    )
    for seat in fleet.seats:
        seat.platform.down = True
    async with fleet.store.changed:
        fleet.store.changed.notify_all()
    await fleet.measure('outage', OUTAGE)
    for seat in fleet.seats:
        seat.platform.down = False
    await fleet.measure('recovery', RECOVERY)
    print(f'  processor {time.process_time() - begin:.1f} s for the fleet')
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main() -> None:
    """Measures fleets of each size."""
    zones = int(sys.argv[1]) if len(sys.argv) > 1 else 22
    sizes = [int(size) for size in sys.argv[2:]] or [2, 5, 10, 27]
    for per_zone in sizes:
        asyncio.run(_run(zones, per_zone))


if __name__ == '__main__':
    main()
