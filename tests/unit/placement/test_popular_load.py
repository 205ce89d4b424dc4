"""Tests of the homes of objects under load, in the model and in instances."""

import asyncio
from pathlib import Path

import pytest

from standins import gateway_testbed
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.load_inputs import Load, Result, make_stock_load
from standins.load_model import LoadModel

ZONE = 'nc-a'
UPSTREAMS = 10
GOAL_S = 1.282


def _simulate(skew: float, seconds: float, max_homes: int) -> Result:
    """Plays stock look-ups in one zone with a tenth of the upstreams."""
    load: Load = make_stock_load(skew)
    (kind,) = load.kinds
    share = UPSTREAMS / sum(load.upstreams.values())
    small = kind._replace(
        per_s=670 * share, objects=round(kind.objects * UPSTREAMS / 26)
    )
    return LoadModel(
        load._replace(
            kinds=(small,),
            upstreams={ZONE: UPSTREAMS},
            seconds=seconds,
            measured_from=seconds / 2,
            entries=5,
            max_homes=max_homes,
        )
    ).run()


def test_popular_objects_overload_no_upstream() -> None:
    """Guards against a hot spot: a few objects get most of the requests."""
    before = _simulate(0.9, 40, 1)
    after = _simulate(0.9, 40, 8)
    assert before.busiest_over_mean(ZONE) > 1.8
    assert after.busiest_over_mean(ZONE) < 1.5
    assert after.warm_share > before.warm_share - 0.05
    late_before = 1 - before.measured_in_goal(GOAL_S)
    late_after = 1 - after.measured_in_goal(GOAL_S)
    assert late_after < late_before / 1.5


def test_objects_of_even_use_are_spread_and_stay_warm() -> None:
    """Guards against upstreams that get more objects than they keep."""
    before = _simulate(0, 100, 1)
    after = _simulate(0, 100, 8)
    assert after.busiest_over_mean(ZONE) < before.busiest_over_mean(ZONE)
    assert after.warm_share >= before.warm_share


# Guards against a setting that no instance applies.
@pytest.mark.parametrize('max_homes', [1, 2])
def test_the_setting_gives_an_object_several_homes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, max_homes: int
) -> None:
    """One object gets all requests, and the upstreams are in use."""
    monkeypatch.setattr(
        gateway_testbed,
        'SETTINGS',
        f'{gateway_testbed.SETTINGS}\n[placement]\nmax_homes = {max_homes}\n',
    )

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.load = '2,0,3'
        for number in range(120):
            reply = await platform.send(f'/read/{number}')
            assert reply.status == 200
            await asyncio.sleep(0.1)
        used = [each for each in platform.upstreams if each.arrivals]
        assert len(used) == max_homes

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=3)
