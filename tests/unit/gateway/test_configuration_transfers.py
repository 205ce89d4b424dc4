"""Configurations between running instances."""

import asyncio
from pathlib import Path

import msgspec
import pytest
from aiohttp import web

from lycheedyke.protocol import RegistryUpdate, RoutingRecord
from lycheedyke_daemon.gateway import GatewayInstance
from lycheedyke_daemon.gateway.news import ConfigurationExchange
from standins.gateway_testbed import ROUTES, GatewayTestbed, run_scenario
from standins.large_configurations import many_routes
from standins.registry_store import config_value
from standins.thin_testbed import (
    BUSY_THIN_LINK,
    ThinTestbed,
    run_thin_scenario,
    write_configuration,
)

VERSION = 0x2F
# What the target allows while something is disturbed.
DISTURBED_SECONDS = 2.5
EVACUATION_SECONDS = 5.0
SETTLE_SECONDS = 4.0
STOP_SECONDS = 1.5
PER_ZONE = 4
MANY_ROUTES = 1_400


def _numbers(instances: list[GatewayInstance]) -> set[int]:
    return {each._registry_view.number for each in instances}


async def _poll_as_earlier_release(
    testbed: GatewayTestbed, instance: int, after: int
) -> RegistryUpdate:
    address = testbed.settings[instance].peer_address
    path = f'/v1/news?after={after}&generation=0&quarantines=1&suspects=1'
    reply = await testbed.get(address, path)
    return msgspec.msgpack.decode(reply.body, type=RegistryUpdate)


def test_peers_of_the_release_before_get_whole_records(
    tmp_path: Path,
) -> None:
    """They understand no notices."""

    async def _scene(testbed: GatewayTestbed) -> None:
        update = await _poll_as_earlier_release(testbed, 0, 0)
        found = [
            item.record.number
            for item in update.batch.items
            if isinstance(item.record, RoutingRecord)
        ]
        assert found == [0x11]
        assert update.configurations == ()

    run_scenario(tmp_path, _scene, limit_s=60, instances=2)


# Guards against peers of the release before that skip a configuration which
# the instance that they poll knows by name only.
def test_peers_of_the_release_before_skip_no_awaited_version(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their updates are complete up to the revision before it."""

    async def _lack(
        exchange: ConfigurationExchange, request: web.Request
    ) -> web.StreamResponse:
        raise web.HTTPNotFound

    async def _scene(testbed: GatewayTestbed) -> None:
        revision = testbed.store.put(
            'op/config', config_value(VERSION, list(ROUTES))
        )
        last = testbed.register(testbed.upstreams[0], seq=9)
        waiting = None
        while waiting is None:
            await asyncio.sleep(0.01)
            for at, instance in enumerate(testbed.instances):
                if instance._replica.awaited.notices:
                    waiting = at
        assert testbed.instances[waiting]._replica.revision >= last
        update = await _poll_as_earlier_release(testbed, waiting, 0)
        assert update.batch.revision == revision - 1

    monkeypatch.setattr(ConfigurationExchange, '_answer', _lack)
    run_scenario(tmp_path, _scene, limit_s=60, instances=3)


# Guards against a version of which the only holder is lost after it has told
# the others of it.
def test_a_version_that_no_peer_sends_is_in_force_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The others read it from the registry themselves."""

    async def _hang(
        exchange: ConfigurationExchange, request: web.Request
    ) -> web.StreamResponse:
        await asyncio.sleep(SETTLE_SECONDS)
        raise web.HTTPNotFound

    async def _scene(testbed: GatewayTestbed) -> None:
        testbed.store.put('op/config', config_value(VERSION, list(ROUTES)))
        await asyncio.sleep(DISTURBED_SECONDS)
        assert _numbers(testbed.instances) == {VERSION}

    monkeypatch.setattr(ConfigurationExchange, '_answer', _hang)
    run_scenario(tmp_path, _scene, limit_s=60, instances=4)


# Guards against small news that wait behind a document.
def test_evacuations_and_removals_wait_for_no_document(
    tmp_path: Path,
) -> None:
    """They come right after 1,400 more routes, over links that are busy."""

    async def _scene(testbed: ThinTestbed) -> None:
        routes = many_routes(MANY_ROUTES)
        write_configuration(testbed, 0x20, routes[:1])
        await testbed.start_zones(PER_ZONE, BUSY_THIN_LINK)
        await asyncio.sleep(SETTLE_SECONDS)
        write_configuration(testbed, VERSION, routes)
        await asyncio.sleep(0.1)
        testbed.store.put('op/evacuate/nc-a', {})
        testbed.store.remove(f'servers/{testbed.upstreams[0].name}')
        await asyncio.sleep(DISTURBED_SECONDS)
        tables = [each._upstream_table for each in testbed.instances]
        zones = {each.evacuated_zones for each in tables}
        assert zones == {frozenset({'nc-a'})}
        assert not any(table.all() for table in tables)
        await asyncio.sleep(EVACUATION_SECONDS)
        assert _numbers(testbed.instances) == {VERSION}

    run_thin_scenario(tmp_path, _scene)


# Guards against configurations that are lost or go back to an older one where
# the registry comes back from a copy beside a change.
@pytest.mark.parametrize('age_s', [0.2, 3.0])
def test_a_copy_takes_no_version_back(tmp_path: Path, age_s: float) -> None:
    """The version in force stays, and the next one replaces it."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await asyncio.sleep(SETTLE_SECONDS)
        testbed.store.put('op/config', config_value(VERSION, list(ROUTES)))
        await asyncio.sleep(DISTURBED_SECONDS)
        testbed.store.restore(age_s)
        for _ in range(40):
            assert _numbers(testbed.instances) == {VERSION}
            await asyncio.sleep(0.1)
        later = config_value(VERSION + 1, list(ROUTES))
        testbed.store.put('op/config', later)
        await asyncio.sleep(DISTURBED_SECONDS)
        assert _numbers(testbed.instances) == {VERSION + 1}

    run_scenario(tmp_path, _scene, limit_s=60, instances=4)


def test_an_instance_in_its_stop_follows_the_registry(tmp_path: Path) -> None:
    """Its open connections are served by the version in force elsewhere."""

    async def _scene(testbed: GatewayTestbed) -> None:
        patient = [{**ROUTES[0], 'timeout': '3000ms'}]
        testbed.store.put('op/config', config_value(VERSION - 1, patient))
        await asyncio.sleep(DISTURBED_SECONDS)
        for upstream in testbed.upstreams:
            upstream.run_s = 1.9
        running = asyncio.create_task(testbed.send('/read/1', deadline_ms=3000))
        await asyncio.sleep(0.1)
        stopped = testbed.instances[0]
        stopping = asyncio.create_task(stopped.stop())
        await asyncio.sleep(0.1)
        testbed.store.put('op/config', config_value(VERSION, patient))
        await asyncio.sleep(STOP_SECONDS)
        assert not stopping.done()
        assert _numbers(testbed.instances) == {VERSION}
        await asyncio.gather(running, stopping)
        testbed.instances.remove(stopped)

    run_scenario(tmp_path, _scene, limit_s=60, instances=3)


def test_malformed_requests_for_a_configuration_are_rejected(
    tmp_path: Path,
) -> None:
    """Each has a status that tells the peer to ask another."""

    async def _scene(testbed: GatewayTestbed) -> None:
        address = testbed.settings[0].peer_address
        for path, status in (
            ('/v1/configurations/zz', 400),
            ('/v1/configurations/00?known=zz', 400),
            ('/v1/configurations/00?after=x', 400),
            ('/v1/configurations/00', 404),
        ):
            assert (await testbed.get(address, path)).status == status

    run_scenario(tmp_path, _scene, limit_s=60)
