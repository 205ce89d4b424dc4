"""Compares designs: `make compare`.

Each design serves the same arrivals from the same upstreams in turn:
calm at 80% of the slots, overload at 130%, and 50% while one zone fails.
"""

import asyncio
import json
import signal
import statistics
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import defopt
import uvloop

from bench.compare.arrivals import Arrivals
from bench.shapes import CASCADE, CustomerShape, ServiceShape
from bench.upstreams import (
    free_share,
    read_records,
    set_run_times,
    start_upstreams,
    upstream_process,
)
from standins.deployment import Deployment, wait_for_port
from standins.operators import apply_ticket, wait_in_force

DESIGNS = ('lycheedyke', 'static', 'random')
ENTRIES = 4
SERVICE = 'shoe-desk'
SHAPE = CustomerShape(
    'cascade',
    CASCADE.zones,
    (ServiceShape(SERVICE, 20, 3, 200, False, {}),),
)
POLL_SECONDS = 0.25
WARM_UP_SECONDS = 4
MOST_SETTLE_SECONDS = 20


class Phase(NamedTuple):
    """A part of the comparison.

    Attributes:
        name: what it is called.
        load: arrivals as a share of what all slots can serve.
        failing: the zone whose processes are killed a third into it, or ''.
    """

    name: str
    load: float
    failing: str = ''


PHASES = (
    Phase('calm', 0.8),
    Phase('overload', 1.3),
    Phase('failing zone', 0.5, 'pnw-b'),
)


class Outcome(NamedTuple):
    """What one design reached in one phase."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    least_free: float
    mean_free: float
    useful: float
    over_slots: int
    refused: dict[str, int]


class Trial:
    """One design with its own upstreams."""

    def __init__(self, design: str, running: Deployment) -> None:
        """Starts the upstreams of the design."""
        self._design = design
        self._running = running
        self._ticket = start_upstreams(running, SHAPE)
        slots = [up['slots'] for up in self._ticket['upstreams'].values()]
        self._capacity = sum(slots) * 1000 / SHAPE.services[0].run_ms

    async def begin(self) -> None:
        """Puts the design in force."""
        await set_run_times(SHAPE, self._ticket)
        if self._design == 'lycheedyke':
            number = await asyncio.to_thread(
                apply_ticket,
                self._running,
                self._ticket,
            )
            await wait_in_force(self._running, number)
        else:
            self._start_simple()
        await self._load(Phase('warm-up', 0.3), WARM_UP_SECONDS)

    async def run(self, phase: Phase, seconds: float) -> Outcome:
        """Runs one phase, once the work of the last one has ended."""
        for _ in range(int(MOST_SETTLE_SECONDS / POLL_SECONDS)):
            if not any(each.in_flight for each in await self._records()):
                break
            await asyncio.sleep(POLL_SECONDS)
        return await self._load(phase, seconds)

    async def _load(self, phase: Phase, seconds: float) -> Outcome:
        arrivals = Arrivals(
            SERVICE,
            dict(self._entries()),
            dict(self._weights()),
            seed=1,
        )
        free: list[float] = []
        watching = asyncio.create_task(self._watch(free))
        failing = asyncio.create_task(self._fail(phase.failing, seconds / 3))
        await arrivals.run(self._capacity * phase.load, seconds)
        await failing
        watching.cancel()
        await arrivals.close()
        return await self._summarize(arrivals, free)

    async def _summarize(
        self,
        arrivals: Arrivals,
        free: list[float],
    ) -> Outcome:
        records = await self._records()
        p50_ms, p99_ms, p999_ms = (
            arrivals.latency.get_value_at_percentile(percent) / 1000
            for percent in (50, 99, 99.9)
        )
        return Outcome(
            p50_ms,
            p99_ms,
            p999_ms,
            min(free),
            statistics.mean(free),
            arrivals.kinds.pop('answered', 0)
            / (self._capacity * arrivals.elapsed),
            sum(record.most_in_flight > record.slots for record in records),
            dict(arrivals.kinds),
        )

    async def _watch(self, free: list[float]) -> None:
        while True:
            free.append(free_share(await self._records()))
            await asyncio.sleep(POLL_SECONDS)

    async def _records(self) -> Any:
        dead = {
            zone
            for zone in SHAPE.zones
            if self._running.processes[upstream_process(SERVICE, zone)].poll()
            is not None
        }
        living = {
            name: upstream
            for name, upstream in self._ticket['upstreams'].items()
            if upstream['zone'] not in dead
        }
        return await read_records({'upstreams': living})

    async def _fail(self, zone: str, delay: float) -> None:
        if not zone:
            return
        await asyncio.sleep(delay)
        self._running.signal(upstream_process(SERVICE, zone), signal.SIGKILL)
        for seat in self._running.instances.values():
            if seat.zone == zone:
                self._running.signal(seat.name, signal.SIGKILL)

    def _start_simple(self) -> None:
        folder = self._running.folder
        ticket = folder / 'simple-ticket.json'
        ticket.write_text(json.dumps(self._ticket))
        entries: dict[str, list[str]] = {zone: [] for zone in SHAPE.zones}
        for seat in self._running.instances.values():
            entries[seat.zone].append(seat.caller)
        listed = folder / 'simple-entries.json'
        listed.write_text(json.dumps(entries))
        for seat in self._running.instances.values():
            self._running.start(
                seat.name,
                '-m',
                'bench.compare.simple_entry',
                seat.caller.rpartition(':')[2],
                self._design,
                seat.zone,
                str(ticket),
                str(listed),
            )
        for seat in self._running.instances.values():
            wait_for_port(seat.caller)

    def _entries(self) -> Iterator[tuple[str, list[str]]]:
        for region in dict.fromkeys(SHAPE.zones.values()):
            yield (
                region,
                [
                    seat.caller
                    for seat in self._running.instances.values()
                    if seat.region == region
                ],
            )

    def _weights(self) -> Iterator[tuple[str, float]]:
        for region in dict.fromkeys(SHAPE.zones.values()):
            yield (
                region,
                sum(
                    upstream['slots']
                    for upstream in self._ticket['upstreams'].values()
                    if SHAPE.zones[upstream['zone']] == region
                ),
            )


class SimpleDeployment(Deployment):
    """A deployment whose entry instances are started by the trial."""

    def __enter__(self) -> 'SimpleDeployment':
        """Starts nothing."""
        return self


def _try(design: str, seconds: float) -> Iterator[tuple[Phase, Outcome]]:
    kind = Deployment if design == 'lycheedyke' else SimpleDeployment
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-compare-'))
    with kind(folder, zones=dict(SHAPE.zones), entries=ENTRIES) as running:
        trial = Trial(design, running)
        uvloop.run(trial.begin())
        for phase in PHASES:
            yield phase, uvloop.run(trial.run(phase, seconds))


def _show(design: str, phase: Phase, outcome: Outcome) -> None:
    print(
        f'{phase.name:13}{design:11}'
        f'{outcome.p50_ms:6.0f}{outcome.p99_ms:7.0f}{outcome.p999_ms:7.0f}'
        f'{outcome.least_free:7.0%}{outcome.mean_free:6.0%}'
        f'{outcome.useful:8.0%}{outcome.over_slots:6d}  {outcome.refused}',
        flush=True,
    )


def run(*, seconds: float = 12) -> None:
    """Compare the designs, one after another in one run.

    Args:
        seconds: The length of each phase.
    """
    print('latencies in ms; free slots least and mean; useful work as a share')
    print('of what all slots can serve until the last answer; upstreams that')
    print('ran over their slots; what was refused')
    print(
        'phase        design        p50    p99  p99.9  least  mean  useful  over'
    )
    for design in DESIGNS:
        for phase, outcome in _try(design, seconds):
            _show(design, phase, outcome)


if __name__ == '__main__':
    defopt.run(run)
