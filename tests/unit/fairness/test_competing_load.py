"""Tests the allocation of slots under the loads of the page COMPETING-LOAD.

The service has the rates of the kinds 'premium tiles' and 'course packs', and
its upstreams are spread as the page has them. Callers come back once.
"""

import functools

import pytest

from standins.contention_model import (
    BURST_START,
    COURSE_BURST,
    COURSE_LATE,
    LARGE_TENANT,
    PREMIUM_LATE,
    TENANT_BURST,
    Burst,
    Competition,
    CompetitionResult,
    ContentionModel,
    make_competing_load,
)

SEEDS = (1, 2, 3)


@functools.cache
def _run(
    *bursts: Burst,
    is_use_known: bool = False,
    seed: int = 1,
    instances: int = 7,
) -> CompetitionResult:
    competition = Competition(
        bursts=bursts, is_use_known=is_use_known, since=BURST_START
    )
    load = make_competing_load(instances)
    return ContentionModel(load, competition, seed).run_competition()


def _served_of_others(*bursts: Burst) -> float:
    served = 0
    requested = 0
    for seed in SEEDS:
        tenants = _run(*bursts, is_use_known=True, seed=seed).tenants
        served += tenants.served.total() - tenants.served[LARGE_TENANT]
        requested += tenants.requested.total() - tenants.requested[LARGE_TENANT]
    return served / requested


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'bursts',
    [(COURSE_BURST,), (COURSE_BURST, TENANT_BURST)],
    ids=['kind', 'both'],
)
def test_urgent_requests_are_served_before_a_burst(
    bursts: tuple[Burst, ...], seed: int
) -> None:
    """Guards against less urgent requests that take the slots of urgent ones.

    Load: 2.6 times the course packs for 6 s beside the premium tiles, alone
    and with a tenant that sends 7.5 times as much.
    """
    _check_kinds(_run(*bursts, seed=seed))


@pytest.mark.parametrize(
    ('instances', 'bursts'),
    [(23, (COURSE_BURST,)), (40, (COURSE_BURST, TENANT_BURST))],
)
def test_urgent_requests_are_served_first_by_many_instances(
    instances: int, bursts: tuple[Burst, ...]
) -> None:
    """Guards against decisions that need more requests than instances see.

    Load: a burst on 138 and both on 240 instances, which see 1.6 and 0.9
    requests a second each before.
    """
    _check_kinds(_run(*bursts, instances=instances))


@pytest.mark.parametrize('is_use_known', [False, True])
@pytest.mark.parametrize(
    'bursts',
    [
        (COURSE_BURST, TENANT_BURST),
        (COURSE_BURST._replace(kind='premium', factor=5),),
    ],
    ids=['both', 'urgent'],
)
def test_no_tenant_or_kind_starves(
    bursts: tuple[Burst, ...], is_use_known: bool
) -> None:
    """Guards against a tenant or kind that all instances refuse.

    Load: both bursts together, and five times the premium tiles, on 42
    instances that see five requests a second each before.
    """
    run = _run(*bursts, is_use_known=is_use_known)
    for tally in (run.kinds, run.tenants):
        least = min(map(tally.served_share, tally.requested))
        assert least >= tally.total_served_share / 4


@pytest.mark.parametrize('bursts', [(), (COURSE_BURST,)], ids=['calm', 'burst'])
def test_a_large_tenant_costs_the_others_nothing(
    bursts: tuple[Burst, ...],
) -> None:
    """Guards against a tenant whose excess is served instead of others.

    Load: one of 20 tenants sends 7.5 times as much for 6 s, alone and beside
    2.6 times the course packs.
    """
    alone = _served_of_others(*bursts)
    assert _served_of_others(*bursts, TENANT_BURST) >= alone - 0.03


def _check_kinds(run: CompetitionResult) -> None:
    kinds = run.kinds
    less_urgent = kinds.served_share('course')
    assert kinds.served_share('premium') >= less_urgent - 0.05
    earned = kinds.earned_share('premium', PREMIUM_LATE)
    assert earned >= kinds.earned_share('course', COURSE_LATE) - 0.15
