"""Cuts the watches that wait at the store, which excuses nothing."""

import asyncio
import random
import time

from bench.soak.testbed import Testbed

# Single cuts, and series of them in which no watch is answered.
CUT_INTERVAL_SECONDS = (0.05, 2.5)
SERIES_LENGTHS = (1, 8)
SERIES_PAUSE_SECONDS = (0.5, 4.0)


async def cut_watches(
    testbed: Testbed, seconds: float, rng: random.Random
) -> None:
    """Cuts waiting watches for a time, one series after another.

    Args:
        testbed: the started testbed.
        seconds: the time.
        rng: makes all random choices.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        interval_s = rng.uniform(*CUT_INTERVAL_SECONDS)
        for _ in range(rng.randint(*SERIES_LENGTHS)):
            testbed.store.cut_watches()
            await asyncio.sleep(interval_s)
        await asyncio.sleep(rng.uniform(*SERIES_PAUSE_SECONDS))
