"""Crashes of upstreams, by one request that is sent again and by chance."""

import asyncio
import contextlib
import itertools
import random
import time

import aiohttp

from bench.soak.echo_upstream import EchoUpstream
from bench.soak.load_generator import Call, LoadGenerator
from bench.soak.sessions import (
    CALLER_ADDRESSES,
    caller_address,
    open_session,
)
from bench.soak.testbed import ROUTES, Testbed

START_SECONDS = (0.2, 2)
RESEND_SECONDS = (0.1, 0.6)
# Copies of the crashing request that are sent side by side, and the pause
# between two such bursts.
BURST_SIZES = (3, 8)
BURST_SECONDS = (2, 5)
OTHER_CRASH_SECONDS = (1, 4)
# How many upstreams crash together for other reasons; five are more than the
# service takes for the crashes of one request.
OTHER_CRASHES = (1, 1, 2, 5)
RESTART_SECONDS = (1, 3)
WATCH_SECONDS = 0.05
# An upstream that is back has reached all instances after this time.
NOTICE_SECONDS = 1.5
SAME_NAME_SHARE = 0.2
SAME_ADDRESS_SHARE = 0.5
COLD_SHARE = 0.5
QUERY_SHARE = 0.3
QUERY_COUNT = 10


class CrashInjector:
    """Crashes upstreams, and starts each again as another incarnation.

    Args:
        testbed: the started testbed.
        load_generator: sends the crashing request, as long as it runs.
        rng: makes all random choices but those of bursts.
        burst_rng: makes the random choices of bursts.
    """

    def __init__(
        self,
        testbed: Testbed,
        load_generator: LoadGenerator,
        rng: random.Random,
        burst_rng: random.Random,
    ) -> None:
        """Initializes the injector; `run` starts it."""
        self.crash_count = 0
        self._testbed = testbed
        self._load_generator = load_generator
        self._rng = rng
        self._burst_rng = burst_rng
        self._sessions: list[aiohttp.ClientSession] = []
        self._restarts: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Runs until the load generator stops and all upstreams are back.

        Args:
            seconds: how long upstreams crash for other reasons.
        """
        watching = asyncio.create_task(self._watch())
        async with contextlib.AsyncExitStack() as sessions:
            for number in range(CALLER_ADDRESSES):
                session = open_session(caller_address(number))
                self._sessions.append(
                    await sessions.enter_async_context(session)
                )
            await asyncio.gather(
                self._send_crashing_request(),
                self._send_bursts(),
                self._crash_others(time.monotonic() + seconds),
            )
        watching.cancel()
        if any(not each.done() for each in self._restarts):
            await asyncio.gather(*self._restarts)
            await asyncio.sleep(NOTICE_SECONDS)

    async def _send_crashing_request(self) -> None:
        """Sends one request again and again, of any caller to any instance."""
        await asyncio.sleep(self._rng.uniform(*START_SECONDS))
        for at in itertools.count():
            if not self._load_generator.is_running:
                return
            await self._send(at, f'crash-{at}', self._rng)
            await asyncio.sleep(self._rng.uniform(*RESEND_SECONDS))

    async def _send_bursts(self) -> None:
        """Sends copies of the same request side by side, to any instances."""
        for at in itertools.count():
            await asyncio.sleep(self._burst_rng.uniform(*BURST_SECONDS))
            if not self._load_generator.is_running:
                return
            size = self._burst_rng.randint(*BURST_SIZES)
            await asyncio.gather(
                *(
                    self._send(copy, f'burst-{at}-{copy}', self._burst_rng)
                    for copy in range(size)
                )
            )

    async def _send(
        self, caller: int, request: str, rng: random.Random
    ) -> None:
        """Sends the crashing request from the address of a caller."""
        path = self._testbed.crashing_path
        is_order = any(
            path.startswith(route['prefix']) and 'type' in route
            for route in ROUTES
        )
        name = rng.choice(sorted(self._testbed.instances))
        call = Call(request, is_order, path, _make_query(rng))
        http = self._sessions[caller % CALLER_ADDRESSES]
        self._load_generator.results.append(
            await self._load_generator.send(http, name, call)
        )

    async def _crash_others(self, end: float) -> None:
        """Crashes upstreams at their next request, whatever it is."""
        while True:
            await asyncio.sleep(self._rng.uniform(*OTHER_CRASH_SECONDS))
            if time.monotonic() >= end:
                return
            running = [
                each for each in self._testbed.upstreams if each.left_at is None
            ]
            count = min(self._rng.choice(OTHER_CRASHES), len(running))
            for upstream in self._rng.sample(running, count):
                upstream.script.append('crash')

    async def _watch(self) -> None:
        """Starts a restart for each upstream that has crashed."""
        while True:
            for upstream in self._testbed.upstreams:
                if upstream.crashed_at is not None and upstream.left_at is None:
                    upstream.left_at = upstream.crashed_at
                    self.crash_count += 1
                    self._restarts.add(
                        asyncio.create_task(self._restart(upstream))
                    )
            await asyncio.sleep(WATCH_SECONDS)

    async def _restart(self, crashed: EchoUpstream) -> None:
        """Starts an upstream again, mostly under a new name."""
        await asyncio.sleep(self._rng.uniform(*RESTART_SECONDS))
        keeps_name = self._rng.random() < SAME_NAME_SHARE
        keeps_address = self._rng.random() < SAME_ADDRESS_SHARE
        if not keeps_name:
            self._testbed.deregister(crashed)
        await self._testbed.add_upstream(
            crashed.zone,
            is_cold=self._rng.random() < COLD_SHARE,
            name=crashed.name if keeps_name else '',
            link_port=crashed.link_port if keeps_address else 0,
        )


def _make_query(rng: random.Random) -> str:
    if rng.random() >= QUERY_SHARE:
        return ''
    return f'?at={rng.randrange(QUERY_COUNT)}'
