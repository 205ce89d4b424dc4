"""Measures the processor time of look-up answers at the design size.

Run as `python -m bench.gateway_lookups`. It has 600 instances in 22 zones and
594 upstreams in this process; only the directory of one instance runs, which
answers 550 look-ups a second of callers of its zone for ten seconds of a
simulated clock.
"""

import random
import sys
import time
from datetime import timedelta
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent / 'tests'))

from lycheedyke.protocol import EntryRecord, RegistryItem
from lycheedyke.state import Counters, RunTimeStats, Suspects, UpstreamTable
from lycheedyke.state.demand import ZoneTotal
from lycheedyke_daemon.gateway._lookup import LookupDirectory
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway.demand import DemandSteering
from lycheedyke_daemon.gateway.demand._messages import (
    encode_instance,
    encode_totals,
)
from standins.clock import ManualClock
from standins.records import make_route, make_routing, make_upstream

ZONES = {f'z{at}': f'r{at // 2}' for at in range(22)}
INSTANCES = 27
PER_S = 550
SECONDS = 10
HOST = 'a'
SERVICES = [f'service-{at}' for at in range(7)]


def _directory(
    clock: ManualClock, *, is_unequal: bool, is_steered: bool
) -> LookupDirectory:
    table = UpstreamTable(clock)
    view = RegistryView(table, Suspects(clock), Counters(), clock)
    times = RunTimeStats()
    own = None
    for zone, region in ZONES.items():
        for at in range(INSTANCES):
            name = f'{zone}:{at}'
            strength = (2.15, 200) if at < 2 else (0.3, 10)
            own = EntryRecord(
                name,
                'run',
                zone,
                region,
                name,
                '',
                *(strength if is_unequal else (0, 0)),
            )
            view.apply(RegistryItem(name, 1, own), None)
            table.apply(make_upstream(f'{zone}-{at}', zone=zone))
    assert own is not None
    routing = make_routing(1, make_route('/', host=HOST))
    view.apply(RegistryItem('routing', 1, routing), None)
    directory = LookupDirectory(own, view, table, times, ZONES, 0.15, clock)
    if is_steered:
        directory.steering = DemandSteering(
            lambda: _totals(clock.elapsed()), times, clock
        )
    return directory


def _totals(now: timedelta) -> list[ZoneTotal]:
    return [
        ZoneTotal(
            zone,
            INSTANCES,
            now,
            {'desk': 15_000 if at % 2 else 9_000},
        )
        for at, zone in enumerate(ZONES)
    ]


def _measure(*, is_unequal: bool, is_steered: bool) -> None:
    clock = ManualClock()
    directory = _directory(clock, is_unequal=is_unequal, is_steered=is_steered)
    rng = random.Random(1)
    callers = [f'192.0.2.{at}' for at in range(256)]
    used: list[float] = []
    most: float = 0
    for _ in range(SECONDS):
        started = time.process_time()
        for _ in range(PER_S):
            clock.advance(1 / PER_S)
            before = time.process_time()
            directory.find(HOST, 'z0', rng.choice(callers))
            most = max(most, time.process_time() - before)
        used.append(time.process_time() - started)
    mean = sum(used[1:]) / (SECONDS - 1)
    print(
        f'unequal={is_unequal} steered={is_steered}:'
        f' {100 * mean:.2f}% of a core, first second'
        f' {1000 * used[0]:.0f} ms, longest {1000 * most:.1f} ms'
    )


def _measure_messages() -> None:
    now = timedelta(seconds=9)
    rates = {name: 1000 + at for at, name in enumerate(SERVICES)}
    totals = [
        ZoneTotal(zone, INSTANCES, now, dict.fromkeys(SERVICES, 20_000))
        for zone in ZONES
    ]
    report = len(encode_instance('edge-z0-11', 'z0', rates))
    answer = len(encode_totals(totals, now))
    print(f'bytes of bodies: report {report}, totals of 22 zones {answer}')


def main() -> None:
    """Runs the measurements."""
    _measure(is_unequal=False, is_steered=False)
    _measure(is_unequal=True, is_steered=False)
    _measure(is_unequal=True, is_steered=True)
    _measure_messages()


if __name__ == '__main__':
    main()
