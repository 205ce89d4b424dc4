"""What the answers of an upstream say of its limit, and when it holds."""

import asyncio
from pathlib import Path

import pytest

from lycheedyke_daemon.gateway._answer_headers import parse_send_limit
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.limit_scenes import known_limits, limit_header


# Guards against a limit that answers to earlier requests end or renew.
def test_answers_that_overtake_each_other_leave_the_limit(
    tmp_path: Path,
) -> None:
    """A request written before the limit was read says nothing of its end."""

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        upstream.run_of_path = lambda path: 0.5 if 'slow' in path else 0.005
        slow = asyncio.create_task(platform.send('/read/slow'))
        await platform.wait_arrival()
        upstream.says = limit_header(2.2)
        await platform.send('/read/fast')
        upstream.says = ''
        assert (await slow).status == 200
        assert known_limits(platform, upstream) == [2.2]
        await asyncio.sleep(2)
        assert (await platform.send('/read/fast')).status == 200
        assert known_limits(platform, upstream) == [None]

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)


@pytest.mark.parametrize('action', ['shed', 'fail', 'busy', 'answer', 'close'])
def test_any_answer_to_the_request_may_name_a_limit(
    tmp_path: Path, action: str
) -> None:
    """Refusals and failures too, beside other wishes."""

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        upstream.script.append(action)
        upstream.says = f'{limit_header(2.2)}Retry-After: 0.5\r\n'
        await platform.send('/order/1', method='POST')
        assert known_limits(platform, upstream) == [2.2]

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)


def test_an_answer_to_another_request_names_no_limit(tmp_path: Path) -> None:
    """It is not read at all."""

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        upstream.script.append('other')
        upstream.says = limit_header(0)
        await platform.send('/order/1', method='POST')
        assert known_limits(platform, upstream) == [None]

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)


@pytest.mark.parametrize(
    'value',
    ['nan', '-1', 'inf', '1e400', '0x2', '2,2', 'two', '9' * 3000, '2.2.2']
    + ['', '\u0663', '1 2', '+2', '.5', f'2{chr(13)}{chr(10)}Server-Limit: 2'],
)
def test_a_limit_that_is_no_decimal_number_is_none(
    tmp_path: Path, value: str
) -> None:
    """It is counted and logged, and leaves a known limit as it is."""

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        (instance,) = platform.instances
        upstream.says = limit_header(value)
        assert (await platform.send()).status == 200
        assert known_limits(platform, upstream) == [None]
        assert instance._counters.counts['limit.not-understood'] == 1
        upstream.says = limit_header(8)
        await platform.send()
        upstream.says = limit_header(value)
        await asyncio.sleep(0.5)
        await platform.send()
        assert known_limits(platform, upstream) == [8]

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)


@pytest.mark.parametrize(
    ('text', 'rate'),
    [('2.2', 2.2), (' 0 ', 0), ('5.', 5), ('9' * 200, None), ('10000', None)],
)
def test_a_limit_that_is_too_high_to_matter_binds_nobody(
    text: str, rate: float | None
) -> None:
    """Others may have a fraction."""
    assert parse_send_limit(text) == rate


def test_another_incarnation_has_no_limit(tmp_path: Path) -> None:
    """It has not named any."""

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        upstream.says = limit_header(0)
        statuses = [(await platform.send()).status for _ in range(3)]
        assert statuses[-1] == 503
        upstream.says = ''
        platform.register(upstream, born=1_770_000_000_001)
        await asyncio.sleep(1)
        assert (await platform.send()).status == 200

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)


def test_a_refusal_names_the_limit_and_the_time_of_the_next_send(
    tmp_path: Path,
) -> None:
    """What comes back then is served."""

    async def _scene(platform: GatewayTestbed) -> None:
        (upstream,) = platform.upstreams
        upstream.says = limit_header(2.2)
        statuses = []
        for _ in range(6):
            reply = await platform.send(deadline_ms=10_000)
            statuses.append(reply.status)
            if reply.status == 503:
                assert reply.body == b'upstream-limited'
                await asyncio.sleep(float(reply.headers['Retry-After']))
        assert statuses.count(200) >= 3
        instance = platform.instances[0]
        assert instance._counters.counts['limit.held-back'] > 0
        metrics = await platform.get(
            platform.settings[0].metrics_address, '/metrics'
        )
        named = f'service="desk",upstream="{upstream.name}"'.encode()
        assert b'lycheedyke_upstream_limit{' + named + b'} 2.2' in metrics.body
        assert b'lycheedyke_limit_sharing{' + named + b'} 1.0' in metrics.body

    run_scenario(tmp_path, _scene, limit_s=60, upstreams=1)
