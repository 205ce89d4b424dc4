"""What idle entry instances cost: `python -m bench.idle [ZONES] [ENTRIES]`.

Starts a platform and real daemons with upstreams to own, sends no request,
and prints processor time and memory of the instances, and platform calls.
"""

import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

from standins.deployment import Deployment, call, free_ports
from standins.operators import apply_ticket, make_ticket, wait_in_force

SETTLE_SECONDS = 15
SECONDS = 20
UPSTREAMS_PER_ENTRY = 1
CPU_FIELDS = slice(13, 15)
TICKS = os.sysconf('SC_CLK_TCK')


def _cpu_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().split()
    return sum(int(field) for field in fields[CPU_FIELDS]) / TICKS


def _memory_mb(pid: int) -> float:
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1_048_576


async def _calls(running: Deployment) -> int:
    _, count = await call('GET', f'http://{running.platform}/calls')
    return int(count)


def _measure(running: Deployment) -> None:
    pids = [running.processes[name].pid for name in running.instances]
    calls = asyncio.run(_calls(running))
    before = [_cpu_seconds(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(SECONDS)
    passed = time.monotonic() - started
    used = [
        (_cpu_seconds(pid) - first) / passed
        for pid, first in zip(pids, before, strict=True)
    ]
    memory = [_memory_mb(pid) for pid in pids]
    calls = asyncio.run(_calls(running)) - calls
    print(
        f'{len(pids)} instances: processor {statistics.mean(used):.2%} of a '
        f'core each (most {max(used):.2%}), memory '
        f'{statistics.mean(memory):.0f} MB each (most {max(memory):.0f}), '
        f'platform {calls / passed:.2f} calls/s in all',
    )


def main() -> None:
    """Measures one deployment."""
    zones, entries = (int(each) for each in (*sys.argv[1:], '6', '4')[:2])
    places = {f'zone-{index}': f'region-{index // 2}' for index in range(zones)}
    ports = free_ports(zones * entries * UPSTREAMS_PER_ENTRY)
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-idle-'))
    with Deployment(folder, zones=places, entries=entries) as running:
        running.start_upstreams('upstreams', ports)
        number = apply_ticket(running, make_ticket(places, 'kassa', ports))
        asyncio.run(wait_in_force(running, number))
        time.sleep(SETTLE_SECONDS)
        _measure(running)


if __name__ == '__main__':
    main()
