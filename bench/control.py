"""Measures membership: `python -m bench.control cost|crash|busy`.

The instances use the real membership code and exchange real messages over
loopback; a few worker processes run them.
"""

import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence

import defopt
import msgspec

from bench.control_worker import InstanceSpec, Job, Report

ZONES_PER_REGION = 2
INSTANCES_PER_WORKER = 9
SETTLE_SECONDS = 12.0


class Worker:
    """A child process that runs some of the instances."""

    def __init__(self, job: Job) -> None:
        """Starts the process with its job."""
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
        """Closes the input of the process and returns its report."""
        output, _ = self._process.communicate(timeout=60)
        return msgspec.json.decode(output, type=Report)

    def kill(self) -> None:
        """Kills the process."""
        self._process.kill()
        self._process.communicate()


def make_instance_specs(zones: Sequence[int]) -> list[InstanceSpec]:
    """Returns specs on free ports, `zones[i]` of them in zone i."""
    locations = [
        (f'z{zone}-{index}', f'z{zone}', f'r{zone // ZONES_PER_REGION}')
        for zone, size in enumerate(zones)
        for index in range(size)
    ]
    sockets = [socket.socket() for _ in locations]
    for each in sockets:
        each.bind(('127.0.0.1', 0))
    specs = [
        InstanceSpec(*location, f'127.0.0.1:{each.getsockname()[1]}')
        for location, each in zip(locations, sockets, strict=True)
    ]
    for each in sockets:
        each.close()
    return specs


def cost(
    *,
    size: int = 4,
    zones: int = 6,
    other: int = 2,
    settle: int = 12,
    seconds: int = 20,
) -> None:
    """Measures the traffic, processor time and memory of one instance.

    Args:
        size: instances in the zone of the measured instance.
        zones: number of zones.
        other: instances in each of the other zones.
        settle: seconds from the start to the measurement.
        seconds: duration of the measurement.
    """
    specs = make_instance_specs([size, *([other] * (zones - 1))])
    seeds = tuple(spec.address for spec in specs[:3])
    measured = Worker(Job(tuple(specs[:1]), seeds, settle))
    others = [
        Worker(Job(tuple(specs[at : at + INSTANCES_PER_WORKER]), seeds, 1))
        for at in range(1, len(specs), INSTANCES_PER_WORKER)
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
    """Measures how long other instances list one that was killed.

    Args:
        size: instances in each zone.
        zones: number of zones.
        rounds: how many instances are killed, one after another.
        verbose: whether to print each change of a membership list.
    """
    specs = make_instance_specs([size] * zones)
    seeds = tuple(spec.address for spec in specs[size : size + 3])
    victims = [Worker(Job((spec,), seeds)) for spec in specs[:rounds]]
    rest = tuple(specs[rounds:])
    others = [
        Worker(Job(rest[at : at + INSTANCES_PER_WORKER], seeds))
        for at in range(0, len(rest), INSTANCES_PER_WORKER)
    ]
    started = time.time()
    time.sleep(SETTLE_SECONDS)
    killed = {}
    for victim, spec in zip(victims, specs, strict=False):
        victim.kill()
        killed[spec.name] = time.time()
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
    for is_same_zone in (True, False):
        loss_delays = [
            change.at - killed[change.name]
            for change in changes
            if change.name in killed
            and not change.is_live
            and change.at > killed[change.name]
            and change.watcher.startswith('z0-') == is_same_zone
        ]
        join_delays = [
            change.at - started
            for change in changes
            if change.is_live
            and (change.watcher.split('-')[0] == change.name.split('-')[0])
            == is_same_zone
        ]
        _print_times(
            'own zone' if is_same_zone else 'other zones', 'lost', loss_delays
        )
        _print_times(
            'own zone' if is_same_zone else 'other zones', 'found', join_delays
        )


def _print_times(scope: str, event: str, seconds: list[float]) -> None:
    sys.stdout.write(
        f'{scope} {event}: n={len(seconds)} '
        f'median={statistics.median(seconds):.2f}s max={max(seconds):.2f}s\n',
    )


def busy(*, size: int = 8, block_ms: int = 300, seconds: int = 30) -> None:
    """Counts live instances that others drop while event loops are blocked.

    Args:
        size: instances in the zone, each in a process of its own.
        block_ms: longest time for which an event loop is blocked at once.
        seconds: duration of the measurement.
    """
    specs = make_instance_specs([size])
    seeds = tuple(spec.address for spec in specs[:3])
    workers = [Worker(Job((spec,), seeds, busy_ms=block_ms)) for spec in specs]
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
