"""Soaks gateways in faults: `python -m bench.soak --seed N --seconds S`."""

import asyncio
import random
import re
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp
import defopt

from bench.soak.checks import Seen, find_broken
from bench.soak.crowd import Crowd
from bench.soak.faults import Faults
from bench.soak.world import World

POLL_SECONDS = 0.5
# Faults are mended; what they left behind is over by then.
SETTLE_SECONDS = 6.0
PROBES = 5
EXIT_BROKEN = 1
HTTP_OK = 200
VERSION = re.compile(r'^lycheedyke_version (\d+)', re.MULTILINE)


class Soak:
    """One seeded run.

    Args:
        world: the started deployment.
        seed: makes the choices repeatable.
    """

    def __init__(self, world: World, seed: int) -> None:
        """Makes a run over a started deployment."""
        self.crowd = Crowd(world, random.Random(seed))
        self.faults = Faults(world, random.Random(seed))
        self._world = world
        self._versions: dict[tuple[str, float], int] = {}
        self._broken: list[str] = []

    async def run(self, seconds: float, callers: int) -> list[str]:
        """Soaks for a time; returns a line for each broken promise."""
        calling = asyncio.create_task(self.crowd.run(callers))
        watching = asyncio.create_task(self._watch())
        await self.faults.run(seconds)
        await asyncio.sleep(SETTLE_SECONDS)
        self.crowd.stop()
        await calling
        watching.cancel()
        await self._probe()
        seen = Seen(
            self.crowd.told,
            self._world.upstreams,
            self.faults.caused,
            self.faults.stops,
            {
                name: self._world.links[f'callers {name}'].failed_connects
                for name in self._world.seats
            },
        )
        return [*self._broken, *find_broken(seen)]

    def report(self) -> None:
        """Prints what was caused and told."""
        caused = Counter(each.kind for each in self.faults.caused)
        print('caused:', ', '.join(f'{k} {n}' for k, n in caused.items()))
        told = Counter(each.status or each.error for each in self.crowd.told)
        print('told:', ', '.join(f'{k}: {n}' for k, n in told.most_common()))

    async def _watch(self) -> None:
        """Follows the version in force at each run of each instance."""
        async with aiohttp.ClientSession() as http:
            while True:
                for name in self._world.seats:
                    await self._note_version(http, name)
                await asyncio.sleep(POLL_SECONDS)

    async def _note_version(
        self,
        http: aiohttp.ClientSession,
        name: str,
    ) -> int:
        url = f'http://{self._world.seats[name].metrics}/metrics'
        started = self._world.started[name]
        limit = aiohttp.ClientTimeout(total=POLL_SECONDS)
        try:
            async with http.get(url, timeout=limit) as answer:
                found = VERSION.search(await answer.text())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        if found is None or started != self._world.started[name]:
            return 0
        number = int(found[1])
        last = self._versions.get((name, started), 0)
        if number < last:
            self._broken.append(f'{name} went from {last} to {number}')
        self._versions[name, started] = max(number, last)
        return number

    async def _probe(self) -> None:
        """Checks that all are well once all is mended."""
        for upstream in self._world.upstreams:
            upstream.script.clear()
        rng = random.Random(0)
        async with aiohttp.ClientSession() as http:
            for name in self._world.seats:
                number = await self._note_version(http, name)
                if number != self._world.number:
                    self._broken.append(
                        f'{name} is at {number}, not {self._world.number}',
                    )
                for at in range(PROBES):
                    request = f'probe-{name}-{at}'
                    told = await self.crowd.send(http, name, request, rng)
                    self.crowd.told.append(told)
                    if told.status != HTTP_OK:
                        self._broken.append(
                            f'{request} got {told.status or told.error}',
                        )


async def _soak(
    folder: Path,
    seed: int,
    seconds: float,
    callers: int,
) -> list[str]:
    async with World(folder, random.Random(seed)) as world:
        soak = Soak(world, seed)
        broken = await soak.run(seconds, callers)
        soak.report()
    return broken


def run(*, seed: int = 1, seconds: float = 20, callers: int = 9) -> int:
    """Soak gateways as real processes in all faults together.

    Args:
        seed: Makes the choices repeatable.
        seconds: How long faults are caused.
        callers: Callers in all zones together.
    """
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-soak-'))
    print(f'soak, seed {seed}, {seconds:g} s, logs in {folder}')
    started = time.monotonic()
    broken = asyncio.run(_soak(folder, seed, seconds, callers))
    for line in broken:
        print('BROKEN:', line)
    print(f'{len(broken)} broken in {time.monotonic() - started:.0f} s')
    return EXIT_BROKEN if broken else 0


if __name__ == '__main__':
    sys.exit(defopt.run(run))
