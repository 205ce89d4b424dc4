"""Runs the membership of some instances and reports what it costs.

Reads a `Job` as JSON from the first argument, runs until its input ends, and
prints one JSON line: a `Report`.
"""

import asyncio
import random
import resource
import sys
import time
from collections import Counter
from datetime import timedelta
from pathlib import Path

import msgspec
import uvloop

from lycheedyke.clock import SystemClock
from lycheedyke.coordination import Members
from lycheedyke.exceptions import MessageRejected
from lycheedyke.protocol import (
    Heartbeat,
    HeartbeatReply,
    InstanceInfo,
    MessageCodec,
    SummariesReply,
    SummariesRequest,
    UpstreamLoad,
)
from lycheedyke.state import Counters
from lycheedyke.transport import PeerLink, PeerListener

SECRET = b'a secret of the bench'
SP_FRAME_BYTES = 12
WATCH_SECONDS = 0.02
PAGE_KB = resource.getpagesize() // 1024


class Seat(msgspec.Struct, frozen=True):
    """The name, place and control address of an instance."""

    name: str
    zone: str
    region: str
    address: str


class Job(msgspec.Struct, frozen=True):
    """What a worker runs.

    Attributes:
        seeds: control addresses to start from.
        settle: seconds before the measurement starts.
        busy_ms: the longest time for which the event loop is blocked.
    """

    seats: tuple[Seat, ...]
    seeds: tuple[str, ...]
    settle: float = 0
    busy_ms: float = 0


class Change(msgspec.Struct, frozen=True):
    """An instance that was found or lost, by the system's wall clock."""

    at: float
    watcher: str
    name: str
    is_live: bool


class Report(msgspec.Struct, frozen=True):
    """What a worker measured after it had settled."""

    seconds: float
    cpu_seconds: float
    rss_mb: float
    threads: int
    live: dict[str, int]
    counts: dict[str, int]
    changes: tuple[Change, ...]


class CountingLink(PeerLink):
    """A link that counts its messages and bytes."""

    counts: Counter[str] = Counter()

    async def request(self, message: bytes, *, timeout: timedelta) -> bytes:
        """Sends a message and returns the reply."""
        _count('sent', message)
        reply = await super().request(message, timeout=timeout)
        _count('received', reply)
        return reply


class Seated:
    """The control part of one instance."""

    def __init__(self, seat: Seat) -> None:
        """Makes the parts; nothing listens yet."""
        self.counters = Counters()
        self._codec = MessageCodec(SECRET)
        own = InstanceInfo(
            name=seat.name,
            incarnation=f'{random.getrandbits(64):016x}',
            zone=seat.zone,
            region=seat.region,
            caller_address=seat.address,
            peer_address=seat.address,
            control_address=seat.address,
        )
        self.members = Members(
            own,
            self._codec,
            SystemClock(),
            self.counters,
            routes={},
            connect=CountingLink,
        )
        self.members.loads = self._loads
        self.members.service_of = _service_of
        self._listener = PeerListener(seat.address, self._answer)

    def start(self, seeds: tuple[str, ...]) -> None:
        """Listens and joins."""
        self._listener.open()
        self.members.add_seeds(seeds)

    def _loads(self) -> tuple[UpstreamLoad, ...]:
        # Counts that change at each reading are the most costly case.
        name = f'{self.members.own.name}-u'
        return (UpstreamLoad(name, random.randrange(9), 0, 9),)

    async def _answer(self, message: bytes) -> bytes | None:
        _count('received', message)
        try:
            asked = self._codec.decode_control_message(message)
        except MessageRejected:
            return None
        reply: HeartbeatReply | SummariesReply | None = None
        match asked:
            case Heartbeat():
                reply = self.members.answer_heartbeat(asked)
            case SummariesRequest():
                reply = self.members.answer_summaries(asked)
        if reply is None:
            return None
        encoded = self._codec.encode_control_message(reply)
        _count('sent', encoded)
        return encoded


def _count(way: str, message: bytes) -> None:
    CountingLink.counts[f'{way}_messages'] += 1
    CountingLink.counts[f'{way}_bytes'] += len(message) + SP_FRAME_BYTES


def _service_of(upstream: str) -> str:
    return f'service-{len(upstream) % 4}'


async def _watch(seated: list[Seated], changes: list[Change]) -> None:
    known: dict[str, set[str]] = {}
    while True:
        await asyncio.sleep(WATCH_SECONDS)
        for each in seated:
            own = each.members.own.name
            live = {peer.info.name for peer in each.members.live()}
            before = known.get(own, set())
            changes.extend(
                Change(time.time(), own, name, name in live)
                for name in live ^ before
            )
            known[own] = live


def _block(seconds: float) -> None:
    time.sleep(seconds)


async def _be_busy(longest_ms: float) -> None:
    while longest_ms:
        _block(random.uniform(0, longest_ms) / 1000)
        await asyncio.sleep(random.uniform(0, longest_ms) / 1000)


async def _run(job: Job) -> Report:
    seated = [Seated(seat) for seat in job.seats]
    changes: list[Change] = []
    for each in seated:
        each.start(job.seeds)
    background = [
        asyncio.create_task(_be_busy(job.busy_ms)),
        asyncio.create_task(_watch(seated, changes)),
    ]
    if job.settle:
        background.pop().cancel()
    await asyncio.sleep(job.settle)
    CountingLink.counts.clear()
    began, cpu = time.monotonic(), time.process_time()
    await asyncio.to_thread(sys.stdin.read)
    seconds = time.monotonic() - began
    counts = Counter(CountingLink.counts)
    for each in seated:
        counts.update(each.counters.counts)
    threads, rss_mb = _measure_process()
    return Report(
        seconds,
        time.process_time() - cpu,
        rss_mb,
        threads,
        {each.members.own.name: len(each.members.live()) for each in seated},
        dict(counts),
        tuple(changes),
    )


def _measure_process() -> tuple[int, float]:
    status = Path('/proc/self/status').read_text()
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    threads = int(status.split('Threads:')[1].split()[0])
    return threads, pages * PAGE_KB / 1024


def main() -> None:
    """Runs the job of the first argument."""
    job = msgspec.json.decode(sys.argv[1], type=Job)
    report = uvloop.run(_run(job))
    sys.stdout.write(msgspec.json.encode(report).decode())
    sys.stdout.flush()


if __name__ == '__main__':
    main()
