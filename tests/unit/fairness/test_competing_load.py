"""Tests the allocation of slots under the loads of the page COMPETING-LOAD.

The service has the rates of the kinds 'premium tiles' and 'course packs', and
its upstreams are spread as the page has them. Callers come back once.
"""

import functools

import pytest

from standins.contention_model import (
    Burst,
    Competition,
    CompetitionResult,
    ContentionModel,
)
from standins.load_model import Load, RequestKind

UPSTREAMS = {
    'pnw-a': 7,
    'pnw-b': 6,
    'mt-a': 1,
    'mt-b': 2,
    'nc-a': 6,
    'nc-b': 5,
}
INSTANCES_PER_ZONE = 7
PREMIUM = RequestKind('premium', 139 / 6, 0.308, 0.362, 2.17, 69)
COURSE = RequestKind('course', 84.5 / 6, 0.6, 0.824, 4.944, 42, priority=1)
PREMIUM_LATE = 0.29 / 3.6
COURSE_LATE = 0.19 / 0.95
START = 6.0
LENGTH = 6.0
COURSE_BURST = Burst('course', '', 2.6, START, LENGTH)
LARGE_TENANT = 't-0'
TENANT_BURST = Burst('', LARGE_TENANT, 7.5, START, LENGTH)


@functools.cache
def _run(
    *bursts: Burst,
    is_fair: bool = True,
    is_use_known: bool = False,
    seed: int = 1,
) -> CompetitionResult:
    load = Load(
        (COURSE, PREMIUM),
        UPSTREAMS,
        seconds=START + LENGTH,
        entries=INSTANCES_PER_ZONE,
        known_objects=19,
    )
    competition = Competition(
        bursts=bursts,
        is_fair=is_fair,
        is_use_known=is_use_known,
        since=START,
        until=START + LENGTH,
    )
    return ContentionModel(load, competition, seed).run_competition()


@pytest.mark.parametrize('seed', [1, 2])
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
    kinds = _run(*bursts, seed=seed).kinds
    less_urgent = kinds.served_share('course')
    assert kinds.served_share('premium') >= less_urgent - 0.05
    earned = kinds.earned_share('premium', PREMIUM_LATE)
    assert earned >= kinds.earned_share('course', COURSE_LATE) - 0.15


@pytest.mark.parametrize('is_use_known', [False, True])
def test_no_tenant_or_kind_starves(is_use_known: bool) -> None:
    """Guards against a tenant or kind that all instances refuse.

    Load: both bursts together on 42 instances that see 7 requests a second
    each.
    """
    run = _run(COURSE_BURST, TENANT_BURST, is_use_known=is_use_known)
    for tally in (run.kinds, run.tenants):
        least = min(map(tally.served_share, tally.requested))
        assert least >= tally.total_served_share / 4
