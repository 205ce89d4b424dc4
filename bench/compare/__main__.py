"""Compares the service with simpler designs: `make compare`.

Each design in turn serves the same arrivals with the same upstreams in three
phases: calm with a load of 80% of the slots, overload with 130%, and a zone
failure with 50%.
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

from bench.compare.open_loop import OpenLoopLoad
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
MAX_SETTLE_SECONDS = 20


class Phase(NamedTuple):
    """A phase of the comparison.

    Attributes:
        name: the name in the output.
        load: arrival rate as a share of the rate that all slots can serve.
        failing: the zone whose processes are killed after a third of the
            phase, or ''.
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
    """Measurements of one design in one phase.

    Attributes:
        p50_ms: median latency of answered requests.
        p99_ms: 99th percentile of the latency.
        p999_ms: 99.9th percentile of the latency.
        min_free: lowest share of free slots.
        mean_free: mean share of free slots.
        useful_share: answered requests as a share of those that all slots
            could serve until the last response.
        over_slots: number of upstreams that ran more requests than slots.
        refused: number of calls without an answer, by outcome and reason.
    """

    p50_ms: float
    p99_ms: float
    p999_ms: float
    min_free: float
    mean_free: float
    useful_share: float
    over_slots: int
    refused: dict[str, int]


class Trial:
    """Runs the phases with one design and its own upstreams.

    Args:
        design: one of `DESIGNS`.
        deployment: the deployment of the design.
    """

    def __init__(self, design: str, deployment: Deployment) -> None:
        """Starts the upstreams of the design."""
        self._design = design
        self._deployment = deployment
        self._ticket = start_upstreams(deployment, SHAPE)
        slots = [up['slots'] for up in self._ticket['upstreams'].values()]
        self._capacity = sum(slots) * 1000 / SHAPE.services[0].run_ms

    async def prepare(self) -> None:
        """Starts the design and runs a warm-up load."""
        await set_run_times(SHAPE, self._ticket)
        if self._design == 'lycheedyke':
            number = await asyncio.to_thread(
                apply_ticket,
                self._deployment,
                self._ticket,
            )
            await wait_in_force(self._deployment, number)
        else:
            self._start_simple_entries()
        await self._apply_load(Phase('warm-up', 0.3), WARM_UP_SECONDS)

    async def run(self, phase: Phase, seconds: float) -> Outcome:
        """Runs a phase after the requests of the previous phase have ended."""
        for _ in range(int(MAX_SETTLE_SECONDS / POLL_SECONDS)):
            if not any(each.in_flight for each in await self._read_records()):
                break
            await asyncio.sleep(POLL_SECONDS)
        return await self._apply_load(phase, seconds)

    async def _apply_load(self, phase: Phase, seconds: float) -> Outcome:
        load_generator = OpenLoopLoad(
            SERVICE,
            dict(self._entries_by_region()),
            dict(self._weights_by_region()),
            seed=1,
        )
        free: list[float] = []
        monitoring = asyncio.create_task(self._monitor(free))
        failing = asyncio.create_task(
            self._kill_zone(phase.failing, seconds / 3)
        )
        await load_generator.run(self._capacity * phase.load, seconds)
        await failing
        monitoring.cancel()
        await load_generator.close()
        return await self._summarize(load_generator, free)

    async def _summarize(
        self,
        load_generator: OpenLoopLoad,
        free: list[float],
    ) -> Outcome:
        records = await self._read_records()
        p50_ms, p99_ms, p999_ms = (
            load_generator.latency.get_value_at_percentile(percent) / 1000
            for percent in (50, 99, 99.9)
        )
        return Outcome(
            p50_ms,
            p99_ms,
            p999_ms,
            min(free),
            statistics.mean(free),
            load_generator.outcomes.pop('answered', 0)
            / (self._capacity * load_generator.elapsed),
            sum(record.max_in_flight > record.slots for record in records),
            dict(load_generator.outcomes),
        )

    async def _monitor(self, free: list[float]) -> None:
        while True:
            free.append(free_share(await self._read_records()))
            await asyncio.sleep(POLL_SECONDS)

    async def _read_records(self) -> Any:
        """Returns the records of the upstreams whose process still runs."""
        failed_zones = {
            zone
            for zone in SHAPE.zones
            if self._deployment.processes[
                upstream_process(SERVICE, zone)
            ].poll()
            is not None
        }
        remaining = {
            name: upstream
            for name, upstream in self._ticket['upstreams'].items()
            if upstream['zone'] not in failed_zones
        }
        return await read_records({'upstreams': remaining})

    async def _kill_zone(self, zone: str, delay: float) -> None:
        """Kills the upstreams and entry instances of a zone after a delay."""
        if not zone:
            return
        await asyncio.sleep(delay)
        self._deployment.signal(upstream_process(SERVICE, zone), signal.SIGKILL)
        for spec in self._deployment.instances.values():
            if spec.zone == zone:
                self._deployment.signal(spec.name, signal.SIGKILL)

    def _start_simple_entries(self) -> None:
        folder = self._deployment.folder
        ticket = folder / 'simple-ticket.json'
        ticket.write_text(json.dumps(self._ticket))
        entries: dict[str, list[str]] = {zone: [] for zone in SHAPE.zones}
        for spec in self._deployment.instances.values():
            entries[spec.zone].append(spec.caller)
        listed = folder / 'simple-entries.json'
        listed.write_text(json.dumps(entries))
        for spec in self._deployment.instances.values():
            self._deployment.start(
                spec.name,
                '-m',
                'bench.compare.simple_entry',
                spec.caller.rpartition(':')[2],
                self._design,
                spec.zone,
                str(ticket),
                str(listed),
            )
        for spec in self._deployment.instances.values():
            wait_for_port(spec.caller)

    def _entries_by_region(self) -> Iterator[tuple[str, list[str]]]:
        for region in dict.fromkeys(SHAPE.zones.values()):
            yield (
                region,
                [
                    spec.caller
                    for spec in self._deployment.instances.values()
                    if spec.region == region
                ],
            )

    def _weights_by_region(self) -> Iterator[tuple[str, float]]:
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
    """Deployment without automatic start; `Trial` starts its entries."""

    def __enter__(self) -> 'SimpleDeployment':
        """Returns the deployment without starting any process."""
        return self


def _run_design(design: str, seconds: float) -> Iterator[tuple[Phase, Outcome]]:
    kind = Deployment if design == 'lycheedyke' else SimpleDeployment
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-compare-'))
    with kind(folder, zones=dict(SHAPE.zones), entries=ENTRIES) as deployment:
        trial = Trial(design, deployment)
        uvloop.run(trial.prepare())
        for phase in PHASES:
            yield phase, uvloop.run(trial.run(phase, seconds))


def _print_outcome(design: str, phase: Phase, outcome: Outcome) -> None:
    print(
        f'{phase.name:13}{design:11}'
        f'{outcome.p50_ms:6.0f}{outcome.p99_ms:7.0f}{outcome.p999_ms:7.0f}'
        f'{outcome.min_free:7.0%}{outcome.mean_free:6.0%}'
        f'{outcome.useful_share:8.0%}{outcome.over_slots:6d}'
        f'  {outcome.refused}',
        flush=True,
    )


def run(*, seconds: float = 12) -> None:
    """Compare the designs one after another.

    Args:
        seconds: The length of each phase.
    """
    print('latencies in ms; minimum and mean of free slots; answered requests')
    print('as a share of what all slots can serve until the last response;')
    print('upstreams that ran more requests than slots; failed requests')
    print(
        'phase        design        p50    p99  p99.9    min  mean'
        '  useful  over'
    )
    for design in DESIGNS:
        for phase, outcome in _run_design(design, seconds):
            _print_outcome(design, phase, outcome)


if __name__ == '__main__':
    defopt.run(run)
