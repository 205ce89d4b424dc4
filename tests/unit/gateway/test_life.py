"""A running gateway when records change, the store fails or it stops."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

from lycheedyke.exceptions import ConnectError
from standins.gateway_testbed import ROUTES, GatewayTestbed, run_scenario
from standins.registry_store import config_value

# Below the allowed 2.5 s from a write in the store to its effect.
APPLY_SECONDS = 2.0
LIMIT_SECONDS = 40
QUIET_SECONDS = 4
# Less than the time between two renewals, which is at least 1.2 s.
ANNOUNCE_SECONDS = 0.9
MANY_INSTANCES = 16
SOME_INSTANCES = 6
# Two polls of peers and two requests to the store, and a margin.
UPDATE_SECONDS = 1.4
# One every 250 ms.
WATCHES_PER_S = 4


async def _until(
    check: Callable[[], Awaitable[bool]],
    seconds: float = APPLY_SECONDS,
) -> bool:
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        if await check():
            return True
        await asyncio.sleep(0.05)
    return False


def test_a_version_is_in_force_at_all_instances(tmp_path: Path) -> None:
    """Added routes work and removed ones don't, within the bound."""

    async def _scene(platform: GatewayTestbed) -> None:
        added = {'name': 'new', 'prefix': '/new/', 'service': 'desk'}
        value = config_value(0x2F, [ROUTES[1], added])
        platform.store.put('op/config', value)

        async def _is_in_force() -> bool:
            replies = [
                await platform.send(path, instance=at)
                for at in range(3)
                for path in ('/new/1', '/read/1')
            ]
            return [each.status for each in replies] == [200, 404] * 3

        assert await _until(_is_in_force)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=3)


def test_an_unreadable_configuration_leaves_the_last_in_force(
    tmp_path: Path,
) -> None:
    """Bytes that are no valid configuration change nothing."""

    async def _scene(platform: GatewayTestbed) -> None:
        platform.store.put('op/config', b'{"version": "000000')
        await asyncio.sleep(1.2)
        assert (await platform.send('/read/1')).status == 200

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_malformed_records_name_no_upstream(tmp_path: Path) -> None:
    """Other records stay in effect."""

    async def _scene(platform: GatewayTestbed) -> None:
        good = platform.upstreams[0].address
        for at, value in enumerate(
            (
                b'\xff\xfe',
                {'service': 'desk'},
                {'service': 'desk', 'addr': good, 'state': 'odd'},
            )
        ):
            platform.store.put(f'servers/bad-{at}', value)
        platform.store.put('other/key', {'a': 1})
        await asyncio.sleep(1.2)
        for thing in '123456':
            assert (
                await platform.send('/read/1', object_key=thing)
            ).status == 200
        assert len(platform.started()) == platform.count_arrivals() == 6

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_leaving_upstream_gets_nothing_new(tmp_path: Path) -> None:
    """Within the bound, all new requests go to the other upstream."""

    async def _scene(platform: GatewayTestbed) -> None:
        leaver, stayer = platform.upstreams
        platform.register(leaver, state='draining')
        await asyncio.sleep(APPLY_SECONDS)
        before = len(leaver.arrivals)
        for thing in map(str, range(20)):
            assert (
                await platform.send('/read/1', object_key=thing)
            ).status == 200
        assert len(leaver.arrivals) == before
        assert len(stayer.arrivals) >= 20

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(
    tmp_path: Path,
) -> None:
    """An evacuation record applies to all upstreams of the zone."""

    async def _scene(platform: GatewayTestbed) -> None:
        here, there = platform.upstreams
        platform.register(there, zone='nc-a')
        platform.store.put('op/evacuate/pnw-a', {})
        await asyncio.sleep(APPLY_SECONDS)
        before = len(here.arrivals)
        for thing in map(str, range(10)):
            assert (
                await platform.send('/read/1', object_key=thing)
            ).status == 200
        assert len(here.arrivals) == before
        platform.store.remove('op/evacuate/pnw-a')

        async def _is_back() -> bool:
            await platform.send('/read/1')
            return len(here.arrivals) > before

        assert await _until(_is_back)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_requests_are_served_while_the_store_is_away(tmp_path: Path) -> None:
    """Records that expire in an outage hold until the store recovers."""

    async def _scene(platform: GatewayTestbed) -> None:
        platform.store.down = True
        await asyncio.sleep(1.5)
        for upstream in platform.upstreams:
            platform.store.remove(f'servers/{upstream.name}')
        assert (await platform.send('/read/1')).status == 200
        platform.store.down = False
        await asyncio.sleep(1)
        assert (await platform.send('/read/1')).status == 200
        platform.register(platform.upstreams[0])
        await asyncio.sleep(2.5)
        before = len(platform.upstreams[1].arrivals)
        for thing in map(str, range(10)):
            assert (
                await platform.send('/read/1', object_key=thing)
            ).status == 200
        assert len(platform.upstreams[1].arrivals) == before

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_lost_history_is_read_anew(tmp_path: Path) -> None:
    """A change in the missing part of the history takes effect."""

    async def _scene(platform: GatewayTestbed) -> None:
        platform.store.compacted_revision = platform.store.remove(
            f'servers/{platform.upstreams[0].name}'
        )
        await asyncio.sleep(APPLY_SECONDS)
        before = len(platform.upstreams[0].arrivals)
        for thing in map(str, range(10)):
            assert (
                await platform.send('/read/1', object_key=thing)
            ).status == 200
        assert len(platform.upstreams[0].arrivals) == before

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_look_ups_name_all_instances_and_drop_the_stopped(
    tmp_path: Path,
) -> None:
    """Look-ups name all instances, and no longer one that stops."""

    async def _scene(platform: GatewayTestbed) -> None:
        addresses = {each.caller_address for each in platform.settings}
        lookup_address = platform.settings[0].lookup_address

        async def _look_up() -> set[str]:
            reply = await platform.get(
                lookup_address,
                '/lookup?name=shop.example&region=pnw&zone=pnw-a',
            )
            answer = json.loads(reply.body)
            assert answer['ttl'] == '2s'
            return set(answer['addrs'])

        async def _is_whole() -> bool:
            return await _look_up() == addresses

        assert await _until(_is_whole)
        stopped = platform.instances.pop()
        stopping = asyncio.create_task(stopped.stop())

        async def _is_dropped() -> bool:
            gone = platform.settings[-1].caller_address
            return gone not in await _look_up()

        assert await _until(_is_dropped)
        await stopping

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=3)


def test_an_instance_without_a_configuration_refuses(tmp_path: Path) -> None:
    """It answers "not run" with a time to retry after, not "not found"."""

    async def _scene(platform: GatewayTestbed) -> None:
        instance = platform.instances[0]
        table = instance._registry_view.table
        instance._registry_view.table = None
        reply = await platform.send('/read/1')
        instance._registry_view.table = table
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) > 0

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_taken_metrics_port_costs_the_metrics_only(tmp_path: Path) -> None:
    """An instance that can't serve metrics still serves callers."""

    async def _scene(platform: GatewayTestbed) -> None:
        taken = platform.settings[0].metrics_address
        await platform.start('edge-new', metrics=taken)
        assert (await platform.send('/read/1', instance=1)).status == 200

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_an_instance_that_starts_without_the_store_asks_its_seeds(
    tmp_path: Path,
) -> None:
    """A restart in an outage of the store reads the records from peers."""

    async def _scene(platform: GatewayTestbed) -> None:
        seed = platform.settings[0].peer_address
        await asyncio.sleep(0.5)
        platform.store.down = True
        await platform.start('edge-new', seeds=seed)
        reply = await platform.send('/read/1', instance=1)
        assert reply.status == 200

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_peers_hear_of_a_stop_while_the_store_is_away(tmp_path: Path) -> None:
    """Look-ups drop an instance that stops in an outage of the store."""

    async def _scene(platform: GatewayTestbed) -> None:
        await asyncio.sleep(1.5)
        platform.store.down = True
        stopping = asyncio.create_task(platform.instances.pop().stop())
        lookup_address = platform.settings[0].lookup_address

        async def _is_dropped() -> bool:
            reply = await platform.get(
                lookup_address,
                '/lookup?name=shop.example&region=pnw&zone=pnw-a',
            )
            gone = platform.settings[-1].caller_address
            return gone not in json.loads(reply.body)['addrs']

        assert await _until(_is_dropped, 1)
        await stopping

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=2)


def test_instances_turned_away_by_the_store_learn_from_peers(
    tmp_path: Path,
) -> None:
    """A version reaches an instance whose calls to the store fail."""

    async def _scene(platform: GatewayTestbed) -> None:
        cut_off = platform.instances[1]
        await asyncio.sleep(1)

        async def _fail(*args: object, **options: object) -> None:
            raise ConnectError('cut off')

        registry = cut_off._deployment.registry
        registry._http.send = _fail  # type: ignore[attr-defined]
        updates = cut_off._peer_updates
        updates.poll_source = _return_none  # type: ignore[method-assign]
        added = {'name': 'new', 'prefix': '/new/', 'service': 'desk'}
        value = config_value(0x2F, [*ROUTES, added])
        platform.store.put('op/config', value)

        async def _is_known() -> bool:
            return (await platform.send('/new/1', instance=1)).status == 200

        assert await _until(_is_known, 4)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=2)


def test_calls_to_a_quiet_store_do_not_grow_with_instances(
    tmp_path: Path,
) -> None:
    """One instance polls the store, and the others poll that instance."""

    async def _scene(platform: GatewayTestbed) -> None:
        for at in range(2, MANY_INSTANCES):
            zone = ('pnw-a', 'nc-a')[at % 2]
            await platform.start(f'edge-{at}', zone=zone)
        await asyncio.sleep(2)
        platform.store.calls.clear()
        await asyncio.sleep(QUIET_SECONDS)
        calls = platform.store.calls.count('/kv-watch')
        assert 0 < calls <= QUIET_SECONDS * WATCHES_PER_S
        added = {'name': 'new', 'prefix': '/new/', 'service': 'desk'}
        value = config_value(0x2F, [*ROUTES, added])
        platform.store.put('op/config', value)

        async def _is_in_force() -> bool:
            replies = [
                await platform.send('/new/1', instance=at)
                for at in range(MANY_INSTANCES)
            ]
            return all(each.status == 200 for each in replies)

        assert await _until(_is_in_force)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=2)


def test_an_announcement_that_is_lost_is_made_again_at_once(
    tmp_path: Path,
) -> None:
    """The entry record is written again before the next renewal is due."""

    async def _scene(platform: GatewayTestbed) -> None:
        key = 'lycheedyke/entries/edge-0'

        async def _is_announced() -> bool:
            return key in platform.store.keys()

        async def _was_renewed() -> bool:
            return any('/kv-keep' in call for call in platform.store.calls)

        assert await _until(_is_announced)
        assert await _until(_was_renewed)
        platform.store.remove(key)
        assert await _until(_is_announced, ANNOUNCE_SECONDS)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_head_that_is_turned_away_holds_up_nobody(tmp_path: Path) -> None:
    """Others get the age of its updates at once, so they use other sources."""

    async def _scene(platform: GatewayTestbed) -> None:
        for at in range(2, SOME_INSTANCES):
            zone = ('pnw-a', 'nc-a')[at % 2]
            await platform.start(f'edge-{at}', zone=zone)
        await asyncio.sleep(2)
        heads = [
            each
            for each in platform.instances
            if each._peer_updates.news_sources.source() is None
        ]
        assert len(heads) == 1

        async def _fail(*args: object, **options: object) -> None:
            raise ConnectError('turned away')

        registry = heads[0]._deployment.registry
        registry._http.send = _fail  # type: ignore[attr-defined]
        added = {'name': 'new', 'prefix': '/new/', 'service': 'desk'}
        value = config_value(0x2F, [*ROUTES, added])
        platform.store.put('op/config', value)

        async def _is_in_force() -> bool:
            return all(
                each._registry_view.number == 0x2F
                for each in platform.instances
            )

        assert await _until(_is_in_force, UPDATE_SECONDS)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=2)


async def _return_none(after: object) -> None:
    return None
