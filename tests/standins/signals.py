"""Tells which signals a process ignores."""

import asyncio
import signal
from pathlib import Path

START_SECONDS = 15
POLL_SECONDS = 0.005


async def wait_ignored(pid: int, number: signal.Signals) -> None:
    """Waits until a process that is still starting ignores a signal.

    Raises:
        TimeoutError: the process does not ignore it within `START_SECONDS`.
    """
    for _ in range(int(START_SECONDS / POLL_SECONDS)):
        if _ignores(pid, number):
            return
        await asyncio.sleep(POLL_SECONDS)
    raise TimeoutError(f'{number.name} is not ignored')


def _ignores(pid: int, number: signal.Signals) -> bool:
    status = Path(f'/proc/{pid}/status').read_text()
    mask = status.partition('SigIgn:')[2].split()[0]
    return bool(int(mask, 16) >> (number - 1) & 1)
