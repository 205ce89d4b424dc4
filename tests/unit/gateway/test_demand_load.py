"""Callers are moved ahead of demand that differs between zones.

Load: three regions with 49:10:41 of the upstreams, and callers who follow an
answer after 2 to 6 s. The number of arrivals is random.
"""

import math
import random
from collections.abc import Callable

import pytest

from lycheedyke.state.demand import deviation_of
from standins.demand_model import (
    HOST,
    SHIFT_MOST,
    SLOTS,
    DemandModel,
    Moment,
    most_moved,
    overload,
)

RATE = 333
PERIOD_S = 36
SWING = 0.55
PHASES = {'nc': 0.0, 'pnw': 1 / 3, 'mt': 2 / 3}
REPORTS_LOST_S = 4


def _even(zone: str, at: float) -> float:
    return RATE


def _wave(zone: str, at: float) -> float:
    """Each region has a wave, a third of a period apart from the next."""
    phase = at / PERIOD_S + PHASES[zone.partition('-')[0]]
    return RATE * (1 + SWING * math.sin(2 * math.pi * phase))


def _steady(zone: str, at: float) -> float:
    return RATE * (1.6 if zone.startswith('nc') else 0.7)


def _burst(zone: str, at: float) -> float:
    """The callers of one zone send 2.5 times as much for 7 s."""
    return RATE * (2.5 if zone == 'mt-a' and 60 <= at < 67 else 1)


def _moving(zone: str, at: float) -> float:
    """Callers move from one zone to one of another region within 10 s."""
    moved = 0.8 * min(max((at - 60) / 10, 0), 1)
    if zone == 'nc-a':
        return RATE * (1 - moved)
    return RATE * (1 + moved) if zone == 'mt-a' else RATE


def _compare(
    demand: Callable[[str, float], float],
    seconds: float,
    utilization: float = 0.9,
) -> tuple[list[Moment], list[Moment]]:
    """Returns what happens with static shares, and with those by demand."""
    found = []
    for is_steered in (False, True):
        model = DemandModel(
            demand,
            is_steered=is_steered,
            utilization=utilization,
            rng=random.Random(7),
        )
        model.run(PERIOD_S)
        found.append(model.run(seconds))
    return found[0], found[1]


def _refused(moments: list[Moment], region: str) -> float:
    """Returns the share of a region's requests beyond the capacity."""
    shares = [
        sum(
            share * max(0, 1 - moment.capacities[name] / moment.loads[name])
            for name, share in row.items()
            if moment.loads[name]
        )
        for moment in moments
        for zone, row in moment.used.items()
        if zone.startswith(region)
    ]
    return sum(shares) / len(shares)


# Guards against callers of a region in its peak that stay at overloaded
# upstreams while others are free.
@pytest.mark.parametrize(
    ('utilization', 'most'), [(0.8, 0.5), (0.9, 0.5), (1, 0.6)]
)
def test_waves_of_demand_overload_zones_half_as_much(
    utilization: float, most: float
) -> None:
    """Demand in waves of 36 s, a third apart, swing 0.55.

    With a mean demand of all slots, no zone has any to spare while the
    callers of another are still on their way.
    """
    static, steered = _compare(_wave, 2 * PERIOD_S, utilization)
    assert overload(steered) <= overload(static) * most
    assert _refused(steered, 'pnw') < _refused(static, 'pnw')


# Guards against waves of callers, who find cold upstreams.
@pytest.mark.parametrize('demand', [_wave, _steady, _burst, _moving])
def test_few_callers_change_region_in_a_window(
    demand: Callable[[str, float], float],
) -> None:
    """At most 0.15 of a region's callers in 2 s, in answers and requests."""
    _, steered = _compare(demand, 2 * PERIOD_S)
    assert most_moved(steered) <= SHIFT_MOST
    assert most_moved(steered, given=True) <= SHIFT_MOST


# Guards against shares that swing as callers follow them with a delay.
def test_steady_demand_is_served_without_oscillation() -> None:
    """Demand of 1.6, 0.7 and 0.7: loads settle, and no zone is overloaded."""
    model = DemandModel(_steady)
    model.run(2 * PERIOD_S)
    settled = model.run(2 * PERIOD_S)
    for zone in SLOTS:
        loads = [each.loads[zone] / each.capacities[zone] for each in settled]
        assert max(loads) - min(loads) < SHIFT_MOST
        assert max(loads) < 1.1


# Guards against other answers where demand does not ask for them.
@pytest.mark.parametrize('swing', [0, 0.15])
def test_even_demand_gives_exactly_the_static_shares(swing: float) -> None:
    """Within 20% of even demand, the lists are those without steering."""

    def _demand(zone: str, at: float) -> float:
        return RATE + (_wave(zone, at) - RATE) * swing / SWING

    static, steered = _compare(_demand, 2 * PERIOD_S)
    assert [each.given for each in steered] == [each.given for each in static]


# Guards against small deployments that are steered by chance.
@pytest.mark.parametrize('rate', [2, 10, 30])
def test_few_requests_are_no_evidence_of_uneven_demand(rate: float) -> None:
    """Their numbers differ by chance."""
    model = DemandModel(lambda zone, at: rate, rng=random.Random(3))
    static = DemandModel(lambda zone, at: rate, is_steered=False)
    found, expected = model.run(60), static.run(60)
    assert [each.given for each in found] == [each.given for each in expected]


# Guards against a burst that moves callers away for long.
def test_a_burst_of_one_zone_ends_where_it_began() -> None:
    """2.5 times the requests of one zone for 7 s; 30 s later all are back."""
    static, steered = _compare(_burst, 3 * PERIOD_S)
    assert steered[-1].given == static[-1].given
    assert overload(steered) <= overload(static) * 1.02


# Guards against demand that is looked for where callers were before.
def test_callers_who_move_to_another_zone_are_followed() -> None:
    """0.8 of the callers of a zone move to another region in 10 s."""
    static, steered = _compare(_moving, 2 * PERIOD_S)
    late = len(steered) // 3
    assert overload(steered[-late:]) < overload(static[-late:]) / 2


# Guards against shares that are kept after the demand is no longer known.
def test_without_reports_the_shares_return_step_by_step() -> None:
    """No totals arrive any more, as from a partition of all zones."""
    model = DemandModel(_steady, rng=random.Random(7))
    model.run(2 * PERIOD_S)
    static = DemandModel(_steady, is_steered=False).run(1)[-1]
    model.silent = set(SLOTS)
    moments = model.run(2 * PERIOD_S)
    assert moments[0].given != static.given
    assert moments[-1].given == static.given
    assert most_moved(moments, given=True) <= SHIFT_MOST


# Guards against callers of a partitioned zone who are moved by a demand that
# is not known.
def test_a_zone_without_totals_returns_to_its_static_shares() -> None:
    """Its aggregator is lost; the other zones follow their demand still."""
    model = DemandModel(_steady, rng=random.Random(7))
    model.run(2 * PERIOD_S)
    static = DemandModel(_steady, is_steered=False).run(1)[-1]
    model.silent = {'nc-a'}
    last = model.run(2 * PERIOD_S)[-1]
    assert last.given['nc-a'] == static.given['nc-a']
    assert last.given['nc-b'] != static.given['nc-b']


# Guards against a demand by callers' zone that is that of the instances.
def test_the_demand_is_that_of_the_callers_zones() -> None:
    """Most callers of the small region are sent away by the static shares."""
    model = DemandModel(_steady, rng=random.Random(7))
    moments = model.run(PERIOD_S)
    present = model.steering._hosts[HOST].demand.settled
    total = sum(present.values())
    expected = {zone: _steady(zone, 0) for zone in SLOTS}
    for zone, each in expected.items():
        part = each / sum(expected.values())
        assert present[zone] / total == pytest.approx(part, abs=0.04)
    arrivals = deviation_of(tuple(SLOTS), moments[-1].loads)
    assert arrivals > deviation_of(tuple(SLOTS), present)
