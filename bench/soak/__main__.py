"""Runs the soak test: `python -m bench.soak --seed N --seconds S`."""

import asyncio
import random
import re
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import aiohttp
import defopt

from bench.soak.checks import find_violations
from bench.soak.crashes import CrashInjector
from bench.soak.faults import FaultInjector
from bench.soak.instance_logs import find_idle_closes_in_use
from bench.soak.limits import name_limits
from bench.soak.load_generator import LoadGenerator, make_call
from bench.soak.memory import MemoryMonitor
from bench.soak.observations import Observations
from bench.soak.pipelining_callers import HABITS, PipeliningCallers
from bench.soak.sessions import open_session
from bench.soak.stalls import StallMonitor
from bench.soak.testbed import INSTANCES_PER_ZONE, Testbed
from bench.soak.watch_cuts import cut_watches
from bench.soak.wishes import ask_for_pauses

POLL_SECONDS = 0.5
# After the last fault has ended, its effects last at most this long.
SETTLE_SECONDS = 6.0
PROBES_PER_INSTANCE = 5
EXIT_VIOLATIONS = 1
HTTP_OK = 200
VERSION = re.compile(r'^lycheedyke_version (\d+)', re.MULTILINE)


class Size(NamedTuple):
    """The size of a run.

    Attributes:
        seconds: how long faults are injected.
        callers: the number of sequential callers.
        instances: the number of instances in each zone.
    """

    seconds: float
    callers: int
    instances: int


class SoakTest:
    """One seeded run of the soak test.

    Args:
        testbed: the started testbed.
        seed: seed of all random choices.
    """

    def __init__(self, testbed: Testbed, seed: int) -> None:
        """Initializes the run; `run` starts it."""
        self.stall_monitor = StallMonitor()
        self.load_generator = LoadGenerator(
            testbed, random.Random(seed), self.stall_monitor
        )
        self.fault_injector = FaultInjector(testbed, random.Random(seed))
        self.pipelining_callers = [
            PipeliningCallers(
                habit,
                testbed,
                self.load_generator,
                random.Random(f'{habit.name} {seed}'),
                self.stall_monitor,
            )
            for habit in HABITS
        ]
        self.crash_injector = CrashInjector(
            testbed,
            self.load_generator,
            random.Random(f'crashes {seed}'),
            random.Random(f'bursts {seed}'),
        )
        self.memory_monitor = MemoryMonitor(testbed)
        self._testbed = testbed
        self._seed = seed
        self._versions: dict[tuple[str, float], int] = {}
        self._violations: list[str] = []

    async def run(
        self,
        seconds: float,
        callers: int,
        *,
        restores: bool,
    ) -> list[str]:
        """Runs the test; returns a line for each violated guarantee.

        Args:
            seconds: how long faults are injected.
            callers: the number of callers.
            restores: whether the store comes back from older copies.
        """
        calling = asyncio.gather(
            self.load_generator.run(callers),
            *(each.run() for each in self.pipelining_callers),
        )
        crashing = asyncio.create_task(self.crash_injector.run(seconds))
        watching = asyncio.create_task(self._poll_versions())
        measuring = asyncio.gather(
            self.memory_monitor.run(), self.stall_monitor.run()
        )
        restoring = asyncio.create_task(
            self.fault_injector.restore_store(
                seconds if restores else 0, random.Random(self._seed)
            ),
        )
        await asyncio.gather(
            self.fault_injector.run(seconds),
            self.fault_injector.pause_instances(
                seconds, random.Random(f'pauses {self._seed}')
            ),
            self.fault_injector.kill_together(
                seconds, random.Random(f'herd {self._seed}')
            ),
            self.fault_injector.change_idle_limits(
                seconds, random.Random(f'idle limits {self._seed}')
            ),
            ask_for_pauses(
                self._testbed, seconds, random.Random(f'wishes {self._seed}')
            ),
            name_limits(
                self._testbed, seconds, random.Random(f'limits {self._seed}')
            ),
            cut_watches(
                self._testbed, seconds, random.Random(f'watches {self._seed}')
            ),
        )
        await restoring
        await asyncio.sleep(SETTLE_SECONDS)
        self.load_generator.stop()
        await calling
        await crashing
        watching.cancel()
        await self._probe_instances()
        measuring.cancel()
        self.memory_monitor.read()
        observations = Observations(
            self.load_generator.results,
            self._testbed.upstreams,
            self.fault_injector.injected,
            self.fault_injector.stops,
            {
                name: self._testbed.links[f'callers {name}'].failed_connects
                for name in self._testbed.instances
            },
            self._testbed.crashing_path,
            self.memory_monitor.uses,
            self._testbed.config_writes,
            self.stall_monitor.stalls,
        )
        return [
            *self._violations,
            *self.load_generator.bad_lookups,
            *find_violations(observations),
            *find_idle_closes_in_use(self._testbed.folder),
        ]

    def report(self) -> None:
        """Prints the numbers of injected faults and of results by kind."""
        injected = Counter(each.kind for each in self.fault_injector.injected)
        print('faults:', ', '.join(f'{k} {n}' for k, n in injected.items()))
        print(
            f'crashes: {self.crash_injector.crash_count}; '
            f'request to {self._testbed.crashing_path}: '
            f'{self._count_crashing_runs()} runs'
        )
        outcomes = Counter(
            each.status or each.error for each in self.load_generator.results
        )
        print(
            'results:',
            ', '.join(f'{k}: {n}' for k, n in outcomes.most_common()),
        )
        closed = sum(each.idle_closes for each in self.pipelining_callers)
        print(f'idle connections found closed: {closed}')
        longest = self.stall_monitor.longest_seconds
        print(f'longest stall of the test itself: {longest:.2f} s')
        for use in self.memory_monitor.uses:
            print(f'memory: {use}')

    def _count_crashing_runs(self) -> int:
        return sum(
            len(each.arrivals_at(self._testbed.crashing_path))
            for each in self._testbed.upstreams
        )

    async def _poll_versions(self) -> None:
        """Polls the configuration version of all instances until cancelled."""
        async with aiohttp.ClientSession() as http:
            while True:
                for name in self._testbed.instances:
                    await self._poll_version(http, name)
                await asyncio.sleep(POLL_SECONDS)

    async def _poll_version(
        self,
        http: aiohttp.ClientSession,
        name: str,
    ) -> int:
        """Returns the configuration version of an instance, or 0.

        Records a violation if the version is lower than before in the same
        process of the instance.
        """
        url = f'http://{self._testbed.instances[name].metrics_address}/metrics'
        started = self._testbed.start_times[name]
        limit = aiohttp.ClientTimeout(total=POLL_SECONDS)
        try:
            async with http.get(url, timeout=limit) as response:
                found = VERSION.search(await response.text())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        if found is None or started != self._testbed.start_times[name]:
            return 0
        number = int(found[1])
        last = self._versions.get((name, started), 0)
        if number < last:
            self._violations.append(
                f'{name} went from configuration {last} to {number}',
            )
        self._versions[name, started] = max(number, last)
        return number

    async def _probe_instances(self) -> None:
        """Checks that each instance works again after all faults have ended.

        Each instance must have the newest configuration and must answer all
        probes with 200.
        """
        for upstream in self._testbed.upstreams:
            upstream.script.clear()
            upstream.change_limit(None)
        rng = random.Random(0)
        async with open_session() as http:
            for name in self._testbed.instances:
                number = await self._poll_version(http, name)
                if number != self._testbed.config_version:
                    self._violations.append(
                        f'{name} has configuration {number}, '
                        f'not {self._testbed.config_version}',
                    )
                for at in range(PROBES_PER_INSTANCE):
                    request = f'probe-{name}-{at}'
                    result = await self.load_generator.send(
                        http, name, make_call(request, rng)
                    )
                    self.load_generator.results.append(result)
                    if result.status != HTTP_OK:
                        self._violations.append(
                            f'{request} got {result.status or result.error}',
                        )


async def _soak(
    folder: Path,
    seed: int,
    size: Size,
    *,
    restores: bool,
) -> list[str]:
    rng = random.Random(seed)
    async with Testbed(folder, rng, size.instances) as testbed:
        soak = SoakTest(testbed, seed)
        violations = await soak.run(
            size.seconds, size.callers, restores=restores
        )
        soak.report()
    return violations


def run(
    *,
    seed: int = 1,
    seconds: float = 20,
    callers: int = 9,
    instances: int = INSTANCES_PER_ZONE,
    restores: bool = False,
) -> int:
    """Run gateway processes under load while faults are injected.

    Args:
        seed: Seed of all random choices.
        seconds: How long faults are injected.
        callers: Number of callers in all zones together.
        instances: Number of instances in each of the three zones.
        restores: Bring the store back from older copies, too.
    """
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-soak-'))
    print(f'soak test, seed {seed}, {seconds:g} s, logs in {folder}')
    started = time.monotonic()
    violations = asyncio.run(
        _soak(
            folder,
            seed,
            Size(seconds, callers, instances),
            restores=restores,
        )
    )
    for line in violations:
        print('VIOLATION:', line)
    elapsed = time.monotonic() - started
    print(f'{len(violations)} violations in {elapsed:.0f} s')
    return EXIT_VIOLATIONS if violations else 0


if __name__ == '__main__':
    sys.exit(defopt.run(run))
