"""Instances know the demand of all zones, also where messages are lost."""

import asyncio
import random
from pathlib import Path

import pytest

from lycheedyke_daemon.gateway import GatewayInstance
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.lossy_peers import lose_messages

BY_DEMAND = '\n[shifts]\nby_demand = yes\n'
PER_S = 20
# Reports are sent twice a second and measured over one second.
SETTLE_S = 4
# A total is dropped at this age.
MAX_AGE_S = 3


async def _start(platform: GatewayTestbed, zones: list[str]) -> None:
    for at, zone in enumerate(zones):
        await platform.start(f'{zone}-{at}', zone=zone, extra=BY_DEMAND)
    await platform.wait_all_listed()


async def _call(
    platform: GatewayTestbed, seconds: float, instances: list[int]
) -> None:
    """Sends requests evenly to some instances."""
    for at in range(round(PER_S * seconds)):
        await platform.send(instance=instances[at % len(instances)])
        await asyncio.sleep(1 / PER_S)


def _rates(instance: GatewayInstance) -> dict[str, float]:
    return {
        total.zone: sum(total.rates.values()) / 10
        for total in instance._exchanges.demand.totals()
    }


def _aggregator(platform: GatewayTestbed, zone: str) -> int:
    """Returns the number of the instance that aggregates a zone."""
    names = {
        each._exchanges.demand._aggregator
        for each in platform.instances
        if each._own.zone == zone
    }
    assert len(names) == 1
    own = [each._own.name for each in platform.instances]
    return own.index(names.pop())


# Guards against demand of a zone that is known only in the zone itself.
def test_all_instances_know_the_demand_of_all_zones(tmp_path: Path) -> None:
    """Each instance reports to one of its zone, and these exchange totals."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _start(platform, ['pnw-a', 'pnw-a', 'pnw-a', 'nc-a', 'nc-a'])
        await _call(platform, SETTLE_S, [0, 1, 2, 3])
        for instance in platform.instances:
            rates = _rates(instance)
            assert rates['pnw-a'] == pytest.approx(PER_S * 3 / 4, rel=0.2)
            assert rates['nc-a'] == pytest.approx(PER_S / 4, rel=0.4)

    run_scenario(tmp_path, _scene, limit_s=60, instances=0)


# Guards against a demand that is lost together with its aggregator.
def test_the_next_instance_takes_over_from_a_lost_aggregator(
    tmp_path: Path,
) -> None:
    """The instances of the zone report to it, and the others learn of it."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _start(platform, ['pnw-a', 'pnw-a', 'pnw-a', 'nc-a'])
        await _call(platform, 2, [0, 1, 2])
        lost = _aggregator(platform, 'pnw-a')
        instance = platform.instances.pop(lost)
        platform.settings.pop(lost)
        # Killed: it neither withdraws its record nor answers.
        await instance._tasks.end()
        await instance._servers.close()
        await _call(platform, SETTLE_S, [0, 1])
        for each in platform.instances:
            assert _rates(each)['pnw-a'] == pytest.approx(PER_S, rel=0.2)
        await instance.stop()

    run_scenario(tmp_path, _scene, limit_s=60, instances=0)


# Guards against shares that follow the demand of a time long past.
def test_the_total_of_a_zone_without_reports_is_dropped(
    tmp_path: Path,
) -> None:
    """It is known nowhere any more after 3 s."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _start(platform, ['pnw-a', 'nc-a'])
        await _call(platform, 2, [0, 1])
        lost = platform.instances.pop()
        await lost._tasks.end()
        await lost._servers.close()
        assert set(_rates(platform.instances[0])) == {'pnw-a', 'nc-a'}
        await asyncio.sleep(MAX_AGE_S)
        assert set(_rates(platform.instances[0])) == {'pnw-a'}
        await lost.stop()

    run_scenario(tmp_path, _scene, limit_s=60, instances=0)


# Guards against lost reports that look like less demand.
def test_lost_messages_do_not_change_the_demand(tmp_path: Path) -> None:
    """With 0.3 of the messages lost, the demand is known most of the time."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _start(platform, ['pnw-a', 'pnw-a', 'nc-a', 'nc-a'])
        lose_messages(platform, random.Random(7))
        await _call(platform, SETTLE_S, [0, 1, 2, 3])
        known = []
        for _ in range(20):
            await _call(platform, 1, [0, 1, 2, 3])
            for instance in platform.instances:
                rates = _rates(instance)
                known += [
                    rates.get(zone) == pytest.approx(PER_S / 2, rel=0.25)
                    for zone in ('pnw-a', 'nc-a')
                ]
        assert sum(known) >= 0.9 * len(known)

    run_scenario(tmp_path, _scene, limit_s=60, instances=0)


# Guards against messages of other instances that stop an instance.
@pytest.mark.parametrize('path', ['reports', 'totals'])
@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\x93\xa1a\xa1b\x81\xa1c\xff',
        b'\x92\x91\xa1a\x91\x94\xa1z\x01\x00\x90',
        b'\x92\x90\x91\x94\xa1z\x00\x00\x90',
        b'x' * 70_000,
    ],
)
def test_malformed_messages_are_refused(
    tmp_path: Path, path: str, body: bytes
) -> None:
    """They are answered 400 and change nothing."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _start(platform, ['pnw-a'])
        address = platform.settings[0].peer_address
        async with platform._http.post(
            f'http://{address}/v1/demand/{path}', data=body
        ) as answer:
            assert answer.status == 400
        assert set(_rates(platform.instances[0])) <= {'pnw-a'}

    run_scenario(tmp_path, _scene, limit_s=60, instances=0)


# Guards against callers that keep to a zone whose demand exceeds its slots.
def test_look_ups_move_callers_to_free_upstreams(tmp_path: Path) -> None:
    """All demand comes to the zone that has half of the upstreams."""

    async def _scene(platform: GatewayTestbed) -> None:
        platform.register(platform.upstreams[0], zone='pnw-a')
        platform.register(platform.upstreams[1], zone='nc-a')
        await _start(platform, ['pnw-a'] * 3 + ['nc-a'] * 3)
        lookup = platform.settings[0].lookup_address
        path = '/lookup?name=shop.example&region=pnw&zone=pnw-a'
        north = {each.caller_address for each in platform.settings[3:]}
        moved = []
        for _ in range(20):
            await asyncio.gather(
                *(_call(platform, 1, [0, 1, 2]) for _ in range(6))
            )
            reply = await platform.get(lookup, path)
            moved.append(sum(each.encode() in reply.body for each in north))
        assert moved[0] == 0
        assert moved[-1] > 0

    run_scenario(tmp_path, _scene, limit_s=120, instances=0)
