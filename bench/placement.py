"""Simulates a load on the routing of the gateway and plots the result.

    PYTHONPATH=tests python -m bench.placement --per-s 40 --seconds 20
    PYTHONPATH=tests python -m bench.placement --per-s 150 --bound

With `--bound`, the upstreams know every object from the start. No placement
can exceed the result of that run by much.
"""

import sys

import defopt

from standins.load_model import (
    DESK_UPSTREAMS,
    WINDOW_SECONDS,
    Load,
    LoadModel,
    Result,
    make_desk_kinds,
)

PLOT_WIDTH = 50


def main(
    *,
    per_s: float = 40,
    seconds: float = 20,
    seed: int = 1,
    bound: bool = False,
) -> None:
    """Simulates one load and prints how its requests ended.

    Args:
        per_s: Requests per second of each zone's callers.
        seconds: Duration of the load.
        seed: Seed of the random choices.
        bound: Whether upstreams know every object from the start.
    """
    load = Load(
        make_desk_kinds(per_s), DESK_UPSTREAMS, seconds, known_at_start=bound
    )
    _print_result(LoadModel(load, seed).run())


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
