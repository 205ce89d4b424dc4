"""Memory of the processes of the soak test."""

import asyncio
import re
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from bench.soak.testbed import Testbed

POLL_SECONDS = 0.5
KIB_BYTES = 1024
MB_BYTES = 1_000_000
# The smallest machine of the users, and the part of it for one process.
SMALLEST_MACHINE_MB = 152
PROCESS_SHARE = 0.8
MAX_PROCESS_BYTES = int(SMALLEST_MACHINE_MB * PROCESS_SHARE * MB_BYTES)
RESIDENT = re.compile(r'^VmRSS:\s+(\d+) kB$', re.MULTILINE)
PEAK = re.compile(r'^VmHWM:\s+(\d+) kB$', re.MULTILINE)


class MemoryUse(NamedTuple):
    """Resident memory of one process.

    Attributes:
        instance: the instance.
        pid: the id of the process.
        end_bytes: its memory when it was last seen.
        peak_bytes: the most memory that it had until then.
    """

    instance: str
    pid: int
    end_bytes: int
    peak_bytes: int

    def __str__(self) -> str:
        """Returns the figures in MB."""
        return (
            f'{self.instance} (pid {self.pid}) '
            f'{self.end_bytes / MB_BYTES:.1f} MB at the end, '
            f'{self.peak_bytes / MB_BYTES:.1f} MB at its peak'
        )


class MemoryMonitor:
    """Reads the memory of all processes, also of those that are replaced.

    Args:
        testbed: the started testbed.
    """

    def __init__(self, testbed: Testbed) -> None:
        """Initializes the monitor; `run` starts it."""
        self._testbed = testbed
        self._uses: dict[int, MemoryUse] = {}

    @property
    def uses(self) -> list[MemoryUse]:
        """The memory of each process, by instance."""
        return sorted(self._uses.values())

    async def run(self) -> None:
        """Reads the memory until cancelled."""
        while True:
            self.read()
            await asyncio.sleep(POLL_SECONDS)

    def read(self) -> None:
        """Reads the memory of the processes that run."""
        for instance, process in self._testbed.processes.items():
            use = read_memory(instance, process.pid)
            if use is not None:
                self._uses[use.pid] = use


def find_excess_memory(uses: Sequence[MemoryUse]) -> Iterator[str]:
    """Yields processes that need more than a small machine has for them."""
    for use in uses:
        if use.peak_bytes > MAX_PROCESS_BYTES:
            limit = MAX_PROCESS_BYTES / MB_BYTES
            yield f'{use}; the limit is {limit:.0f} MB'


def read_memory(instance: str, pid: int) -> MemoryUse | None:
    """Returns the memory of a process, or None if it has ended."""
    try:
        status = Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return None
    resident = RESIDENT.search(status)
    peak = PEAK.search(status)
    if resident is None or peak is None:
        return None
    return MemoryUse(
        instance, pid, int(resident[1]) * KIB_BYTES, int(peak[1]) * KIB_BYTES
    )
