"""Random faults of the soak test; several may be active at once."""

import asyncio
import random
import signal
import time
from collections.abc import Callable, Coroutine
from datetime import timedelta

from bench.soak.echo_upstream import EchoUpstream
from bench.soak.fault_records import InjectedFault, PlannedStop
from bench.soak.testbed import ROUTES, Testbed
from standins.large_configurations import many_routes
from standins.relay import Relay

PAUSE_SECONDS = (0.2, 1.2)
FAULT_SECONDS = (0.5, 3.0)
# A short pause, in which reads and due timers gather, and the time between two.
SHORT_PAUSE_SECONDS = (0.05, 0.15)
SHORT_PAUSE_INTERVAL_SECONDS = (0, 0.3)
IDLE_LIMIT_SECONDS = (0.3, 1.2)
IDLE_LIMIT_INTERVAL_SECONDS = (0.3, 1.5)
MAX_DELAY_SECONDS = 0.2
EXIT_SECONDS = 15
UPSTREAM_FAULTS = (
    'lose',
    'cut',
    'shed',
    'fail',
    'other',
    'extra',
    'silent',
    'close',
)
ADDED_ROUTE = {'name': 'more', 'prefix': '/more/', 'service': 'desk'}
# Of a large configuration, which every fourth version is.
MANY_ROUTES = 1_400
LARGE_EVERY = 4
MAX_UPSTREAMS = 9
MIN_UPSTREAMS = 4
# The age of a copy, the time away, and until a write is repeated.
COPY_SECONDS = (0.5, 6.0)
AWAY_SECONDS = (0, 1.5)
REPEATED_SECONDS = (0.1, 1.8)
RESTORE_PAUSE_SECONDS = (1.0, 6.0)
# In which share of the runs all instances are killed at the same moment, and
# in which part of the run.
HERD_SHARE = 0.5
HERD_PART = (0.3, 0.7)


class FaultInjector:
    """Injects faults one after another, and ends each of them.

    Args:
        testbed: the started testbed.
        rng: makes all random choices.
    """

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        """Initializes the injector; `run` starts it."""
        self.injected: list[InjectedFault] = []
        self.stops: list[PlannedStop] = []
        self._testbed = testbed
        self._rng = rng
        self._claimed: set[str] = set()
        self._frozen: set[str] = set()
        self._pending: set[asyncio.Task[None]] = set()
        self._routes = list(ROUTES)

    async def run(self, seconds: float) -> None:
        """Injects faults for a time, then waits until all have ended."""
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
            self._script_upstream,
            self._evacuate,
        ]
        while time.monotonic() < end:
            kind = self._rng.choice(kinds)
            self._pending.add(asyncio.create_task(kind()))
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        await asyncio.gather(*self._pending)

    async def restore_store(self, seconds: float, rng: random.Random) -> None:
        """Brings the store back from copies for a time, one after another.

        Args:
            seconds: the time.
            rng: makes the random choices of these faults alone.
        """
        end = time.monotonic() + seconds
        store = self._testbed.store
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(*RESTORE_PAUSE_SECONDS))
            started = time.monotonic()
            await store.come_back_from_copy(
                rng.uniform(*COPY_SECONDS),
                away_s=rng.uniform(*AWAY_SECONDS),
                written_again={
                    key: rng.uniform(*REPEATED_SECONDS)
                    for key in store.written_keys()
                },
            )
            self._record('store restore', 'store', started)

    async def kill_together(self, seconds: float, rng: random.Random) -> None:
        """Kills all instances that have no other fault at the same moment.

        Args:
            seconds: the time in which it happens, in some of the runs.
            rng: makes the random choices of this fault alone.
        """
        if rng.random() >= HERD_SHARE:
            return
        await asyncio.sleep(seconds * rng.uniform(*HERD_PART))
        names = sorted(set(self._testbed.instances) - self._claimed)
        self._claimed.update(names)
        started = time.monotonic()
        processes = [self._testbed.processes[name] for name in names]
        for process in processes:
            process.kill()
        for process in processes:
            await asyncio.to_thread(process.wait)
        await asyncio.sleep(rng.uniform(*FAULT_SECONDS))
        await asyncio.gather(*map(self._restart, names))
        for name in names:
            self._record('kill', name, started)

    async def pause_instances(self, seconds: float, rng: random.Random) -> None:
        """Pauses one instance after another for moments, for a time.

        The pauses excuse nothing, unless one lasts as long as a freeze because
        the soak test itself stood still.

        Args:
            seconds: the time.
            rng: makes the random choices of these faults alone.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(*SHORT_PAUSE_INTERVAL_SECONDS))
            free = sorted(set(self._testbed.instances) - self._claimed)
            if not free:
                continue
            name = rng.choice(free)
            process = self._testbed.processes[name]
            started = time.monotonic()
            process.send_signal(signal.SIGSTOP)
            self._testbed.pauses[name].set()
            await asyncio.sleep(rng.uniform(*SHORT_PAUSE_SECONDS))
            self._testbed.pauses[name].clear()
            if name not in self._frozen:
                process.send_signal(signal.SIGCONT)
            took = time.monotonic() - started
            kind = 'pause' if took < FAULT_SECONDS[0] else 'freeze'
            self._record(kind, name, started)

    async def change_idle_limits(
        self, seconds: float, rng: random.Random
    ) -> None:
        """Lowers and raises the idle limit of callers for a time.

        Args:
            seconds: the time.
            rng: makes the random choices of these changes alone.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(*IDLE_LIMIT_INTERVAL_SECONDS))
            limit = timedelta(seconds=rng.uniform(*IDLE_LIMIT_SECONDS))
            self._testbed.change_idle_limit(limit)

    def _claim_instance(self) -> str | None:
        """Claims an instance for a fault, unless half of them have one."""
        free = sorted(set(self._testbed.instances) - self._claimed)
        if len(free) <= len(self._testbed.instances) // 2:
            return None
        name = self._rng.choice(free)
        self._claimed.add(name)
        return name

    def _record(self, kind: str, name: str, started: float) -> None:
        self.injected.append(
            InjectedFault(kind, name, started, time.monotonic())
        )

    async def _wait_fault_time(self) -> None:
        await asyncio.sleep(self._rng.uniform(*FAULT_SECONDS))

    async def _kill(self) -> None:
        name = self._claim_instance()
        if name is None:
            return
        started = time.monotonic()
        self._testbed.processes[name].kill()
        await asyncio.to_thread(self._testbed.processes[name].wait)
        await self._wait_fault_time()
        await self._restart(name)
        self._record('kill', name, started)

    async def _freeze(self) -> None:
        name = self._claim_instance()
        if name is None:
            return
        started = time.monotonic()
        self._frozen.add(name)
        self._testbed.processes[name].send_signal(signal.SIGSTOP)
        await self._wait_fault_time()
        self._testbed.processes[name].send_signal(signal.SIGCONT)
        self._frozen.discard(name)
        self._record('freeze', name, started)
        self._claimed.discard(name)

    async def _stop(self) -> None:
        name = self._claim_instance()
        if name is not None:
            await self._stop_instance(name, time.monotonic())

    async def _stop_twice(self) -> None:
        """Sends SIGHUP and several SIGTERM, the last ones during the stop."""
        name = self._claim_instance()
        if name is None:
            return
        process = self._testbed.processes[name]
        started = time.monotonic()
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(self._rng.uniform(0, 0.5))
        asked = time.monotonic()
        for _ in range(2):
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(self._rng.uniform(0, 0.5))
        self._record('signals', name, started)
        await self._stop_instance(name, asked)

    async def _stop_instance(self, name: str, asked: float) -> None:
        """Sends SIGTERM, waits for the exit and starts the instance again.

        Args:
            name: the instance.
            asked: when the first SIGTERM was sent, in seconds of the monotonic
                clock.
        """
        started = time.monotonic()
        process = self._testbed.processes[name]
        process.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(process.wait, EXIT_SECONDS)
        exited = time.monotonic()
        await self._restart(name)
        self.stops.append(PlannedStop(name, asked, exited, status))
        self._record('stop', name, started)

    async def _restart(self, name: str) -> None:
        await asyncio.to_thread(self._testbed.start, name)
        await self._testbed.wait_ready(name)
        self._claimed.discard(name)

    async def _reload(self) -> None:
        """Changes the settings file; sends SIGHUP in half of the cases.

        The level `louder` is invalid.
        """
        name = self._rng.choice(sorted(self._testbed.instances))
        if name in self._claimed:
            return
        level = self._rng.choice(('info', 'debug', 'louder'))
        self._testbed.write_settings(name, level)
        if self._rng.random() < 0.5:
            self._testbed.processes[name].send_signal(signal.SIGHUP)

    async def _break_link(self) -> None:
        name = self._rng.choice(sorted(self._testbed.links))
        link = self._testbed.links[name]
        mode = self._rng.choice(('delay', 'reset', 'cut', 'there', 'back'))
        if f'link {name}' in self._claimed:
            return
        self._claimed.add(f'link {name}')
        started = time.monotonic()
        _apply_link_fault(link, mode, self._rng)
        await self._wait_fault_time()
        link.heal()
        self._record(f'link {mode}', name, started)
        self._claimed.discard(f'link {name}')

    async def _break_store(self) -> None:
        if 'store' in self._claimed:
            return
        self._claimed.add('store')
        started = time.monotonic()
        store = self._testbed.store
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
        await self._wait_fault_time()
        store.down = False
        store.silent = False
        store.write_delay_s = 0
        store.lose_writes = 0
        self._record(f'store {kind}', 'store', started)
        self._claimed.discard('store')

    async def _configure(self) -> None:
        """Writes one to three configuration versions in quick succession."""
        for _ in range(self._rng.randint(1, 3)):
            added = [ADDED_ROUTE] if self._rng.random() < 0.5 else []
            if self._testbed.config_version % LARGE_EVERY == 0:
                added += many_routes(MANY_ROUTES)
            self._testbed.configure([*ROUTES, *added])
            await asyncio.sleep(self._rng.uniform(0, 0.3))

    def _serving(self) -> list[EchoUpstream]:
        return [
            each for each in self._testbed.upstreams if each.left_at is None
        ]

    async def _change_upstreams(self) -> None:
        serving = self._serving()
        if len(serving) < MAX_UPSTREAMS and self._rng.random() < 0.5:
            await self._add_upstream(0)
        elif len(serving) > MIN_UPSTREAMS:
            leaving = self._rng.choice(serving)
            self._testbed.mark_leaving(leaving)
            await asyncio.sleep(5)
            self._testbed.deregister(leaving)

    async def _replace_upstream(self) -> None:
        """Kills an upstream and starts another one on the same port."""
        serving = self._serving()
        if len(serving) <= MIN_UPSTREAMS:
            return
        killed = self._rng.choice(serving)
        started = time.monotonic()
        killed.left_at = started
        port = int(killed.address.rpartition(':')[2])
        await killed.close()
        self._testbed.deregister(killed)
        await self._add_upstream(port)
        self._record('replace', killed.name, started)

    async def _add_upstream(self, port: int) -> None:
        zones = sorted({each.zone for each in self._testbed.instances.values()})
        await self._testbed.add_upstream(
            self._rng.choice(zones),
            port,
            is_cold=self._rng.random() < 0.7,
        )

    async def _script_upstream(self) -> None:
        serving = self._serving()
        if not serving:
            return
        upstream = self._rng.choice(serving)
        for _ in range(self._rng.randint(1, 6)):
            upstream.script.append(self._rng.choice(UPSTREAM_FAULTS))

    async def _evacuate(self) -> None:
        if 'evacuation' in self._claimed:
            return
        self._claimed.add('evacuation')
        zones = sorted({each.zone for each in self._testbed.instances.values()})
        key = f'op/evacuate/{self._rng.choice(zones)}'
        self._testbed.store.put(key, {})
        await self._wait_fault_time()
        self._testbed.store.remove(key)
        self._claimed.discard('evacuation')


def _apply_link_fault(link: Relay, mode: str, rng: random.Random) -> None:
    """Starts a fault of a link; `there` and `back` block one direction."""
    match mode:
        case 'delay':
            link.delay_s = rng.uniform(0, MAX_DELAY_SECONDS)
        case 'reset':
            link.resets_new = True
            link.reset()
        case 'cut':
            link.open.clear()
        case 'there':
            link.to_target.clear()
        case 'back':
            link.to_client.clear()
