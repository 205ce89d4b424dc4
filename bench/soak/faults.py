"""Faults of a soak, chosen by a seed; some overlap, some come in series."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from bench.soak.world import ROUTES, Upstream, World
from standins.relay import Relay

PAUSE_SECONDS = (0.2, 1.2)
LENGTH_SECONDS = (0.5, 3.0)
MOST_DELAY_SECONDS = 0.2
EXIT_SECONDS = 15
SCRIPTS = ('lose', 'cut', 'shed', 'fail', 'other', 'extra', 'silent', 'close')
ADDED_ROUTE = {'name': 'more', 'prefix': '/more/', 'service': 'desk'}
MOST_UPSTREAMS = 9
LEAST_UPSTREAMS = 4


class Caused(NamedTuple):
    """A fault and its time, in seconds of the monotonic clock.

    Attributes:
        kind: what was done.
        name: to whom.
        begun: when it began.
        ended: when it was over.
    """

    kind: str
    name: str
    begun: float
    ended: float


class PlannedStop(NamedTuple):
    """A stop by SIGTERM, with times in seconds of the monotonic clock.

    Attributes:
        name: the instance.
        sent: when the signal was sent.
        gone: when the process had ended.
        status: with which the process ended.
    """

    name: str
    sent: float
    gone: float
    status: int


class Faults:
    """Causes faults one after another, and mends each of them.

    Args:
        world: the deployment.
        rng: makes the choices repeatable.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        """Makes a schedule that has not begun."""
        self.caused: list[Caused] = []
        self.stops: list[PlannedStop] = []
        self._world = world
        self._rng = rng
        self._busy: set[str] = set()
        self._pending: set[asyncio.Task[None]] = set()
        self._routes = list(ROUTES)

    async def run(self, seconds: float) -> None:
        """Causes faults for a time, then waits until all are mended."""
        end = time.monotonic() + seconds
        kinds: list[Callable[[], Coroutine[None, None, None]]] = [
            self._kill,
            self._freeze,
            self._stop,
            self._stop_twice,
            self._reload,
            self._break_link,
            self._break_link,
            self._break_store,
            self._configure,
            self._change_upstreams,
            self._replace_upstream,
            self._script,
            self._evacuate,
        ]
        while time.monotonic() < end:
            kind = self._rng.choice(kinds)
            self._pending.add(asyncio.create_task(kind()))
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        await asyncio.gather(*self._pending)

    def _take_seat(self) -> str | None:
        free = sorted(set(self._world.seats) - self._busy)
        if len(free) <= len(self._world.seats) // 2:
            return None
        name = self._rng.choice(free)
        self._busy.add(name)
        return name

    def _note(self, kind: str, name: str, begun: float) -> None:
        self.caused.append(Caused(kind, name, begun, time.monotonic()))

    async def _wait(self) -> None:
        await asyncio.sleep(self._rng.uniform(*LENGTH_SECONDS))

    async def _kill(self) -> None:
        name = self._take_seat()
        if name is None:
            return
        begun = time.monotonic()
        self._world.processes[name].kill()
        self._world.processes[name].wait()
        await self._wait()
        await self._start_again(name)
        self._note('kill', name, begun)

    async def _freeze(self) -> None:
        name = self._take_seat()
        if name is None:
            return
        begun = time.monotonic()
        self._world.processes[name].send_signal(signal.SIGSTOP)
        await self._wait()
        self._world.processes[name].send_signal(signal.SIGCONT)
        self._note('freeze', name, begun)
        self._busy.discard(name)

    async def _stop(self) -> None:
        name = self._take_seat()
        if name is not None:
            await self._stop_one(name)

    async def _stop_twice(self) -> None:
        """Sends signals in a series, the last while it is stopping."""
        name = self._take_seat()
        if name is None:
            return
        process = self._world.processes[name]
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            process.send_signal(number)
            await asyncio.sleep(self._rng.uniform(0, 0.5))
        await self._stop_one(name)

    async def _stop_one(self, name: str) -> None:
        begun = time.monotonic()
        process = self._world.processes[name]
        process.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(process.wait, EXIT_SECONDS)
        gone = time.monotonic()
        await self._start_again(name)
        self.stops.append(PlannedStop(name, begun, gone, status))
        self._note('stop', name, begun)

    async def _start_again(self, name: str) -> None:
        self._world.start(name)
        await self._world.wait_ready(name)
        self._busy.discard(name)

    async def _reload(self) -> None:
        """Changes the settings file, with a signal or without one."""
        name = self._rng.choice(sorted(self._world.seats))
        if name in self._busy:
            return
        level = self._rng.choice(('info', 'debug', 'louder'))
        self._world.write_settings(name, level)
        if self._rng.random() < 0.5:
            self._world.processes[name].send_signal(signal.SIGHUP)

    async def _break_link(self) -> None:
        name = self._rng.choice(sorted(self._world.links))
        link = self._world.links[name]
        way = self._rng.choice(('delay', 'reset', 'cut', 'there', 'back'))
        if f'link {name}' in self._busy:
            return
        self._busy.add(f'link {name}')
        begun = time.monotonic()
        _break(link, way, self._rng)
        await self._wait()
        link.heal()
        self._note(f'link {way}', name, begun)
        self._busy.discard(f'link {name}')

    async def _break_store(self) -> None:
        if 'store' in self._busy:
            return
        self._busy.add('store')
        begun = time.monotonic()
        store = self._world.store
        kind = self._rng.choice(('down', 'silent', 'lose', 'late', 'forget'))
        match kind:
            case 'down':
                store.down = True
            case 'silent':
                store.silent = True
            case 'lose':
                store.lose_writes = 2
            case 'late':
                store.write_delay_s = self._rng.uniform(0.5, 2)
            case 'forget':
                store.compact()
        await self._wait()
        store.down = False
        store.silent = False
        store.write_delay_s = 0
        self._note(f'store {kind}', 'store', begun)
        self._busy.discard('store')

    async def _configure(self) -> None:
        """Writes some versions one soon after another."""
        for _ in range(self._rng.randint(1, 3)):
            added = [ADDED_ROUTE] if self._rng.random() < 0.5 else []
            self._world.configure([*ROUTES, *added])
            await asyncio.sleep(self._rng.uniform(0, 0.3))

    def _serving(self) -> list[Upstream]:
        return [each for each in self._world.upstreams if each.left_at is None]

    async def _change_upstreams(self) -> None:
        serving = self._serving()
        if len(serving) < MOST_UPSTREAMS and self._rng.random() < 0.5:
            await self._add(0)
        elif len(serving) > LEAST_UPSTREAMS:
            leaver = self._rng.choice(serving)
            self._world.leave(leaver)
            await asyncio.sleep(5)
            self._world.remove(leaver)

    async def _replace_upstream(self) -> None:
        """Kills an upstream; another one listens at its address at once."""
        serving = self._serving()
        if len(serving) <= LEAST_UPSTREAMS:
            return
        victim = self._rng.choice(serving)
        begun = time.monotonic()
        victim.left_at = begun
        port = int(victim.address.rpartition(':')[2])
        await victim.close()
        self._world.remove(victim)
        await self._add(port)
        self._note('replace', victim.name, begun)

    async def _add(self, port: int) -> None:
        zones = sorted({each.zone for each in self._world.seats.values()})
        await self._world.add_upstream(
            self._rng.choice(zones),
            port,
            is_cold=self._rng.random() < 0.7,
        )

    async def _script(self) -> None:
        upstream = self._rng.choice(self._serving())
        for _ in range(self._rng.randint(1, 6)):
            upstream.script.append(self._rng.choice(SCRIPTS))

    async def _evacuate(self) -> None:
        if 'evacuation' in self._busy:
            return
        self._busy.add('evacuation')
        zones = sorted({each.zone for each in self._world.seats.values()})
        key = f'op/evacuate/{self._rng.choice(zones)}'
        self._world.store.put(key, {})
        await self._wait()
        self._world.store.remove(key)
        self._busy.discard('evacuation')


def _break(link: Relay, way: str, rng: random.Random) -> None:
    match way:
        case 'delay':
            link.delay_s = rng.uniform(0, MOST_DELAY_SECONDS)
        case 'reset':
            link.resets_new = True
            link.reset()
        case 'cut':
            link.open.clear()
        case 'there':
            link.to_target.clear()
        case 'back':
            link.to_client.clear()
