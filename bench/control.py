"""Measures membership: `python -m bench.control cost|crash|busy`.

Real memberships over real links on loopback, in a few processes.
"""

import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence

import defopt
import msgspec

from bench.control_worker import Job, Report, Seat

ZONES_PER_REGION = 2
SEATS_PER_WORKER = 9
SETTLE_SECONDS = 12.0


class Worker:
    """A process that runs some instances."""

    def __init__(self, job: Job) -> None:
        """Starts the process."""
        self._process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bench.control_worker',
                msgspec.json.encode(job).decode(),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def finish(self) -> Report:
        """Lets the process end and returns its report."""
        output, _ = self._process.communicate(timeout=60)
        return msgspec.json.decode(output, type=Report)

    def kill(self) -> None:
        """Kills the process."""
        self._process.kill()
        self._process.communicate()


def make_seats(zones: Sequence[int]) -> list[Seat]:
    """Returns seats on free ports, `zones[i]` of them in zone i."""
    places = [
        (f'z{zone}-{index}', f'z{zone}', f'r{zone // ZONES_PER_REGION}')
        for zone, size in enumerate(zones)
        for index in range(size)
    ]
    sockets = [socket.socket() for _ in places]
    for each in sockets:
        each.bind(('127.0.0.1', 0))
    seats = [
        Seat(*place, f'127.0.0.1:{each.getsockname()[1]}')
        for place, each in zip(places, sockets, strict=True)
    ]
    for each in sockets:
        each.close()
    return seats


def cost(
    *,
    size: int = 4,
    zones: int = 6,
    other: int = 2,
    settle: int = 12,
    seconds: int = 20,
) -> None:
    """Measures one instance's traffic, processor time and memory.

    Args:
        size: instances in its zone.
        zones: number of zones.
        other: instances in each other zone.
        settle: seconds from the start to the measurement.
        seconds: duration of the measurement.
    """
    seats = make_seats([size, *([other] * (zones - 1))])
    seeds = tuple(seat.address for seat in seats[:3])
    measured = Worker(Job(tuple(seats[:1]), seeds, settle))
    others = [
        Worker(Job(tuple(seats[at : at + SEATS_PER_WORKER]), seeds, 1))
        for at in range(1, len(seats), SEATS_PER_WORKER)
    ]
    time.sleep(settle + 1 + seconds)
    report = measured.finish()
    for worker in others:
        worker.finish()
    _print_cost(size, zones, report)


def _print_cost(size: int, zones: int, report: Report) -> None:
    rates = {
        name: report.counts.get(name, 0) / report.seconds
        for name in (
            'sent_bytes',
            'received_bytes',
            'sent_messages',
            'received_messages',
        )
    }
    shown = ' '.join(f'{name}={rate:.1f}/s' for name, rate in rates.items())
    sys.stdout.write(
        f'size={size} zones={zones} {shown} '
        f'cpu={100 * report.cpu_seconds / report.seconds:.2f}% '
        f'rss={report.rss_mb:.1f}MB threads={report.threads} '
        f'live={report.live}\n',
    )


def crash(
    *, size: int = 4, zones: int = 6, rounds: int = 3, verbose: bool = False
) -> None:
    """Measures how long all others list an instance that was killed.

    Args:
        size: instances in each zone.
        zones: number of zones.
        rounds: instances killed one after another.
        verbose: whether to print each change of a view.
    """
    seats = make_seats([size] * zones)
    seeds = tuple(seat.address for seat in seats[size : size + 3])
    victims = [Worker(Job((seat,), seeds)) for seat in seats[:rounds]]
    rest = tuple(seats[rounds:])
    others = [
        Worker(Job(rest[at : at + SEATS_PER_WORKER], seeds))
        for at in range(0, len(rest), SEATS_PER_WORKER)
    ]
    started = time.time()
    time.sleep(SETTLE_SECONDS)
    killed = {}
    for victim, seat in zip(victims, seats, strict=False):
        victim.kill()
        killed[seat.name] = time.time()
        time.sleep(6)
    changes = [
        change for worker in others for change in worker.finish().changes
    ]
    if verbose:
        for change in sorted(changes, key=lambda each: each.at):
            sys.stdout.write(
                f'{change.at - started:.2f} {change.watcher} '
                f'{change.name} {change.is_live}\n',
            )
    for own in (True, False):
        waits = [
            change.at - killed[change.name]
            for change in changes
            if change.name in killed
            and not change.is_live
            and change.at > killed[change.name]
            and change.watcher.startswith('z0-') == own
        ]
        joins = [
            change.at - started
            for change in changes
            if change.is_live
            and (change.watcher.split('-')[0] == change.name.split('-')[0])
            == own
        ]
        _print_times('own zone' if own else 'other zones', 'lost', waits)
        _print_times('own zone' if own else 'other zones', 'found', joins)


def _print_times(place: str, what: str, seconds: list[float]) -> None:
    sys.stdout.write(
        f'{place} {what}: n={len(seconds)} '
        f'median={statistics.median(seconds):.2f}s max={max(seconds):.2f}s\n',
    )


def busy(*, size: int = 8, block_ms: int = 300, seconds: int = 30) -> None:
    """Counts live instances taken for dead while all are busy.

    Args:
        size: instances in the zone, each its own process.
        block_ms: the longest time that an event loop is blocked at once.
        seconds: duration.
    """
    seats = make_seats([size])
    seeds = tuple(seat.address for seat in seats[:3])
    workers = [Worker(Job((seat,), seeds, busy_ms=block_ms)) for seat in seats]
    time.sleep(seconds)
    end = time.time()
    changes = [
        change for worker in workers for change in worker.finish().changes
    ]
    lost = [
        change
        for change in changes
        if not change.is_live and change.at < end - 0.1
    ]
    sys.stdout.write(
        f'size={size} block={block_ms}ms seconds={seconds}: '
        f'{len(lost)} false alarms in {size * (size - 1)} pairs\n',
    )


if __name__ == '__main__':
    defopt.run([cost, crash, busy])
