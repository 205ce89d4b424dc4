"""Requests behind one another on one connection, over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from lycheedyke_daemon.pipeline import MAX_UNANSWERED
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.pipelining_caller import (
    OrderedAnswer,
    PipeliningCaller,
    make_request,
    run_of_path,
)

RUN_SECONDS = 0.4
UNKNOWN = '/nowhere/1'
GARBAGE = b'\x01\x02 not HTTP\r\n\r\n'

Scene = Callable[[GatewayTestbed, PipeliningCaller], Awaitable[None]]


def _run(folder: Path, scene: Scene, *, run_s: float = RUN_SECONDS) -> None:
    """Runs a scene with one connection to one instance."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.run_s = run_s
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            await scene(platform, caller)

    run_scenario(folder, _scene, limit_s=120)


def _started(platform: GatewayTestbed) -> list[str]:
    return [name for each in platform.upstreams for name in each.started]


def _statuses(answers: list[OrderedAnswer]) -> list[int]:
    return [answer.status for answer in answers]


def _requests(answers: list[OrderedAnswer]) -> list[str]:
    return [answer.request for answer in answers]


def test_safe_requests_run_side_by_side(tmp_path: Path) -> None:
    """Four of 0.4 s took 1.6 s when they ran one after the other."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        caller.send(*(make_request(f'p-{at}') for at in range(4)))
        answers = await caller.read_all(4)
        assert _requests(answers) == ['p-0', 'p-1', 'p-2', 'p-3']
        assert _statuses(answers) == [200] * 4
        assert answers[-1].at < 2 * RUN_SECONDS

    _run(tmp_path, _scene)


def test_a_deadline_counts_from_the_arrival(tmp_path: Path) -> None:
    """The last of sixty was answered 200 after 24 s under one of 3 s.

    Beyond those that run side by side, a request waits unread; its time runs.
    """

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        for upstream in platform.upstreams:
            platform.register(upstream, slots=200)
        sent = [
            make_request(f'p-{at}', deadline_ms=1000, path='/read/1')
            for at in range(3 * MAX_UNANSWERED)
        ]
        caller.send(*sent)
        answers = await caller.read_all(len(sent))
        assert len(answers) == len(sent)
        late = [each for each in answers if each.at > 1.1]
        assert [each for each in late if each.status == 200] == []

    _run(tmp_path, _scene, run_s=0.8)


def test_an_early_answer_waits_and_a_refusal_in_front_does_not(
    tmp_path: Path,
) -> None:
    """A 504 and a 404 in front go out at once and hold nobody up."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        for upstream in platform.upstreams:
            upstream.run_of_path = run_of_path
        caller.send(make_request('known', path='/read/10'))
        await caller.read()
        caller.send(
            make_request('p-0', path='/read/500', deadline_ms=300),
            make_request('p-1', path=UNKNOWN),
            make_request('p-2', path='/read/600'),
            make_request('p-3', path=UNKNOWN),
        )
        answers = await caller.read_all(4)
        assert _statuses(answers) == [504, 404, 200, 404]
        assert 0.3 <= answers[0].at < 0.45
        assert 0.3 <= answers[1].at < 0.45
        assert 0.6 <= answers[3].at < 0.75

    _run(tmp_path, _scene)


def test_a_caller_that_closes_gets_all_before(tmp_path: Path) -> None:
    """What stands behind `Connection: close` is not run.

    Guards against a 400 in the place of the first answer.
    """

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        caller.send(
            make_request('p-0'),
            make_request('p-1', closes=True),
            make_request('p-2'),
        )
        answers = await caller.read_all(3)
        assert _requests(answers) == ['p-0', 'p-1']
        assert [answer.closes for answer in answers] == [False, True]
        assert sorted(_started(platform)) == ['p-0', 'p-1']

    _run(tmp_path, _scene)


@pytest.mark.parametrize('is_split', [False, True])
def test_bad_bytes_are_answered_in_their_turn(
    tmp_path: Path, is_split: bool
) -> None:
    """The requests before them are answered, then comes 400 and the end."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        caller.send(make_request('p-0'), make_request('p-1'))
        if is_split:
            await asyncio.sleep(0.1)
        caller.send(GARBAGE, make_request('p-2'))
        answers = await caller.read_all(4)
        assert _statuses(answers) == [200, 200, 400]
        assert answers[2].closes
        assert 'p-2' not in _started(platform)

    _run(tmp_path, _scene)


def test_an_order_starts_when_all_before_are_answered(tmp_path: Path) -> None:
    """It starts only when nothing before it can close the connection."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        caller.send(
            make_request('p-0'),
            make_request('p-1', path='/order/1', method='POST', body=b'x'),
            make_request('p-2'),
        )
        answers = await caller.read_all(3)
        assert _requests(answers) == ['p-0', 'p-1', 'p-2']
        assert answers[1].at >= 0.6
        assert _started(platform).count('p-1') == 1

    _run(tmp_path, _scene, run_s=0.3)


def test_an_order_whose_time_passes_behind_others_never_runs(
    tmp_path: Path,
) -> None:
    """It is refused in its turn, and `not run` is true."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        caller.send(
            make_request('p-0'),
            make_request(
                'p-1', path='/order/1', method='POST', deadline_ms=200
            ),
            make_request('p-2'),
        )
        answers = await caller.read_all(3)
        assert _statuses(answers) == [200, 503, 200]
        assert 'p-1' not in _started(platform)

    _run(tmp_path, _scene)


@pytest.mark.parametrize('is_chunked', [False, True])
def test_bodies_stand_between(tmp_path: Path, is_chunked: bool) -> None:
    """A body belongs to its request, whatever its framing."""
    body = b'x' * 100_000

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        caller.send(
            make_request('p-0'),
            make_request('p-1', body=body, is_chunked=is_chunked),
            make_request('p-2'),
        )
        answers = await caller.read_all(3)
        assert _requests(answers) == ['p-0', 'p-1', 'p-2']
        arrived = {
            each.headers['Lycheedyke-Request-Id']: each.body
            for upstream in platform.upstreams
            for each in upstream.arrivals
        }
        assert arrived == {'p-0': b'', 'p-1': body, 'p-2': b''}

    _run(tmp_path, _scene)


def test_a_caller_that_leaves_ends_all_its_runs(tmp_path: Path) -> None:
    """The runs of all its requests are broken off."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        for upstream in platform.upstreams:
            upstream.script.extend(['wait'] * 5)
        caller.send(*(make_request(f'p-{at}') for at in range(5)))
        await asyncio.sleep(0.2)
        assert len(_started(platform)) == 5
        caller.leave()
        await asyncio.sleep(0.4)
        ended = [each for up in platform.upstreams for each in up.disconnected]
        assert sorted(ended) == [f'p-{at}' for at in range(5)]

    _run(tmp_path, _scene)


@pytest.mark.parametrize(
    ('after_s', 'count'), [(0.0, 9), (0.1, 9), (0.39, 6), (0.5, 9)]
)
def test_a_planned_stop_answers_what_was_passed_on(
    tmp_path: Path, after_s: float, count: int
) -> None:
    """What is read behind it is refused; then the connection closes."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        caller.send(*(make_request(f'p-{at}') for at in range(6)))
        await asyncio.sleep(after_s)
        stopping = asyncio.create_task(platform.instances.pop().stop())
        await asyncio.sleep(0.05)
        caller.send(*(make_request(f'q-{at}') for at in range(3)))
        answers = await caller.read_all(9)
        await stopping
        started = _started(platform)
        assert len(answers) == count
        served = [answer for answer in answers if answer.status == 200]
        assert _requests(served) == sorted(started)
        refused = answers[len(served) :]
        assert all(answer.body == b'stopping' for answer in refused)
        assert [answer.closes for answer in answers][-1:] == [True]
        assert not any(answer.closes for answer in answers[:-1])

    _run(tmp_path, _scene)


def test_a_thousand_requests_in_one_write(tmp_path: Path) -> None:
    """Each is answered once, in order, and few run at once."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        for upstream in platform.upstreams:
            platform.register(upstream, slots=200)
        await asyncio.sleep(1)
        names = [f'p-{at}' for at in range(1000)]
        sent = [make_request(name, deadline_ms=60_000) for name in names]
        caller.send(*sent)
        answers = await caller.read_all(1000)
        assert _statuses(answers) == [200] * 1000
        assert _requests(answers) == names
        assert len(_started(platform)) == 1000

    _run(tmp_path, _scene, run_s=0.01)


def test_a_reader_that_stalls_costs_bounded_memory(tmp_path: Path) -> None:
    """No further request is begun while the answers are not read."""
    most = 4 * MAX_UNANSWERED

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        for upstream in platform.upstreams:
            platform.register(upstream, slots=200)
            upstream.body = b'x' * 200_000
        await asyncio.sleep(1)
        caller.stall()
        sent = [
            make_request(f'p-{at}', deadline_ms=60_000) for at in range(300)
        ]
        caller.send(*sent)
        await asyncio.sleep(5)
        assert len(_started(platform)) <= most
        caller.go_on()
        answers = await caller.read_all(300)
        assert _statuses(answers).count(200) > 0
        assert len(answers) == 300

    _run(tmp_path, _scene, run_s=0.01)


def _ended(caplog: pytest.LogCaptureFixture) -> dict[str, dict[str, Any]]:
    return {
        vars(record)['request']: vars(record)
        for record in caplog.records
        if record.getMessage() == 'request ended'
    }


def test_a_line_tells_what_a_request_stood_behind(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A refused order names the request before it, a 404 what was not found."""

    async def _scene(
        platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        caller.send(
            make_request('p-0'),
            make_request(
                'p-1', path='/order/1', method='POST', deadline_ms=200
            ),
            make_request('p-2', path=UNKNOWN),
        )
        assert _statuses(await caller.read_all(3)) == [200, 503, 404]

    _run(tmp_path, _scene)
    lines = _ended(caplog)
    assert (lines['p-1']['behind'], lines['p-1']['behind_ms']) == ('p-0', 200)
    named = [
        lines['p-1'][field] for field in ('caller', 'host', 'method', 'path')
    ]
    assert named == ['127.0.0.1', 'shop.example', 'POST', '/order/1']
    assert lines['p-2']['behind'] == 'p-1'
    assert (lines['p-2']['host'], lines['p-2']['path']) == (
        'shop.example',
        UNKNOWN,
    )
    assert lines['p-2']['version'] == 0x11
