"""A record of another writer costs itself alone, whatever stands in it."""

import asyncio
import json
import logging
from pathlib import Path
from typing import Any

import msgspec
import pytest

from lycheedyke.exceptions import DocumentMalformed
from lycheedyke.protocol import (
    ItemBatch,
    RegistryItem,
    RegistryUpdate,
    RoutingRecord,
    is_valid_item,
)
from lycheedyke_daemon.background import BackgroundTasks
from lycheedyke_daemon.gateway import _peer_updates
from standins.gateway_testbed import (
    GatewayTestbed,
    decode_record,
    run_scenario,
)
from standins.records import make_upstream
from standins.registry_store import config_value, upstream_value
from standins.scripted_upstream import ScriptedUpstream

ADDRESS = '127.0.0.1:8080'
NESTED = 50_000


def _upstream(**changes: Any) -> bytes:
    return json.dumps({**upstream_value('desk', ADDRESS), **changes}).encode()


def _nested() -> bytes:
    value = _upstream(notes=0).replace(
        b'"notes": 0', b'"notes": ' + b'[' * NESTED + b']' * NESTED
    )
    assert value != _upstream(notes=0)
    return value


ODD = (
    _nested(),
    _upstream(coldLeft=f'{"9" * 400}s'),
    _upstream(coldLeft='99999999999999s'),
    _upstream(coldLeft='90000s'),
    _upstream(addr='127.0.0.1:99999'),
    _upstream(addr='127.0.0.1:0'),
    _upstream(addr=f'127.0.0.1:{"8" * 5000}'),
    _upstream(addr='127.0.0.1:\u0668\u0660\u0668\u0660'),
    _upstream(addr='127.0.0.1 \r\nX: y:80'),
    _upstream(addr=':80'),
    _upstream(slots=1e30),
    _upstream(slots=10**400),
    _upstream(slots=0.5),
    _upstream(slots=-1),
    _upstream(born=10**400),
    _upstream(born=-1),
    _upstream(zone='pnw-a\r\nX: y'),
    _upstream(service=''),
    _upstream(state='gone'),
    b'\xff' * 100,
    b'',
    b'null',
    b'[]',
)


@pytest.mark.parametrize('content', ODD)
def test_an_odd_record_is_malformed(content: bytes) -> None:
    """It raises no error of another kind, and is not used."""
    with pytest.raises(DocumentMalformed):
        _decode_and_check('servers/i-odd', content)


def _decode_and_check(key: str, content: bytes) -> None:
    record = decode_record(key, content)
    if not is_valid_item(RegistryItem(key, 1, record)):
        raise DocumentMalformed(key)


def test_an_odd_name_is_malformed() -> None:
    """Names are sent to upstreams in a header."""
    with pytest.raises(DocumentMalformed):
        _decode_and_check('servers/i\r\nX: y', _upstream())


def test_an_odd_time_out_costs_its_route_alone() -> None:
    """One that no clock can hold is a fault of the route, and no other error."""
    route = {'name': 'read', 'prefix': '/', 'service': 'desk'}
    config = config_value(1, [{**route, 'timeout': f'{"9" * 400}s'}])
    record = decode_record('op/config', json.dumps(config).encode())
    assert isinstance(record, RoutingRecord)
    assert not record.routes
    assert [fault.name for fault in record.faults] == ['read']


def test_decimals_and_a_time_left_below_zero_are_no_fault() -> None:
    """What is left of the cold time is over then."""
    for content in (_upstream(slots=9.5), _upstream(coldLeft='-3ms')):
        _decode_and_check('servers/i-1', content)


# Guards against instances that stop following the registry, or never get ready,
# because one of its records raises an error that is not expected.
@pytest.mark.parametrize('at', range(len(ODD)))
def test_an_odd_record_costs_itself_alone(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, at: int
) -> None:
    """A new upstream gets requests, one that leaves gets none."""

    async def _scene(platform: GatewayTestbed) -> None:
        platform.store.put('servers/i-odd', ODD[at])
        leaving = platform.upstreams[0]
        platform.register(leaving, state='draining')
        joined = ScriptedUpstream('i-joined')
        await joined.open()
        platform.upstreams.append(joined)
        platform.register(joined)
        await platform.start('edge-later')
        await asyncio.sleep(3)
        before = len(leaving.arrivals)
        for number in range(12):
            reply = await platform.send(
                instance=number % 2, object_key=str(number)
            )
            assert reply.status == 200
        assert len(leaving.arrivals) == before
        assert joined.arrivals

    with caplog.at_level(logging.WARNING):
        run_scenario(tmp_path, _scene)
    lines = [
        record
        for record in caplog.records
        if record.getMessage() == 'record not understood'
    ]
    # One line for each reader of the registry; both read it all once.
    assert 1 <= len(lines) <= 2
    for line in lines:
        assert vars(line)['key'] == 'servers/i-odd'
        assert len(vars(line)['error']) <= 300


# Guards against an odd record that peers of an earlier release pass on.
def test_an_odd_record_of_a_peer_is_as_good_as_removed() -> None:
    """The others of the update are kept."""
    sound = RegistryItem('upstream/a', 1, make_upstream('a'))
    odd = msgspec.structs.replace(make_upstream('b'), address='h:99999')
    update = RegistryUpdate(
        0, ItemBatch(2, (sound, RegistryItem('upstream/b', 2, odd)))
    )
    checked = _peer_updates._without_invalid(update)
    assert checked.batch.items == (sound, RegistryItem('upstream/b', 2))
    assert _peer_updates._without_invalid(checked) is checked


# Guards against a task whose end nobody notices.
def test_a_task_that_fails_is_run_again(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Each failure is logged."""
    runs: list[int] = []

    async def _scene() -> None:
        third = asyncio.Event()

        async def _run() -> None:
            runs.append(len(runs))
            if len(runs) < 3:
                raise OverflowError('too large')
            third.set()
            await asyncio.Event().wait()

        tasks = BackgroundTasks()
        tasks.start('registry', _run)
        await third.wait()
        await tasks.end()

    asyncio.run(asyncio.wait_for(_scene(), 20))
    failures = [
        vars(record)['task']
        for record in caplog.records
        if record.getMessage() == 'task failed'
    ]
    assert failures == ['registry', 'registry']
