"""Callers are identified by their keys, at every instance."""

import asyncio
import logging
from pathlib import Path
from typing import Any

import msgspec
import pytest

from standins.gateway_testbed import (
    ARRIVAL_POLLS,
    ROUTES,
    GatewayTestbed,
    Reply,
    run_scenario,
)
from standins.registry_store import config_value

KEY = 'k-first-4711'
SECOND_KEY = 'k-second-4712'
OTHER_KEY = 'k-other-4713'
PUBLIC = {
    'name': 'news',
    'prefix': '/news/',
    'service': 'desk',
    'public': True,
}
TENANTS = (
    {'name': 'tills', 'apiKeys': [KEY, SECOND_KEY], 'ratePerS': 0},
    {'name': 'vendors', 'apiKeys': [OTHER_KEY]},
)
SETTLE_SECONDS = 2


def _write(
    testbed: GatewayTestbed,
    version: int,
    *tenants: dict[str, Any],
    routes: tuple[dict[str, Any], ...] = (*ROUTES, PUBLIC),
) -> None:
    value = config_value(version, list(routes), list(tenants))
    testbed.store.put('op/config', value)


async def _wait_version(testbed: GatewayTestbed, version: int) -> None:
    for _ in range(ARRIVAL_POLLS):
        numbers = [each._registry_view.number for each in testbed.instances]
        if min(numbers) >= version:
            return
        await asyncio.sleep(0.01)
    raise TimeoutError(f'version {version:x} is not in force')


async def _ask(
    testbed: GatewayTestbed,
    authorization: str | None,
    path: str = '/read/1',
    **more: Any,
) -> Reply:
    headers = {'Lycheedyke-Tenant': 'vendors'}
    if authorization is not None:
        headers['Authorization'] = authorization
    return await testbed.send(path, headers=headers, **more)


# Guards against requests that are served without a proper key.
@pytest.mark.parametrize(
    'authorization',
    [
        None,
        '',
        'Bearer',
        'Bearer ',
        'Bearer k-nobody',
        f'Basic {KEY}',
        KEY,
        f'Bearer {KEY} more',
        f'Bearer {KEY.upper()}',
        f'Bearer {"k" * 4000}',
        'Bearer k-\udce9',
    ],
)
def test_a_request_without_a_known_key_is_refused(
    tmp_path: Path, authorization: str | None
) -> None:
    """It is answered 401 and reaches no upstream; a public route needs none."""

    async def _scene(testbed: GatewayTestbed) -> None:
        _write(testbed, 0x20, *TENANTS)
        await _wait_version(testbed, 0x20)
        reply = await _ask(testbed, authorization)
        assert reply.status == 401
        assert reply.headers['WWW-Authenticate'] == 'Bearer'
        assert not testbed.started()
        public = await _ask(testbed, authorization, '/news/1')
        assert public.status == 200

    run_scenario(tmp_path, _scene)


# Guards against keys that leave the instance, and tenants that callers name.
def test_an_upstream_gets_the_tenant_and_not_the_key(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Neither does a log line, a metric or a record for peers hold the key."""

    async def _scene(testbed: GatewayTestbed) -> None:
        _write(testbed, 0x20, *TENANTS)
        await _wait_version(testbed, 0x20)
        for key, path in (KEY, '/read/1'), (SECOND_KEY, '/news/1'):
            reply = await _ask(testbed, f'bearer {key}', path)
            assert reply.status == 200
        await _ask(testbed, f'Bearer {KEY}x')
        for upstream in testbed.upstreams:
            for arrival in upstream.arrivals:
                assert arrival.headers['Lycheedyke-Tenant'] == 'tills'
                assert 'Authorization' not in arrival.headers
        own = testbed.instances[0]
        update = own._replica.changes_after(own._replica.position)
        everything = own._replica.changes_after(
            update.position._replace(revision=0)
        )
        metrics = await testbed.get(
            testbed.settings[0].metrics_address, '/metrics'
        )
        held = msgspec.msgpack.encode(everything) + metrics.body
        assert b'tills' in held
        for key in (KEY, SECOND_KEY, OTHER_KEY):
            assert key.encode() not in held

    with caplog.at_level(logging.DEBUG):
        run_scenario(tmp_path, _scene)
    for record in caplog.records:
        assert KEY not in repr(vars(record))


# Guards against keys that work on after they were taken away.
def test_a_key_ends_with_its_configuration(tmp_path: Path) -> None:
    """Also on connections that are kept, and with the last key of a tenant."""

    async def _scene(testbed: GatewayTestbed) -> None:
        _write(testbed, 0x20, *TENANTS)
        await _wait_version(testbed, 0x20)
        assert (await _ask(testbed, f'Bearer {KEY}')).status == 200
        _write(testbed, 0x21, {'name': 'tills', 'apiKeys': []}, TENANTS[1])
        await _wait_version(testbed, 0x21)
        assert (await _ask(testbed, f'Bearer {KEY}')).status == 401
        assert (await _ask(testbed, f'Bearer {OTHER_KEY}')).status == 200
        _write(testbed, 0x22, *TENANTS)
        await _wait_version(testbed, 0x22)
        assert (await _ask(testbed, f'Bearer {KEY}')).status == 200
        _write(testbed, 0x23)
        await _wait_version(testbed, 0x23)
        assert (await _ask(testbed, f'Bearer {OTHER_KEY}')).status == 401

    run_scenario(tmp_path, _scene)


# Guards against an instance that learns of a removed key from the store alone.
def test_a_restarted_instance_knows_the_keys_while_the_store_is_away(
    tmp_path: Path,
) -> None:
    """It gets the configuration from its peers."""

    async def _scene(testbed: GatewayTestbed) -> None:
        _write(testbed, 0x20, *TENANTS)
        await _wait_version(testbed, 0x20)
        _write(testbed, 0x21, TENANTS[1])
        await _wait_version(testbed, 0x21)
        testbed.store.down = True
        seed = testbed.settings[0].peer_address
        await testbed.start('edge-new', seeds=seed)
        for instance in range(len(testbed.instances)):
            taken = await _ask(testbed, f'Bearer {KEY}', instance=instance)
            other = await _ask(
                testbed, f'Bearer {OTHER_KEY}', instance=instance
            )
            assert (taken.status, other.status) == (401, 200)

    run_scenario(tmp_path, _scene)


# Guards against requests that run outside of their tenant's homes.
def test_the_homes_of_a_tenant_bind_beside_those_of_the_route(
    tmp_path: Path,
) -> None:
    """Where route and tenant share no region, nothing runs."""

    async def _scene(testbed: GatewayTestbed) -> None:
        near, far = testbed.upstreams
        testbed.register(far, zone='nc-a')
        bound = {**PUBLIC, 'name': 'pnw', 'prefix': '/pnw/', 'public': False}
        _write(
            testbed,
            0x20,
            {'name': 'tills', 'apiKeys': [KEY], 'homeRegions': ['nc']},
            TENANTS[1],
            routes=(*ROUTES, {**bound, 'homeRegions': ['pnw']}),
        )
        await _wait_version(testbed, 0x20)
        await asyncio.sleep(SETTLE_SECONDS)
        for at in range(10):
            reply = await _ask(
                testbed, f'Bearer {KEY}', object_key=str(at), deadline_ms=5000
            )
            assert reply.status == 200
        assert not near.arrivals
        count = len(far.arrivals)
        assert (await _ask(testbed, f'Bearer {KEY}', '/pnw/1')).status == 503
        assert (
            await _ask(testbed, f'Bearer {OTHER_KEY}', '/pnw/1')
        ).status == 200
        assert (len(near.arrivals), len(far.arrivals)) == (1, count)

    run_scenario(tmp_path, _scene)
