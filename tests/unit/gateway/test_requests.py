"""Requests through one gateway: answers, refusals and repeats."""

import asyncio
import logging
from pathlib import Path

import pytest

from standins.gateway_testbed import GatewayTestbed, Reply, run_scenario
from standins.scripted_upstream import ScriptedUpstream


def _script(platform: GatewayTestbed, *acts: str) -> None:
    for upstream in platform.upstreams:
        upstream.script.extend(acts)


def test_a_request_passes_unchanged_and_its_answer_too(tmp_path: Path) -> None:
    """Method, path, query, body, cookie and id reach the upstream as sent."""

    async def _scene(platform: GatewayTestbed) -> None:
        reply = await platform.send(
            '/order/a%20b?x=%2f&y', method='POST', body=b'cup 7'
        )
        (arrival,) = [each for up in platform.upstreams for each in up.arrivals]
        assert (reply.status, reply.body) == (200, b'{"ran": "whole"}')
        assert reply.headers['Lycheedyke-Server-Seal'] == 'seal-1'
        assert reply.headers['Lycheedyke-Request-Id'] == 'r-1'
        assert arrival.method == 'POST'
        assert arrival.target == '/order/a%20b?x=%2f&y'
        assert arrival.body == b'cup 7'
        assert arrival.headers['Host'] == 'shop.example'
        assert arrival.headers['Cookie'] == 'Lycheedyke-Affinity-Key=17'
        # The route's timeout is shorter than the caller's deadline.
        assert 700 < int(arrival.headers['Lycheedyke-Deadline-Ms']) <= 800

    run_scenario(tmp_path, _scene)


def test_a_chunked_body_arrives_whole(tmp_path: Path) -> None:
    """A body without Content-Length is forwarded completely."""

    async def _chunks() -> object:
        for _ in range(50):
            yield b'x' * 1000

    async def _scene(platform: GatewayTestbed) -> None:
        reply = await platform.send('/order/1', method='POST', body=_chunks())
        (arrival,) = [each for up in platform.upstreams for each in up.arrivals]
        assert reply.status == 200
        assert len(arrival.body) == 50_000

    run_scenario(tmp_path, _scene)


def test_what_no_route_names_is_not_found(tmp_path: Path) -> None:
    """Paths without a route get 404 and reach no upstream."""

    async def _scene(platform: GatewayTestbed) -> None:
        assert (await platform.send('/other/1')).status == 404
        assert not platform.count_arrivals()

    run_scenario(tmp_path, _scene)


@pytest.mark.parametrize('act', ['lose', 'cut', 'open-cut', 'other', 'fail'])
def test_a_broken_answer_is_repeated_for_reads_only(
    tmp_path: Path,
    act: str,
) -> None:
    """An idempotent request is sent to a second upstream, an order never."""

    async def _scene(platform: GatewayTestbed) -> None:
        _script(platform, act)
        # The upstream that is tried second answers.
        second = await _send_to_second(platform)
        assert (second.status, second.body) == (200, b'{"ran": "whole"}')
        for upstream in platform.upstreams:
            upstream.script.clear()
        _script(platform, act)
        before = len(platform.started())
        order = await platform.send('/order/1', method='POST', body=b'x')
        assert len(platform.started()) == before + 1
        assert order.status == (500 if act == 'fail' else 502)
        assert 'Retry-After' not in order.headers

    run_scenario(tmp_path, _scene)


async def _send_to_second(platform: GatewayTestbed) -> Reply:
    first, second = platform.upstreams
    first_script = list(first.script)
    # Only the upstream that is tried first fails.
    second.script.clear()
    reply = await platform.send('/read/1')
    if not first.arrivals:
        second.script.extend(first_script)
        first.script.clear()
        second.arrivals.clear()
        reply = await platform.send('/read/1')
    return reply


def test_shed_orders_may_go_to_another_upstream(tmp_path: Path) -> None:
    """An upstream that says "not run" allows a second one."""

    async def _scene(platform: GatewayTestbed) -> None:
        _script(platform, 'shed')
        order = await platform.send('/order/1', method='POST', body=b'x')
        assert order.status == 503
        assert 0 < float(order.headers['Retry-After']) < 3
        assert 'Lycheedyke-Server-Seal' not in order.headers
        assert not platform.started()
        order = await platform.send('/order/1', method='POST', body=b'x')
        assert order.status == 200
        assert platform.count_arrivals() == 3

    run_scenario(tmp_path, _scene)


def test_a_refusal_leaves_what_it_was_decided_on(
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The log line of a refusal has its inputs and the time to retry after."""

    async def _scene(platform: GatewayTestbed) -> None:
        _script(platform, 'shed')
        with caplog.at_level(logging.INFO):
            await platform.send('/order/1', method='POST', body=b'x')
        lines = {
            record.getMessage(): vars(record)
            for record in caplog.records
            if vars(record).get('request') == 'r-1'
        }
        refused = lines['request refused']
        assert refused['reason'] == 'upstream-refused'
        assert {'best', 'load', 'slots', 'wait_ms', 'goal_ms'} <= set(refused)
        assert lines['attempt ended']['sent_to'].startswith('i-')
        assert lines['request ended']['version'] == 0x11
        assert float(lines['request ended']['retry_after']) > 0

    run_scenario(tmp_path, _scene)


def test_an_address_used_again_runs_nothing(tmp_path: Path) -> None:
    """A new upstream at a known address answers 421 and gets no more."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.name = f'{upstream.name}-next'
        for _ in range(5):
            assert (await platform.send('/read/1')).status == 503
        assert not platform.started()
        assert platform.count_arrivals() <= 4

    run_scenario(tmp_path, _scene)


def test_bytes_after_an_answer_reach_nobody(tmp_path: Path) -> None:
    """An extra answer is not used as the answer to the next request."""

    async def _scene(platform: GatewayTestbed) -> None:
        _script(platform, 'extra', 'answer', 'extra')
        for _ in range(6):
            reply = await platform.send('/read/1')
            assert reply.status == 200
            assert reply.body == b'{"ran": "whole"}'

    run_scenario(tmp_path, _scene)


def test_an_answer_without_a_length_ends_with_its_connection(
    tmp_path: Path,
) -> None:
    """The answer is valid only if the connection was closed properly."""

    async def _scene(platform: GatewayTestbed) -> None:
        _script(platform, 'open')
        reply = await platform.send('/order/1', method='POST', body=b'x')
        assert (reply.status, reply.body) == (200, b'half')
        for upstream in platform.upstreams:
            upstream.script.clear()
        _script(platform, 'open-cut')
        reply = await platform.send('/order/1', method='POST', body=b'x')
        assert reply.status == 502

    run_scenario(tmp_path, _scene)


def test_a_connection_answered_early_is_not_used_again(
    tmp_path: Path,
) -> None:
    """The rest of a body is never sent in place of the next request."""

    async def _scene(platform: GatewayTestbed) -> None:
        _script(platform, 'early')
        body = b'x' * 3_000_000
        await platform.send('/read/1', method='PUT', body=body)
        for _ in range(3):
            reply = await platform.send('/read/1')
            assert reply.body == b'{"ran": "whole"}'

    run_scenario(tmp_path, _scene, upstreams=1)


async def _switch_protocols(
    writer: asyncio.StreamWriter, headers: dict[str, str], body: bytes
) -> None:
    request = headers['Lycheedyke-Request-Id']
    writer.write(
        b'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n'
        b'Upgrade: other\r\nLycheedyke-Request-Id: %s\r\n\r\n'
        % request.encode(),
    )
    writer.close()


# Guards against callers that wait on their connection for a final answer.
def test_an_interim_answer_is_not_passed_on(tmp_path: Path) -> None:
    """The caller gets 502 if an upstream switches protocols and closes."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream._answer = _switch_protocols  # type: ignore[method-assign]
        assert (await platform.send('/read/1')).status == 502

    run_scenario(tmp_path, _scene)


def test_a_silent_upstream_costs_no_more_than_the_timeout(
    tmp_path: Path,
) -> None:
    """The caller gets 504 within half a second of the route's timeout."""

    async def _scene(platform: GatewayTestbed) -> None:
        _script(platform, 'silent')
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await platform.send(
            '/order/1', method='POST', body=b'x', deadline_ms=5000
        )
        assert reply.status == 504
        assert 0.7 < loop.time() - started < 1.3

    run_scenario(tmp_path, _scene)


async def _find_home(
    platform: GatewayTestbed,
) -> tuple[ScriptedUpstream, ScriptedUpstream]:
    """Returns the upstream of the default object key, and the other one."""
    await platform.send('/read/1')
    first, second = platform.upstreams
    return (first, second) if first.arrivals else (second, first)


def test_a_silent_upstream_is_given_up_while_there_is_time(
    tmp_path: Path,
) -> None:
    """Another upstream answers an idempotent request before its deadline."""

    async def _scene(platform: GatewayTestbed) -> None:
        home, other = await _find_home(platform)
        home.script.append('silent')
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await platform.send('/read/1')
        assert reply.status == 200
        assert loop.time() - started < 1.0
        assert len(other.arrivals) == 1

    run_scenario(tmp_path, _scene)


def test_a_slow_upstream_that_answers_others_is_not_given_up(
    tmp_path: Path,
) -> None:
    """A request to a slow upstream is not repeated, to add no load."""

    async def _scene(platform: GatewayTestbed) -> None:
        home, other = await _find_home(platform)
        home.run_s = 0.9
        slow = asyncio.create_task(platform.send('/read/1'))
        await asyncio.sleep(0.2)
        home.run_s = 0.005
        assert (await platform.send('/read/2')).status == 200
        assert (await slow).status == 200
        assert not other.arrivals

    run_scenario(tmp_path, _scene)


def test_work_of_a_caller_that_left_is_cancelled(tmp_path: Path) -> None:
    """The connection to the upstream is closed within half a second."""

    async def _scene(platform: GatewayTestbed) -> None:
        _script(platform, 'wait')
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(platform.send('/read/1'), 0.2)
        await asyncio.sleep(0.4)
        assert [name for up in platform.upstreams for name in up.disconnected]

    run_scenario(tmp_path, _scene)


def test_a_suspect_that_never_runs_alone_is_answered_in_time(
    tmp_path: Path,
) -> None:
    """If the guard never admits a request, its caller gets 504 in time."""

    async def _scene(platform: GatewayTestbed) -> None:
        guard = platform.instances[0]._guard
        guard._may_enter = lambda *args: False  # type: ignore[method-assign]
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await platform.send('/read/1')
        assert reply.status == 504
        assert 1.1 < loop.time() - started < 1.7
        assert not platform.count_arrivals()

    run_scenario(tmp_path, _scene)
