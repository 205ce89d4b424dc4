"""Records come and go while a gateway serves; it starts and stops."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

from lycheedyke.exceptions import ConnectError
from standins.users_platform import ROUTES, UsersPlatform, play
from standins.users_store import config_value

# From a write in the store to its effect, the users allow 2.5 s.
APPLY_SECONDS = 2.0
LIMIT_SECONDS = 40
QUIET_SECONDS = 4
# Less than the 1.2 s or more between two renewals.
ANNOUNCE_SECONDS = 0.9
MANY_INSTANCES = 16
SOME_INSTANCES = 6
# Two polls of peers and two questions to the store, and some to spare.
NEWS_SECONDS = 1.4
# At a quarter of a second between two of them.
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
    """Added routes work, dropped ones are gone, within the bound."""

    async def _scene(platform: UsersPlatform) -> None:
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

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=3)


def test_an_unreadable_configuration_leaves_the_last_in_force(
    tmp_path: Path,
) -> None:
    """Bytes that hold no configuration change nothing."""

    async def _scene(platform: UsersPlatform) -> None:
        platform.store.put('op/config', b'{"version": "000000')
        await asyncio.sleep(1.2)
        assert (await platform.send('/read/1')).status == 200

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_malformed_records_name_no_upstream(tmp_path: Path) -> None:
    """The other records hold."""

    async def _scene(platform: UsersPlatform) -> None:
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
            assert (await platform.send('/read/1', thing=thing)).status == 200
        assert len(platform.ran()) == platform.arrivals() == 6

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_leaving_upstream_gets_nothing_new(tmp_path: Path) -> None:
    """It is left within the bound, and what runs there ends."""

    async def _scene(platform: UsersPlatform) -> None:
        leaver, stayer = platform.upstreams
        platform.register(leaver, state='draining')
        await asyncio.sleep(APPLY_SECONDS)
        before = len(leaver.arrivals)
        for thing in map(str, range(20)):
            assert (await platform.send('/read/1', thing=thing)).status == 200
        assert len(leaver.arrivals) == before
        assert len(stayer.arrivals) >= 20

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(
    tmp_path: Path,
) -> None:
    """The operator's word binds for all upstreams of the zone."""

    async def _scene(platform: UsersPlatform) -> None:
        here, there = platform.upstreams
        platform.register(there, zone='nc-a')
        platform.store.put('op/evacuate/pnw-a', {})
        await asyncio.sleep(APPLY_SECONDS)
        before = len(here.arrivals)
        for thing in map(str, range(10)):
            assert (await platform.send('/read/1', thing=thing)).status == 200
        assert len(here.arrivals) == before
        platform.store.remove('op/evacuate/pnw-a')

        async def _is_back() -> bool:
            await platform.send('/read/1')
            return len(here.arrivals) > before

        assert await _until(_is_back)

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_requests_are_served_while_the_store_is_away(tmp_path: Path) -> None:
    """Records that lapse meanwhile hold until the store is back."""

    async def _scene(platform: UsersPlatform) -> None:
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
            assert (await platform.send('/read/1', thing=thing)).status == 200
        assert len(platform.upstreams[1].arrivals) == before

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_lost_history_is_read_anew(tmp_path: Path) -> None:
    """What changed in the gap counts."""

    async def _scene(platform: UsersPlatform) -> None:
        platform.store.forget_before = platform.store.remove(
            f'servers/{platform.upstreams[0].name}'
        )
        await asyncio.sleep(APPLY_SECONDS)
        before = len(platform.upstreams[0].arrivals)
        for thing in map(str, range(10)):
            assert (await platform.send('/read/1', thing=thing)).status == 200
        assert len(platform.upstreams[0].arrivals) == before

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_look_ups_name_all_instances_and_drop_the_stopped(
    tmp_path: Path,
) -> None:
    """An instance that stops is not named any more."""

    async def _scene(platform: UsersPlatform) -> None:
        addresses = {each.caller_address for each in platform.settings}
        asked = platform.settings[0].lookup_address

        async def _look_up() -> set[str]:
            reply = await platform.get(
                asked, '/lookup?name=shop.example&region=pnw&zone=pnw-a'
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

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=3)


def test_an_instance_without_a_configuration_refuses(tmp_path: Path) -> None:
    """It says "not run" and when to come back, never "not found"."""

    async def _scene(platform: UsersPlatform) -> None:
        instance = platform.instances[0]
        table = instance._beliefs.table
        instance._beliefs.table = None
        reply = await platform.send('/read/1')
        instance._beliefs.table = table
        assert reply.status == 503
        assert float(reply.headers['Retry-After']) > 0

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_taken_metrics_port_costs_the_metrics_only(tmp_path: Path) -> None:
    """An instance that can't serve metrics serves callers."""

    async def _scene(platform: UsersPlatform) -> None:
        taken = platform.settings[0].metrics_address
        await platform.start('edge-new', metrics=taken)
        assert (await platform.send('/read/1', instance=1)).status == 200

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_an_instance_that_starts_without_the_store_asks_its_seeds(
    tmp_path: Path,
) -> None:
    """A restart in an outage of the store serves what its peers know."""

    async def _scene(platform: UsersPlatform) -> None:
        seed = platform.settings[0].peer_address
        await asyncio.sleep(0.5)
        platform.store.down = True
        await platform.start('edge-new', seeds=seed)
        reply = await platform.send('/read/1', instance=1)
        assert reply.status == 200

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_peers_hear_of_a_stop_while_the_store_is_away(tmp_path: Path) -> None:
    """Look-ups drop an instance that stops in an outage of the store."""

    async def _scene(platform: UsersPlatform) -> None:
        await asyncio.sleep(1.5)
        platform.store.down = True
        stopping = asyncio.create_task(platform.instances.pop().stop())
        asked = platform.settings[0].lookup_address

        async def _is_dropped() -> bool:
            reply = await platform.get(
                asked, '/lookup?name=shop.example&region=pnw&zone=pnw-a'
            )
            gone = platform.settings[-1].caller_address
            return gone not in json.loads(reply.body)['addrs']

        assert await _until(_is_dropped, 1)
        await stopping

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=2)


def test_instances_turned_away_by_the_store_learn_from_peers(
    tmp_path: Path,
) -> None:
    """A version reaches an instance that the store does not serve."""

    async def _scene(platform: UsersPlatform) -> None:
        blind = platform.instances[1]
        await asyncio.sleep(1)

        async def _fail(*args: object, **options: object) -> None:
            raise ConnectError('cut off')

        registry = blind._deployment.registry
        registry._http.send = _fail  # type: ignore[attr-defined]
        blind._news.poll_source = _no_news  # type: ignore[method-assign]
        added = {'name': 'new', 'prefix': '/new/', 'service': 'desk'}
        value = config_value(0x2F, [*ROUTES, added])
        platform.store.put('op/config', value)

        async def _is_known() -> bool:
            return (await platform.send('/new/1', instance=1)).status == 200

        assert await _until(_is_known, 4)

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=2)


def test_calls_to_a_quiet_store_do_not_grow_with_instances(
    tmp_path: Path,
) -> None:
    """One instance asks for changes, the others learn from it."""

    async def _scene(platform: UsersPlatform) -> None:
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

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=2)


def test_an_announcement_that_is_lost_is_made_again_at_once(
    tmp_path: Path,
) -> None:
    """Callers are sent here again without waiting for the next renewal."""

    async def _scene(platform: UsersPlatform) -> None:
        key = 'lycheedyke/entries/edge-0'

        async def _is_announced() -> bool:
            return key in platform.store.keys()

        async def _is_renewed() -> bool:
            return platform.store.calls[-1].startswith('/kv-keep')

        assert await _until(_is_announced)
        assert await _until(_is_renewed)
        platform.store.remove(key)
        assert await _until(_is_announced, ANNOUNCE_SECONDS)

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_head_that_is_turned_away_holds_up_nobody(tmp_path: Path) -> None:
    """The others hear from it at once that its news are old."""

    async def _scene(platform: UsersPlatform) -> None:
        for at in range(2, SOME_INSTANCES):
            zone = ('pnw-a', 'nc-a')[at % 2]
            await platform.start(f'edge-{at}', zone=zone)
        await asyncio.sleep(2)
        heads = [
            each for each in platform.instances if each._news._source() is None
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
                each._beliefs.number == 0x2F for each in platform.instances
            )

        assert await _until(_is_in_force, NEWS_SECONDS)

    play(tmp_path, _scene, limit_s=LIMIT_SECONDS, instances=2)


async def _no_news(after: int) -> None:
    return None
