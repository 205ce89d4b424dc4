"""Callers that send bursts of requests on connections that they keep."""

import asyncio
import contextlib
import json
import random
import time
from datetime import timedelta
from typing import NamedTuple

from bench.soak.load_generator import (
    ANSWER_LIMIT,
    BEHIND_CLOSE,
    DEADLINE_MS,
    NEVER,
    PREFIXES,
    REPEATED_PATHS,
    Call,
    CallResult,
    LoadGenerator,
    make_call,
)
from bench.soak.stalls import StallMonitor
from bench.soak.testbed import Testbed, may_have_been_idle
from standins.pipelining_caller import (
    OrderedAnswer,
    PipeliningCaller,
    make_request,
)

PAUSE_SECONDS = 0.2
# Rests begin at this share of the idle limit, and last this much beyond it.
SHORTEST_REST_SHARE = 0.5
REST_BEYOND_LIMIT_SECONDS = 1.2
PAUSE_ENDS_REST_SHARE = 0.5
CLOSED = 'ConnectionClosed'


class Habit(NamedTuple):
    """How callers use their connections.

    Attributes:
        name: the beginning of the ids of their requests.
        callers: the number of callers for each instance.
        most_ahead: the most requests that are sent behind one another.
        rests: whether they rest for about the idle limit between bursts.
    """

    name: str
    callers: int
    most_ahead: int
    rests: bool


HABITS = (
    Habit('pipe', 1, 12, rests=False),
    Habit('rest', 4, 1, rests=True),
    Habit('rest-pipe', 2, 3, rests=True),
)


class PipeliningCallers:
    """Callers that send bursts and use a connection until it is closed.

    Attributes:
        idle_closes: how many idle connections were found closed.

    Args:
        habit: how they use their connections.
        testbed: the started testbed.
        generator: takes their results.
        rng: makes all random choices.
        stalls: the stalls of this process.
    """

    def __init__(
        self,
        habit: Habit,
        testbed: Testbed,
        generator: LoadGenerator,
        rng: random.Random,
        stalls: StallMonitor,
    ) -> None:
        """Initializes the callers; `run` starts them."""
        self.idle_closes = 0
        self._habit = habit
        self._testbed = testbed
        self._generator = generator
        self._rng = rng
        self._stalls = stalls
        self._sent = 0

    async def run(self) -> None:
        """Runs the callers of each instance until the generator stops."""
        await asyncio.gather(
            *(
                self._run_caller(name)
                for name in self._testbed.instances
                for _ in range(self._habit.callers)
            )
        )

    async def _run_caller(self, name: str) -> None:
        while self._generator.is_running:
            address = self._testbed.instances[name].caller_address
            # Connecting counts as a part of the first requests.
            sent = time.monotonic()
            # A refused connection is no violation.
            with contextlib.suppress(OSError):
                async with PipeliningCaller(address) as caller:
                    await self._use(caller, name, sent)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _use(
        self, caller: PipeliningCaller, name: str, sent: float
    ) -> None:
        """Sends bursts until the connection is closed, or the run ends."""
        idle_since = NEVER
        stalled = self._stalls.total()
        while await self._send_burst(caller, name, sent, idle_since):
            answered = self._stalls.earliest_answer(time.monotonic(), stalled)
            idle_since = max(sent, answered)
            await self._rest(name)
            sent = time.monotonic()
            if caller.is_closed and may_have_been_idle(
                self._testbed.config_writes, idle_since, sent
            ):
                self.idle_closes += 1
                return
            stalled = self._stalls.total()

    async def _rest(self, name: str) -> None:
        """Waits between bursts.

        Many rests end while the instance is paused for a moment, so that it
        reads several requests at once.
        """
        if not self._habit.rests:
            await asyncio.sleep(self._rng.random() * PAUSE_SECONDS)
            return
        limit = self._testbed.idle_limit.total_seconds()
        rest = self._rng.uniform(
            SHORTEST_REST_SHARE * limit, limit + REST_BEYOND_LIMIT_SECONDS
        )
        if self._rng.random() < PAUSE_ENDS_REST_SHARE:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(rest):
                    await self._testbed.pauses[name].wait()
        else:
            await asyncio.sleep(rest)

    def _make_calls(self, name: str) -> list[Call]:
        calls = []
        for _ in range(self._rng.randint(1, self._habit.most_ahead)):
            self._sent += 1
            call = make_call(f'{self._habit.name}-{self._sent}', self._rng)
            prefix = PREFIXES[call.is_order]
            path = (
                f'{prefix}{self._habit.name}/{name}/'
                f'{self._sent % REPEATED_PATHS}'
            )
            calls.append(call._replace(path=path))
        return calls

    async def _send_burst(
        self,
        caller: PipeliningCaller,
        name: str,
        sent: float,
        idle_since: float,
    ) -> bool:
        """Returns whether the connection is open, and the run goes on."""
        calls = self._make_calls(name)
        caller.send(
            *(
                make_request(
                    call.request,
                    path=call.path,
                    method='POST' if call.is_order else 'GET',
                    deadline_ms=DEADLINE_MS,
                    body=b'x' * 300 if call.is_order else b'',
                )
                for call in calls
            )
        )
        error = ''
        for call in calls:
            answer = None
            if not error:
                answer, error = await self._read(caller, sent)
            if answer:
                idle_since = NEVER
            self._generator.results.append(
                CallResult(
                    call.request,
                    name,
                    call.is_order,
                    sent,
                    time.monotonic(),
                    answer.status if answer else 0,
                    _read_id(answer),
                    bool(answer and answer.request),
                    call.path,
                    _read_reason(answer),
                    '' if answer else error,
                    idle_since,
                )
            )
            if answer is not None and answer.closes:
                error = BEHIND_CLOSE
        return not error and self._generator.is_running

    async def _read(
        self, caller: PipeliningCaller, sent: float
    ) -> tuple[OrderedAnswer | None, str]:
        """Returns the next answer, or why there is none.

        An order is answered within its deadline although others before it
        took their time, so all have the same limit.
        """
        left = ANSWER_LIMIT - timedelta(seconds=time.monotonic() - sent)
        try:
            async with self._stalls.timeout(max(left, timedelta())):
                answer = await caller.read()
        except TimeoutError:
            return None, 'TimeoutError'
        return answer, '' if answer else CLOSED


def _read_id(answer: OrderedAnswer | None) -> str:
    try:
        return str(json.loads(answer.body)['ran']) if answer else ''
    except (ValueError, KeyError, TypeError):
        return ''


def _read_reason(answer: OrderedAnswer | None) -> str:
    if answer is None or answer.request:
        return ''
    return answer.body.decode(errors='replace')
