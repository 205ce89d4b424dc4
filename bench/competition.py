"""Shows how competing requests are served, with and without allocation.

Runs the model of the service of premium tiles and course packs:

    PYTHONPATH=tests python -m bench.competition --seeds 4 --instances 7
"""

import argparse

from standins.contention_model import (
    BURST_START,
    COURSE_BURST,
    COURSE_LATE,
    LARGE_TENANT,
    PREMIUM_LATE,
    TENANT_BURST,
    Burst,
    Competition,
    ContentionModel,
    Tally,
    make_competing_load,
    make_tally,
)

LOADS = (
    ('usual', ()),
    ('kind', (COURSE_BURST,)),
    ('tenant', (TENANT_BURST,)),
    ('both', (COURSE_BURST, TENANT_BURST)),
    ('urgent', (COURSE_BURST._replace(kind='premium', factor=5),)),
)


def _add(total: Tally, part: Tally) -> None:
    for counts, more in zip(total, part, strict=True):
        counts.update(more)


def _measure(
    bursts: tuple[Burst, ...], instances: int, seeds: int, *, is_fair: bool
) -> str:
    kinds, tenants = make_tally(), make_tally()
    competition = Competition(
        bursts=bursts, is_fair=is_fair, is_use_known=True, since=BURST_START
    )
    for seed in range(1, seeds + 1):
        load = make_competing_load(instances)
        run = ContentionModel(load, competition, seed).run_competition()
        _add(kinds, run.kinds)
        _add(tenants, run.tenants)
    others = [name for name in tenants.requested if name != LARGE_TENANT]
    served = sum(tenants.served[name] for name in others)
    shares = (
        kinds.served_share('premium'),
        kinds.served_share('course'),
        kinds.earned_share('premium', PREMIUM_LATE),
        kinds.earned_share('course', COURSE_LATE),
        tenants.served_share(LARGE_TENANT),
        served / sum(tenants.requested[name] for name in others),
        min(map(tenants.served_share, others)),
    )
    return ' '.join(f'{share:7.3f}' for share in shares)


def main() -> None:
    """Prints a line for each load, before and after."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=4)
    parser.add_argument('--instances', type=int, default=7)
    args = parser.parse_args()
    print('served: premium, course; earned: the same; served: large tenant,')
    print('other tenants, least of them')
    for name, bursts in LOADS:
        for is_fair in (False, True):
            line = _measure(bursts, args.instances, args.seeds, is_fair=is_fair)
            label = 'allocated' if is_fair else 'as it was'
            print(f'{name:7s} {label} {line}', flush=True)


if __name__ == '__main__':
    main()
