"""Simulates a load on the routing of the gateway and plots the result.

    PYTHONPATH=tests python -m bench.placement --per-s 40 --seconds 20
    PYTHONPATH=tests python -m bench.placement --per-s 150 --bound

With `--bound`, the upstreams know every object from the start. No placement
can exceed the result of that run by much.

    PYTHONPATH=tests python -m bench.placement --homes stock --skew 0.9

With `--homes`, it compares no homes of objects, one and several, under a load
of docs/COMPETING-LOAD.md; the second half of the time is measured.
"""

import statistics
import sys

import defopt

from standins.load_inputs import make_segment_load, make_stock_load
from standins.load_model import (
    DESK_UPSTREAMS,
    WINDOW_SECONDS,
    Load,
    LoadModel,
    Result,
    make_desk_kinds,
)

PLOT_WIDTH = 50
LOADS = {'stock': make_stock_load, 'segments': make_segment_load}


def main(
    *,
    per_s: float = 40,
    seconds: float = 20,
    seed: int = 1,
    bound: bool = False,
    homes: str = '',
    skew: float = 0,
    numbers: str = '0,1,8',
) -> None:
    """Simulates one load and prints how its requests ended.

    Args:
        per_s: Requests per second of each zone's callers.
        seconds: Duration of the load.
        seed: Seed of the random choices.
        bound: Whether upstreams know every object from the start.
        homes: `stock` or `segments`; compares numbers of homes under its load.
        skew: Exponent of the popularity of the objects of `homes`.
        numbers: The values of max_homes to compare.
    """
    if homes:
        load = LOADS[homes](skew)._replace(
            seconds=seconds, measured_from=seconds / 2
        )
        for number in numbers.split(','):
            _print_homes(load._replace(max_homes=int(number)), seed)
        return
    load = Load(
        make_desk_kinds(per_s), DESK_UPSTREAMS, seconds, known_at_start=bound
    )
    _print_result(LoadModel(load, seed).run())


def _print_homes(load: Load, seed: int) -> None:
    """Plays a load and prints one row of the comparison."""
    (kind,) = load.kinds
    result = LoadModel(load, seed).run()
    zones = [zone for zone, count in load.upstreams.items() if count > 20]
    busiest = [result.busiest_over_mean(zone) for zone in zones]
    sys.stdout.write(
        f'{kind.name:8} skew {kind.skew:3}  seconds {load.seconds:4}  '
        f'max_homes {load.max_homes}  warm {result.warm_share:.3f}  '
        f'busiest/mean {min(busiest):.2f} to {max(busiest):.2f}  '
        f'in goal {result.measured_in_goal(kind.goal):.3f}  '
        f'answered {len(result.times) / result.measured.total():.3f}  '
        f'p50 {statistics.median(result.times):.3f} s\n'
    )
    sys.stdout.flush()


def _print_result(result: Result) -> None:
    for kind, requests in sorted(result.requested.items()):
        sys.stdout.write(
            f'{kind:8} requests {requests:6}  '
            f'in goal {result.share(kind):.3f}  '
            f'late {result.late[kind] / requests:.3f}  '
            f'refused {result.refused[kind] / requests:.3f}\n',
        )
    sys.stdout.write(f'in goal, all kinds {result.in_goal_share:.3f}\n\n')
    for window, (requests, in_goal) in sorted(result.windows.items()):
        bar = '#' * round(PLOT_WIDTH * in_goal / max(1, requests))
        sys.stdout.write(
            f'{window * WINDOW_SECONDS:3} s {requests:5} '
            f'|{bar:{PLOT_WIDTH}}|\n',
        )


if __name__ == '__main__':
    defopt.run(main)
