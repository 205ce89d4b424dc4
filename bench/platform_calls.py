"""Measures calls to the platform and the replication of tickets.

Run as

    PYTHONPATH=tests python -m bench.platform_calls [ZONES] [PER_ZONE ...]

Followers, readers, writers and snapshotters are the real ones. The platform
is in memory, heartbeats and replies of peers are direct calls in one process,
and the clock of the instances runs faster than real time by `TIME_FACTOR`.
Durations and rates are by that clock.
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

TIME_FACTOR = 5.0
HEARTBEAT_INTERVAL = timedelta(milliseconds=250)
IDLE_TIME = timedelta(seconds=60)
OUTAGE_TIME = timedelta(seconds=60)
RECOVERY_TIME = timedelta(seconds=20)
TICKETS = 10
TICKET_INTERVAL = timedelta(seconds=4)


class FastClock(SystemClock):
    """A clock that runs faster than real time by `TIME_FACTOR`."""

    def elapsed(self) -> timedelta:
        """Returns the elapsed time of the faster clock."""
        return super().elapsed() * TIME_FACTOR

    async def sleep(self, duration: timedelta) -> None:
        """Sleeps for a duration of the faster clock."""
        await asyncio.sleep(duration.total_seconds() / TIME_FACTOR)


class FleetInstance:
    """Ticket log, follower and writer of one instance."""

    def __init__(self, fleet: 'Fleet', zone: str, index: int) -> None:
        """Connects the real components to the platform in memory."""
        self.platform = MemoryPlatform(fleet.store)
        self.platform.time_factor = TIME_FACTOR
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
        self.replication = TicketReplication(
            self.log,
            tuple,
            MessageCodec(b'bench'),
            clock,
            lambda _: None,
            routes={},
        )


class Fleet:
    """All instances, and the total of their platform calls."""

    def __init__(self, zones: int, per_zone: int) -> None:
        """Creates the instances of all zones."""
        self.clock = FastClock()
        self.store = MemoryStore()
        self.instances = [
            FleetInstance(self, f'zone-{zone}', index)
            for zone in range(zones)
            for index in range(per_zone)
        ]
        self.watchers = {
            zone: watchers_of(
                [
                    instance.info
                    for instance in self.instances
                    if instance.info.zone == zone
                ],
            )
            for zone in sorted(
                {instance.info.zone for instance in self.instances}
            )
        }

    def calls(self) -> int:
        """Returns the number of platform calls so far."""
        return sum(instance.platform.calls for instance in self.instances)

    async def replicate_tickets(self) -> None:
        """Copies tickets to each instance from a random peer that is ahead."""
        while True:
            for instance in self.instances:
                peer = random.choice(self.instances)
                if peer.log.number > instance.log.number:
                    request = TicketsRequest(instance.log.number)
                    reply = peer.replication.answer_tickets(request)
                    for number, each in enumerate(reply.documents, reply.first):
                        instance.log.apply(number, each)
            await self.clock.sleep(HEARTBEAT_INTERVAL)

    async def measure(self, label: str, duration: timedelta) -> None:
        """Prints the mean and the peak rate of calls during a period."""
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
            f'{rate / len(self.instances):.4f}/s per instance',
        )


async def _apply(fleet: Fleet) -> list[float]:
    delays = []
    for index in range(TICKETS):
        entry = random.choice(fleet.instances)
        ticket = Ticket(
            f'author-{index}',
            entry.log.number,
            zones={f'z-{index}': Zone('norr')},
        )
        number = await entry.writer.apply(ticket)
        begin = fleet.clock.elapsed()
        while any(instance.log.number < number for instance in fleet.instances):
            await fleet.clock.sleep(timedelta(milliseconds=20))
        delays.append((fleet.clock.elapsed() - begin).total_seconds())
        await fleet.clock.sleep(TICKET_INTERVAL)
    return delays


async def _run(zones: int, per_zone: int) -> None:
    fleet = Fleet(zones, per_zone)
    print(f'{len(fleet.instances)} instances in {zones} zones')
    begin = time.process_time()
    tasks = [
        asyncio.create_task(instance.follower.follow())
        for instance in fleet.instances
    ]
    tasks.append(asyncio.create_task(fleet.replicate_tickets()))
    await fleet.measure('start', timedelta(seconds=5))
    await fleet.measure('idle', IDLE_TIME)
    first = fleet.calls()
    delays = sorted(await _apply(fleet))
    count = (fleet.calls() - first) / TICKETS
    print(
        f'  ticket: {count:.0f} calls each (with {TICKET_INTERVAL.seconds} s '
        f'of idle time), in force everywhere after '
        f'{delays[len(delays) // 2]:.2f} s median, {delays[-1]:.2f} s at most',
    )
    for instance in fleet.instances:
        instance.platform.down = True
    async with fleet.store.changed:
        fleet.store.changed.notify_all()
    await fleet.measure('outage', OUTAGE_TIME)
    for instance in fleet.instances:
        instance.platform.down = False
    await fleet.measure('recovery', RECOVERY_TIME)
    print(f'  processor {time.process_time() - begin:.1f} s for the fleet')
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main() -> None:
    """Measures a fleet of each size."""
    zones = int(sys.argv[1]) if len(sys.argv) > 1 else 22
    sizes = [int(size) for size in sys.argv[2:]] or [2, 5, 10, 27]
    for per_zone in sizes:
        asyncio.run(_run(zones, per_zone))


if __name__ == '__main__':
    main()
