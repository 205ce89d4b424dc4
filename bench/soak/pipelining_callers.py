"""Callers that send requests behind one another on one connection."""

import asyncio
import contextlib
import json
import random
import time
from datetime import timedelta

from bench.soak.load_generator import (
    ANSWER_LIMIT,
    BEHIND_CLOSE,
    DEADLINE_MS,
    PREFIXES,
    REPEATED_PATHS,
    CallResult,
    LoadGenerator,
    make_call,
)
from bench.soak.stalls import StallMonitor
from bench.soak.testbed import Testbed
from standins.pipelining_caller import (
    OrderedAnswer,
    PipeliningCaller,
    make_request,
)

MOST_AHEAD = 12
PAUSE_SECONDS = 0.2
CLOSED = 'ConnectionClosed'


class PipeliningCallers:
    """Callers that send bursts and use a connection until it is closed.

    Args:
        testbed: the started testbed.
        generator: takes their results.
        rng: makes all random choices.
        stalls: the stalls of this process.
    """

    def __init__(
        self,
        testbed: Testbed,
        generator: LoadGenerator,
        rng: random.Random,
        stalls: StallMonitor,
    ) -> None:
        """Initializes the callers; `run` starts them."""
        self._testbed = testbed
        self._generator = generator
        self._rng = rng
        self._stalls = stalls
        self._sent = 0

    async def run(self) -> None:
        """Runs one caller for each instance until the generator stops."""
        await asyncio.gather(
            *(self._run_caller(name) for name in self._testbed.instances)
        )

    async def _run_caller(self, name: str) -> None:
        while self._generator.is_running:
            address = self._testbed.instances[name].caller_address
            # Connecting counts as a part of the first requests.
            sent = time.monotonic()
            # A refused connection is no violation.
            with contextlib.suppress(OSError):
                async with PipeliningCaller(address) as caller:
                    while await self._send_burst(caller, name, sent):
                        await asyncio.sleep(self._rng.random() * PAUSE_SECONDS)
                        sent = time.monotonic()
            await asyncio.sleep(PAUSE_SECONDS)

    async def _send_burst(
        self, caller: PipeliningCaller, name: str, sent: float
    ) -> bool:
        """Returns whether the connection is open, and the run goes on."""
        calls = []
        for _ in range(self._rng.randint(1, MOST_AHEAD)):
            self._sent += 1
            call = make_call(f'pipe-{self._sent}', self._rng)
            prefix = PREFIXES[call.is_order]
            path = f'{prefix}pipe/{name}/{self._sent % REPEATED_PATHS}'
            calls.append(call._replace(path=path))
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
