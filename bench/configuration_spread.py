"""Time from the registry's answer to a configuration in force everywhere.

Instances in two zones run in one process and in virtual time, so that neither
the machine nor its load changes the times; processor time is not counted.
Each instance has a link of its own, for what it gets from the registry and
what it sends to its peers.

    PYTHONPATH=tests python -m bench.configuration_spread --per_zone 9

prints a line for each scene: the median, the 90th percentile and the slowest
time over the instances that nothing disturbs, how many of them are later than
3 s, the bytes that all instances send to peers, and the calls to the registry.
"""

import asyncio
import logging
import statistics
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import defopt

from standins.large_configurations import many_routes, many_tenants
from standins.thin_testbed import (
    BUSY_THIN_LINK,
    MEGABIT,
    Member,
    ThinTestbed,
    head_of,
    run_thin_scenario,
    watchers_of_zone,
    write_configuration,
)

THIN_LINK = 5 * MEGABIT
SLOW_LINK = 0.5 * MEGABIT
FEW_ROUTES = 20
MANY_ROUTES = 1_400
TENANTS = 86
MANY_KEYS = 10_000
LIMIT_S = 14.0
BOUND_S = 3.0
SETTLE_S = 4.0
SILENT_S = 4.0
RAPID_CHANGES = 9
RAPID_GAP_S = 1 / 3
FIRST = 0x20
MOVED = 'guide'

Disturb = Callable[[ThinTestbed], Awaitable[list[Member]]]


async def _disturb_nothing(testbed: ThinTestbed) -> list[Member]:
    return []


async def _hold_head(testbed: ThinTestbed) -> list[Member]:
    head = head_of(testbed.members)
    head.link.hold()
    return [head]


async def _slow_head(testbed: ThinTestbed) -> list[Member]:
    head = head_of(testbed.members)
    head.link.limit(SLOW_LINK)
    return [head]


async def _hold_watchers(testbed: ThinTestbed) -> list[Member]:
    zone = testbed.members[0].zone
    watchers = watchers_of_zone(testbed.members, zone)
    for watcher in watchers:
        watcher.link.hold()
    return watchers


async def _silence_connections(testbed: ThinTestbed) -> list[Member]:
    testbed.silence_connections()
    await asyncio.sleep(SILENT_S)
    return []


class SpreadScene(NamedTuple):
    """A change of a configuration, and what disturbs its spread.

    Attributes:
        bits_per_s: what each link carries; None without a limit.
        before: the number of routes before the change.
        after: the number of routes after it.
        keys: the number of tenants' keys.
        changes: how many changes are made in quick succession.
        disturb: disturbs instances right before the change, and returns them.
    """

    bits_per_s: float | None
    before: int = MANY_ROUTES
    after: int = MANY_ROUTES
    keys: int = 0
    changes: int = 1
    disturb: Disturb = _disturb_nothing


SCENES = {
    'free links, small document': SpreadScene(None, FEW_ROUTES, FEW_ROUTES),
    'free links, one route of 1,400': SpreadScene(None),
    '5 Mbit/s, 1,400 routes more': SpreadScene(THIN_LINK, FEW_ROUTES),
    '1.5 Mbit/s, 1,400 routes more': SpreadScene(BUSY_THIN_LINK, FEW_ROUTES),
    '1.5 Mbit/s, one route of 1,400': SpreadScene(BUSY_THIN_LINK),
    '5 Mbit/s, 10,000 keys, one route': SpreadScene(THIN_LINK, keys=MANY_KEYS),
    '5 Mbit/s, three changes a second': SpreadScene(
        THIN_LINK, changes=RAPID_CHANGES
    ),
    'head cut off': SpreadScene(THIN_LINK, disturb=_hold_head),
    'head slow': SpreadScene(THIN_LINK, disturb=_slow_head),
    'watchers of a zone cut off': SpreadScene(
        THIN_LINK, disturb=_hold_watchers
    ),
    'connections silent for 4 s': SpreadScene(
        THIN_LINK, disturb=_silence_connections
    ),
}


async def _measure(
    testbed: ThinTestbed, scene: SpreadScene, per_zone: int
) -> str:
    tenants = (
        many_tenants(TENANTS, scene.keys // TENANTS) if scene.keys else None
    )
    write_configuration(
        testbed, FIRST, _routes(scene.before, 'desk'), tenants=tenants
    )
    await testbed.start_zones(per_zone, None)
    await asyncio.sleep(SETTLE_S)
    for member in testbed.members:
        member.link.limit(scene.bits_per_s)
    disturbed = await scene.disturb(testbed)
    sent, calls = testbed.sent_to_peers(), testbed.count_store_reads()
    for change in range(1, scene.changes):
        write_configuration(
            testbed,
            FIRST + change,
            _routes(scene.after, f'{change}'),
            tenants=tenants,
        )
        await asyncio.sleep(RAPID_GAP_S)
    last = FIRST + scene.changes
    write_configuration(
        testbed, last, _routes(scene.after, MOVED), tenants=tenants
    )
    among = [each for each in testbed.members if each not in disturbed]
    times = sorted(
        (await testbed.measure_spread(last, LIMIT_S, among)).values()
    )
    late = len(among) - sum(time <= BOUND_S for time in times)
    return '  '.join(
        (
            f'{_percentile(times, 50):>6}',
            f'{_percentile(times, 90):>6}',
            f'{_percentile(times, 100):>6}',
            f'{late:>3} of {len(among)}',
            f'{testbed.sent_to_peers() - sent:>9,}',
            f'{testbed.count_store_reads() - calls:>4}',
        )
    )


def _routes(count: int, service: str) -> list[dict[str, Any]]:
    moved = {'name': 'moved', 'prefix': '/moved/', 'service': service}
    return [*many_routes(count), moved]


def _percentile(times: list[float], percent: int) -> str:
    if not times:
        return '-'
    if percent == 100 or len(times) < 2:
        return f'{times[-1]:.2f}'
    return f'{statistics.quantiles(times, n=100)[percent - 1]:.2f}'


def _play(scene: SpreadScene, per_zone: int) -> str:
    """Returns the figures of a scene."""
    found: list[str] = []

    async def _run(testbed: ThinTestbed) -> None:
        found.append(await _measure(testbed, scene, per_zone))

    with tempfile.TemporaryDirectory() as folder:
        run_thin_scenario(Path(folder), _run)
    return found[0]


def measure(*, per_zone: int = 9, scene: str = '') -> None:
    """Prints how long a configuration takes to be in force everywhere.

    Args:
        per_zone: the instances of each of the two zones.
        scene: the scenes whose names begin so; all by default.
    """
    logging.disable()
    print(f'{"scene":34}  median     90%     max  over 3 s      bytes  calls')
    for name, each in SCENES.items():
        if name.startswith(scene):
            print(f'{name:34}  {_play(each, per_zone)}', flush=True)


if __name__ == '__main__':
    defopt.run(measure)
