"""Runs the membership of some instances and reports its cost.

Reads a `Job` as JSON from the first argument, runs until standard input is
closed, and prints a `Report` as JSON.
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
WATCH_INTERVAL_SECONDS = 0.02
PAGE_KB = resource.getpagesize() // 1024


class InstanceSpec(msgspec.Struct, frozen=True):
    """Name, location and control address of an instance."""

    name: str
    zone: str
    region: str
    address: str


class Job(msgspec.Struct, frozen=True):
    """The instances that a worker runs, and how the worker runs them.

    Attributes:
        specs: the instances of the worker.
        seeds: control addresses through which the instances join.
        settle: seconds before the measurement starts; if not zero, changes of
            the membership lists are not recorded.
        busy_ms: longest time for which the event loop is blocked at once.
    """

    specs: tuple[InstanceSpec, ...] = msgspec.field(name='seats')
    seeds: tuple[str, ...]
    settle: float = 0
    busy_ms: float = 0


class Change(msgspec.Struct, frozen=True):
    """An instance that another listed or dropped, by the wall clock."""

    at: float
    watcher: str
    name: str
    is_live: bool


class Report(msgspec.Struct, frozen=True):
    """Measurements of a worker, taken after the settling time."""

    seconds: float
    cpu_seconds: float
    rss_mb: float
    threads: int
    live: dict[str, int]
    counts: dict[str, int]
    changes: tuple[Change, ...]


class CountingLink(PeerLink):
    """A link that counts its messages and bytes for the whole process."""

    counts: Counter[str] = Counter()

    async def request(self, message: bytes, *, timeout: timedelta) -> bytes:
        """Sends a message and returns the reply."""
        _count_message('sent', message)
        reply = await super().request(message, timeout=timeout)
        _count_message('received', reply)
        return reply


class RunningInstance:
    """Membership and control listener of one instance."""

    def __init__(self, spec: InstanceSpec) -> None:
        """Creates the membership; the listener is not open yet."""
        self.counters = Counters()
        self._codec = MessageCodec(SECRET)
        own = InstanceInfo(
            name=spec.name,
            incarnation=f'{random.getrandbits(64):016x}',
            zone=spec.zone,
            region=spec.region,
            caller_address=spec.address,
            peer_address=spec.address,
            control_address=spec.address,
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
        self._listener = PeerListener(spec.address, self._handle_message)

    def start(self, seeds: tuple[str, ...]) -> None:
        """Opens the listener and joins through the seeds."""
        self._listener.open()
        self.members.add_seeds(seeds)

    def _loads(self) -> tuple[UpstreamLoad, ...]:
        # Loads that change at each call are the most costly case.
        name = f'{self.members.own.name}-u'
        return (UpstreamLoad(name, random.randrange(9), 0, 9),)

    async def _handle_message(self, message: bytes) -> bytes | None:
        _count_message('received', message)
        try:
            request = self._codec.decode_control_message(message)
        except MessageRejected:
            return None
        reply: HeartbeatReply | SummariesReply | None = None
        match request:
            case Heartbeat():
                reply = self.members.answer_heartbeat(request)
            case SummariesRequest():
                reply = self.members.answer_summaries(request)
        if reply is None:
            return None
        encoded = self._codec.encode_control_message(reply)
        _count_message('sent', encoded)
        return encoded


def _count_message(direction: str, message: bytes) -> None:
    CountingLink.counts[f'{direction}_messages'] += 1
    CountingLink.counts[f'{direction}_bytes'] += len(message) + SP_FRAME_BYTES


def _service_of(upstream: str) -> str:
    return f'service-{len(upstream) % 4}'


async def _watch_members(
    instances: list[RunningInstance], changes: list[Change]
) -> None:
    known: dict[str, set[str]] = {}
    while True:
        await asyncio.sleep(WATCH_INTERVAL_SECONDS)
        for each in instances:
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


async def _block_repeatedly(max_block_ms: float) -> None:
    while max_block_ms:
        _block(random.uniform(0, max_block_ms) / 1000)
        await asyncio.sleep(random.uniform(0, max_block_ms) / 1000)


async def _run(job: Job) -> Report:
    instances = [RunningInstance(spec) for spec in job.specs]
    changes: list[Change] = []
    for each in instances:
        each.start(job.seeds)
    background = [
        asyncio.create_task(_block_repeatedly(job.busy_ms)),
        asyncio.create_task(_watch_members(instances, changes)),
    ]
    if job.settle:
        background.pop().cancel()
    await asyncio.sleep(job.settle)
    CountingLink.counts.clear()
    started, cpu = time.monotonic(), time.process_time()
    await asyncio.to_thread(sys.stdin.read)
    seconds = time.monotonic() - started
    counts = Counter(CountingLink.counts)
    for each in instances:
        counts.update(each.counters.counts)
    threads, rss_mb = _measure_process()
    return Report(
        seconds,
        time.process_time() - cpu,
        rss_mb,
        threads,
        {each.members.own.name: len(each.members.live()) for each in instances},
        dict(counts),
        tuple(changes),
    )


def _measure_process() -> tuple[int, float]:
    status = Path('/proc/self/status').read_text()
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    threads = int(status.split('Threads:')[1].split()[0])
    return threads, pages * PAGE_KB / 1024


def main() -> None:
    """Runs the job that the first argument describes."""
    job = msgspec.json.decode(sys.argv[1], type=Job)
    report = uvloop.run(_run(job))
    sys.stdout.write(msgspec.json.encode(report).decode())
    sys.stdout.flush()


if __name__ == '__main__':
    main()
