"""Measures idle entry instances: `python -m bench.idle [ZONES] [ENTRIES]`.

Starts a platform, upstreams and real daemons that own the upstreams, and
sends no requests. Prints the processor time and memory of the instances and
the rate of platform calls.
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
MEASURE_SECONDS = 20
UPSTREAMS_PER_ENTRY = 1
CPU_FIELDS = slice(13, 15)
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


def _cpu_seconds(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().split()
    return sum(int(field) for field in fields[CPU_FIELDS]) / TICKS_PER_SECOND


def _memory_mb(pid: int) -> float:
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1_048_576


async def _count_platform_calls(deployment: Deployment) -> int:
    _, count = await call('GET', f'http://{deployment.platform}/calls')
    return int(count)


def _measure(deployment: Deployment) -> None:
    pids = [deployment.processes[name].pid for name in deployment.instances]
    calls = asyncio.run(_count_platform_calls(deployment))
    before = [_cpu_seconds(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(MEASURE_SECONDS)
    elapsed = time.monotonic() - started
    used = [
        (_cpu_seconds(pid) - first) / elapsed
        for pid, first in zip(pids, before, strict=True)
    ]
    memory = [_memory_mb(pid) for pid in pids]
    calls = asyncio.run(_count_platform_calls(deployment)) - calls
    print(
        f'{len(pids)} instances: processor {statistics.mean(used):.2%} of a '
        f'core each (max {max(used):.2%}), memory '
        f'{statistics.mean(memory):.0f} MB each (max {max(memory):.0f}), '
        f'platform {calls / elapsed:.2f} calls/s in total',
    )


def main() -> None:
    """Measures one deployment."""
    zones, entries = (int(each) for each in (*sys.argv[1:], '6', '4')[:2])
    zone_regions = {
        f'zone-{index}': f'region-{index // 2}' for index in range(zones)
    }
    ports = free_ports(zones * entries * UPSTREAMS_PER_ENTRY)
    folder = Path(tempfile.mkdtemp(prefix='lycheedyke-idle-'))
    with Deployment(folder, zones=zone_regions, entries=entries) as deployment:
        deployment.start_upstreams('upstreams', ports)
        number = apply_ticket(
            deployment, make_ticket(zone_regions, 'kassa', ports)
        )
        asyncio.run(wait_in_force(deployment, number))
        time.sleep(SETTLE_SECONDS)
        _measure(deployment)


if __name__ == '__main__':
    main()
