"""Sends signals to processes, and tells which ones they ignore."""

import asyncio
import signal
import subprocess
import time
from pathlib import Path

START_SECONDS = 15
POLL_SECONDS = 0.005
SIGNAL_SECONDS = 0.002


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


def send_until_ended(
    process: subprocess.Popen[bytes], number: signal.Signals
) -> int:
    """Sends a signal again and again; returns the exit status."""
    while process.poll() is None:
        process.send_signal(number)
        time.sleep(SIGNAL_SECONDS)
    return int(process.returncode)


def _ignores(pid: int, number: signal.Signals) -> bool:
    status = Path(f'/proc/{pid}/status').read_text()
    mask = status.partition('SigIgn:')[2].split()[0]
    return bool(int(mask, 16) >> (number - 1) & 1)
