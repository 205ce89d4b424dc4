"""Which failed calls to the registry keep removed upstreams in use."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from lycheedyke.exceptions import ConnectError
from lycheedyke_daemon.gateway import GatewayInstance
from standins.gateway_testbed import GatewayTestbed, run_scenario

LIMIT_SECONDS = 60
# Upstreams and instances get nothing later than this after their removal.
DRAIN_SECONDS = 2.5
# After an outage, records are written again within this time. Those that are
# missing two seconds after an instance has noticed its end are removed.
RETURN_SECONDS = 1.7
REMOVAL_SECONDS = 2.0
# The longest delay of a retry, and twice those of a poll and of the registry's
# answer that it brings, and the interval at which lapsed records are removed.
NOTICE_SECONDS = 0.45 + 2 * (0.44 + 0.25) + 0.3
# A call that hangs, and the one after it, are given up first.
SILENT_NOTICE_SECONDS = NOTICE_SECONDS + 0.95 + 0.7
AWAY_SECONDS = 5.0
SETTLE_SECONDS = 2.0
# A removal has reached all instances, if nothing is deferred.
USUAL_SECONDS = 1.5
SILENT_SECONDS = 5.0

Scene = Callable[[GatewayTestbed], Awaitable[None]]


@asynccontextmanager
async def _repeating(
    act: Callable[[], object], every_s: float
) -> AsyncIterator[None]:
    async def _repeat() -> None:
        while True:
            await asyncio.sleep(every_s)
            act()

    task = asyncio.create_task(_repeat())
    try:
        yield
    finally:
        task.cancel()


def _remove(testbed: GatewayTestbed, at: int) -> None:
    testbed.store.remove(f'servers/{testbed.upstreams[at].name}')


def _known(instance: GatewayInstance) -> int:
    return len(instance._upstream_table)


async def _removed_everywhere(testbed: GatewayTestbed, count: int) -> bool:
    """Returns whether all instances know only so many upstreams in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + DRAIN_SECONDS
    while loop.time() < end:
        if all(_known(each) == count for each in testbed.instances):
            return True
        await asyncio.sleep(0.05)
    return False


def _head(testbed: GatewayTestbed) -> GatewayInstance:
    heads = [
        each
        for each in testbed.instances
        if each._peer_updates.news_sources.source() is None
    ]
    assert len(heads) == 1
    return heads[0]


def _turn_away(instance: GatewayInstance, delay_s: float = 0) -> None:
    """Lets all calls of one instance to the store fail."""

    async def _fail(*args: object, **options: object) -> None:
        await asyncio.sleep(delay_s)
        raise ConnectError('turned away')

    registry: Any = instance._deployment.registry
    registry._http.send = _fail


# Guards against DRAIN: an instance took an interrupted watch for an outage of
# the registry, and kept removed upstreams in use for as long as watches were cut.
@pytest.mark.parametrize('every_s', [0.05, 0.3, 1.0, 1.8, 2.2])
@pytest.mark.parametrize('instances', [1, 3])
def test_interrupted_watches_keep_no_removed_upstream(
    tmp_path: Path, every_s: float, instances: int
) -> None:
    """Removals take effect in time at the instance that reads and at others."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await asyncio.sleep(SETTLE_SECONDS)
        async with _repeating(testbed.store.cut_watches, every_s):
            await asyncio.sleep(SETTLE_SECONDS)
            _remove(testbed, 0)
            assert await _removed_everywhere(testbed, 2)
            await asyncio.sleep(SETTLE_SECONDS)
            _remove(testbed, 1)
            assert await _removed_everywhere(testbed, 1)

    run_scenario(
        tmp_path,
        _scene,
        limit_s=LIMIT_SECONDS,
        upstreams=3,
        instances=instances,
    )


# Guards against DRAIN: the same after one call that the registry refused, or
# whose response was lost.
@pytest.mark.parametrize('failure', ['429', '503', 'lost'])
@pytest.mark.parametrize('instances', [1, 3])
def test_a_single_failed_call_is_no_outage(
    tmp_path: Path, failure: str, instances: int
) -> None:
    """Calls fail every two seconds; the calls between them are answered."""

    async def _scene(testbed: GatewayTestbed) -> None:
        store = testbed.store

        def _fail_once() -> None:
            if failure == 'lost':
                store.lose_watches = 1
            else:
                store.refusal = int(failure)
                store.refuse_calls = 1

        await asyncio.sleep(SETTLE_SECONDS)
        async with _repeating(_fail_once, 2):
            for at in range(2):
                await asyncio.sleep(SETTLE_SECONDS + at / 2)
                _remove(testbed, at)
                assert await _removed_everywhere(testbed, 2 - at)

    run_scenario(
        tmp_path,
        _scene,
        limit_s=LIMIT_SECONDS,
        upstreams=3,
        instances=instances,
    )


# Guards against DRAIN: an instance that the registry turns away took this for an
# outage, although its peers were answered.
@pytest.mark.parametrize('delay_s', [0.0, 0.7])
@pytest.mark.parametrize('is_head', [False, True])
def test_a_registry_that_turns_one_instance_away_has_no_outage(
    tmp_path: Path, delay_s: float, *, is_head: bool
) -> None:
    """Removals take effect in time, also when it is answered again."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await asyncio.sleep(SETTLE_SECONDS)
        head = _head(testbed)
        instance = next(
            each for each in testbed.instances if (each is head) == is_head
        )
        http: Any = instance._deployment.registry
        send = http._http.send
        _turn_away(instance, delay_s)
        await asyncio.sleep(SETTLE_SECONDS)
        _remove(testbed, 0)
        assert await _removed_everywhere(testbed, 2)
        http._http.send = send
        await asyncio.sleep(0.3)
        _remove(testbed, 1)
        assert await _removed_everywhere(testbed, 1)

    run_scenario(
        tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=3, instances=3
    )


# Guards against DRAIN: the silence of a head that stood still was an outage to
# the instances that read from it.
def test_a_silent_head_is_no_outage(tmp_path: Path) -> None:
    """The others read the registry themselves and are answered."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await asyncio.sleep(SETTLE_SECONDS)
        head = _head(testbed)
        others = [each for each in testbed.instances if each is not head]
        # Its peers get an error, and it does not read the registry.
        updates: Any = head._peer_updates
        updates._requested_position = lambda request: 1 / 0
        _turn_away(head, SILENT_SECONDS)
        await asyncio.sleep(0.5)
        _remove(testbed, 0)
        await asyncio.sleep(DRAIN_SECONDS)
        assert [_known(each) for each in others] == [2, 2]

    run_scenario(
        tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=3, instances=3
    )


def _outage_scene(every_s: float, *, is_silent: bool) -> Scene:
    """Returns a scene in which all records lapse while the store is away."""
    notice_s = SILENT_NOTICE_SECONDS if is_silent else NOTICE_SECONDS

    async def _scene(testbed: GatewayTestbed) -> None:
        store = testbed.store
        total = len(testbed.upstreams)
        await asyncio.sleep(SETTLE_SECONDS)
        store.silent = is_silent
        store.down = not is_silent
        await asyncio.sleep(AWAY_SECONDS / 2)
        for at in range(total):
            _remove(testbed, at)
        await asyncio.sleep(AWAY_SECONDS / 2)
        store.silent = False
        store.down = False
        async with _repeating(store.cut_watches, every_s):
            for _ in range(int(RETURN_SECONDS * 10)):
                await asyncio.sleep(0.1)
                assert {_known(each) for each in testbed.instances} == {total}
                assert (await testbed.send('/read/1')).status == 200
            for upstream in testbed.upstreams[1:]:
                testbed.register(upstream)
            await asyncio.sleep(REMOVAL_SECONDS - RETURN_SECONDS + notice_s)
            for _ in range(10):
                await asyncio.sleep(0.1)
                counts = {_known(each) for each in testbed.instances}
                assert counts == {total - 1}

    return _scene


# Guards against requests without an upstream after an outage, and against an
# upstream that is kept although its record is missing two seconds after it.
@pytest.mark.parametrize('every_s', [0.2, 0.7, 1.8, 100])
@pytest.mark.parametrize('is_silent', [False, True])
@pytest.mark.parametrize('instances', [1, 3])
def test_records_that_lapse_in_an_outage_are_kept_for_two_seconds(
    tmp_path: Path, every_s: float, instances: int, *, is_silent: bool
) -> None:
    """Watches that are cut after the outage change nothing."""
    run_scenario(
        tmp_path,
        _outage_scene(every_s, is_silent=is_silent),
        limit_s=LIMIT_SECONDS,
        upstreams=3,
        instances=instances,
    )


# Guards against upstreams that are dropped while the registry is away again,
# when they can't be registered.
def test_a_second_outage_gives_the_records_their_time_again(
    tmp_path: Path,
) -> None:
    """The registry is away for five seconds, back for one, and away again."""

    async def _scene(testbed: GatewayTestbed) -> None:
        store = testbed.store
        await asyncio.sleep(SETTLE_SECONDS)
        for _ in range(2):
            store.down = True
            await asyncio.sleep(AWAY_SECONDS)
            for upstream in testbed.upstreams:
                if f'servers/{upstream.name}' in store.keys():
                    store.remove(f'servers/{upstream.name}')
            assert (await testbed.send('/read/1')).status == 200
            store.down = False
            await asyncio.sleep(1)
        assert (await testbed.send('/read/1')).status == 200
        await asyncio.sleep(REMOVAL_SECONDS + NOTICE_SECONDS - 1)
        assert (await testbed.send('/read/1')).status == 503

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_log_lines_tell_an_interruption_a_failure_and_an_outage_apart(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """They also tell why a removal is deferred, and until when."""

    def _names() -> set[str]:
        names = {record.message for record in caplog.records}
        caplog.clear()
        return names & {
            'watch interrupted',
            'registry lost',
            'registry outage',
            'removal deferred',
            'deferral ended',
        }

    async def _scene(testbed: GatewayTestbed) -> None:
        store = testbed.store
        await asyncio.sleep(SETTLE_SECONDS)
        _names()
        store.cut_watches()
        await asyncio.sleep(1)
        assert _names() == {'watch interrupted'}
        store.refuse_calls = 1
        await asyncio.sleep(1)
        assert _names() == {'registry lost'}
        store.down = True
        await asyncio.sleep(AWAY_SECONDS)
        _remove(testbed, 0)
        store.down = False
        await asyncio.sleep(1)
        assert _names() == {
            'registry lost',
            'registry outage',
            'removal deferred',
        }
        await asyncio.sleep(REMOVAL_SECONDS + NOTICE_SECONDS - 1)
        assert _names() == {'deferral ended'}

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against DRAIN: each new process that read a store with an era above 0
# deferred removals anew, at itself and at all that it passed its updates to.
@pytest.mark.parametrize('era', [0, 1, 5])
def test_restarts_in_turn_defer_no_removal(tmp_path: Path, era: int) -> None:
    """The head stops and starts again and again while an upstream leaves."""

    async def _restart_head(testbed: GatewayTestbed) -> None:
        at = testbed.instances.index(_head(testbed))
        settings = testbed.settings.pop(at)
        await testbed.instances.pop(at).stop()
        await testbed.start(settings.name)

    async def _scene(testbed: GatewayTestbed) -> None:
        testbed.store.era = era
        for at in range(4):
            await testbed.start(f'edge-{at}')
        await testbed.wait_all_listed()
        await asyncio.sleep(AWAY_SECONDS)
        await _restart_head(testbed)
        await asyncio.sleep(1)
        _remove(testbed, 0)
        removed_at = asyncio.get_running_loop().time()
        for _ in range(3):
            await _restart_head(testbed)
            await asyncio.sleep(0.6)
        late = asyncio.get_running_loop().time() - removed_at
        await asyncio.sleep(max(0, DRAIN_SECONDS - late))
        assert [_known(each) for each in testbed.instances] == [1] * 4

    run_scenario(
        tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=2, instances=0
    )


def _cut_off(instance: GatewayInstance) -> Callable[[], None]:
    """Cuts an instance off from the store and its peers; returns the cure."""
    registry: Any = instance._deployment.registry
    updates: Any = instance._peer_updates
    exchange, requested = updates._http.send, updates._requested_position
    read = registry._http.send
    _turn_away(instance)
    updates._http.send = registry._http.send
    updates._requested_position = lambda request: 1 / 0

    def _heal() -> None:
        registry._http.send = read
        updates._http.send = exchange
        updates._requested_position = requested

    return _heal


# Guards against DRAIN: an instance that was cut off from all told others of an
# outage, and they kept a removed upstream in use.
@pytest.mark.parametrize('is_head', [False, True])
def test_what_one_instance_suffered_defers_nothing_at_others(
    tmp_path: Path, *, is_head: bool
) -> None:
    """An upstream leaves as it is back, and others drop it as usual."""

    async def _scene(testbed: GatewayTestbed) -> None:
        await testbed.wait_all_listed()
        await asyncio.sleep(SETTLE_SECONDS)
        head = _head(testbed)
        victim = next(
            each for each in testbed.instances if (each is head) == is_head
        )
        others = [each for each in testbed.instances if each is not victim]
        heal = _cut_off(victim)
        await asyncio.sleep(AWAY_SECONDS)
        heal()
        await asyncio.sleep(0.5)
        _remove(testbed, 0)
        await asyncio.sleep(USUAL_SECONDS)
        assert [_known(each) for each in others] == [1, 1]
        await asyncio.sleep(REMOVAL_SECONDS + NOTICE_SECONDS)
        assert _known(victim) == 1

    run_scenario(
        tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=2, instances=3
    )


# Guards against lost upstreams: an instance that starts while removals are
# deferred dropped records that were about to be written again.
@pytest.mark.parametrize('is_return', [False, True])
def test_an_instance_that_starts_in_a_deferral_holds_removals(
    tmp_path: Path, *, is_return: bool
) -> None:
    """It reads the store itself, and learns from peers what is left."""

    async def _scene(testbed: GatewayTestbed) -> None:
        store = testbed.store
        await testbed.wait_all_listed()
        await asyncio.sleep(SETTLE_SECONDS)
        if is_return:
            await store.come_back_from_copy(0.5, away_s=1.5)
        else:
            store.down = True
            await asyncio.sleep(AWAY_SECONDS)
            store.down = False
        await asyncio.sleep(0.3)
        await testbed.start('edge-new')
        await asyncio.sleep(0.5)
        _remove(testbed, 0)
        await asyncio.sleep(0.5)
        assert [_known(each) for each in testbed.instances] == [2, 2, 2]
        testbed.register(testbed.upstreams[0])
        await asyncio.sleep(REMOVAL_SECONDS + NOTICE_SECONDS)
        assert [_known(each) for each in testbed.instances] == [2, 2, 2]

    run_scenario(
        tmp_path, _scene, limit_s=LIMIT_SECONDS, upstreams=2, instances=2
    )
