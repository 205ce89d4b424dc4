"""Plays a load on a model of the gateway's decisions, and plots it.

    PYTHONPATH=tests python -m bench.placement --per-s 40 --seconds 20
    PYTHONPATH=tests python -m bench.placement --per-s 150 --bound

`--bound` plays the same load on upstreams that know every object from the
start: what no placement can exceed by much.
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
    """Plays one load and prints what became of it.

    Args:
        per_s: Requests per second of each zone's callers.
        seconds: How long they come.
        seed: Of all chances.
        bound: Let upstreams know every object from the start.
    """
    load = Load(
        make_desk_kinds(per_s), DESK_UPSTREAMS, seconds, known_at_start=bound
    )
    _show(LoadModel(load, seed).run())


def _show(result: Result) -> None:
    for kind, asked in sorted(result.requested.items()):
        sys.stdout.write(
            f'{kind:8} asked {asked:6}  in goal {result.share(kind):.3f}  '
            f'late {result.late[kind] / asked:.3f}  '
            f'refused {result.refused[kind] / asked:.3f}\n',
        )
    sys.stdout.write(f'all in goal {result.in_goal_share:.3f}\n\n')
    for at, (asked, in_goal) in sorted(result.windows.items()):
        bar = '#' * round(PLOT_WIDTH * in_goal / max(1, asked))
        sys.stdout.write(
            f'{at * WINDOW_SECONDS:3} s {asked:5} |{bar:{PLOT_WIDTH}}|\n',
        )


if __name__ == '__main__':
    defopt.run(main)
