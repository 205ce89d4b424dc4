"""Requests that a planned stop meets behind others on their connection."""

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest

from standins.pipelining_caller import (
    OrderedAnswer,
    PipeliningCaller,
    make_request,
)
from standins.stop_scenario import GRACE, Parts, run_stop_scenario

# Below the time limits of the routes.
SHORT_GRACE = timedelta(milliseconds=700)
REFUSED = (503, b'stopping')
READ = '/read/316'
ORDER = '/order/316'


def _outcomes(answers: list[OrderedAnswer]) -> list[tuple[int, bytes]]:
    return [(each.status, each.body) for each in answers]


# Guards against requests that a stop reads and drops: their connection ends
# later than `lossSlack` after their last byte, without answers.
@pytest.mark.parametrize(('path', 'method'), [(READ, 'GET'), (ORDER, 'POST')])
def test_a_stop_refuses_what_it_reads_behind_others(
    tmp_path: Path, path: str, method: str
) -> None:
    """Three requests in one write, 50 ms after the begin of the stop."""

    async def _act(parts: Parts) -> None:
        stopping = parts.stop()
        await asyncio.sleep(0.05)
        names = [f'p-{at}' for at in range(3)]
        parts.caller.send(
            *(make_request(name, path=path, method=method) for name in names)
        )
        answers = await parts.caller.read_all(4)
        await stopping
        assert [answer.status for answer in answers] == [200, 503, 503]
        assert _outcomes(answers)[1:] == [REFUSED] * 2
        assert parts.platform.started() == names[:1]

    run_stop_scenario(tmp_path, _act)


# Guards against requests that are read and dropped while answers are owed to
# others that were passed on.
def test_a_stop_refuses_what_arrives_while_answers_are_owed(
    tmp_path: Path,
) -> None:
    """The first answer neither closes the connection nor ends the reading."""

    async def _act(parts: Parts) -> None:
        parts.caller.send(
            make_request('p-0', path='/read/100'),
            make_request('p-1', path='/read/900'),
        )
        await asyncio.sleep(0.05)
        stopping = parts.stop()
        await asyncio.sleep(0.15)
        parts.caller.send(make_request('p-2'))
        answers = await parts.caller.read_all(4)
        await stopping
        assert [answer.status for answer in answers] == [200, 200, 503]
        assert _outcomes(answers)[-1] == REFUSED
        assert sorted(parts.platform.started()) == ['p-0', 'p-1']

    run_stop_scenario(tmp_path, _act)


# Guards against requests that a stop begins late, since they waited behind
# others as it began.
def test_a_stop_refuses_an_order_that_waits_behind_others(
    tmp_path: Path,
) -> None:
    """It runs nowhere, and its caller is told so."""

    async def _act(parts: Parts) -> None:
        parts.caller.send(
            make_request('p-0', path=READ),
            make_request('p-1', path=ORDER, method='POST'),
        )
        await asyncio.sleep(0.05)
        stopping = parts.stop()
        answers = await parts.caller.read_all(3)
        await stopping
        assert [answer.status for answer in answers] == [200, 503]
        assert _outcomes(answers)[-1] == REFUSED
        assert parts.platform.started() == ['p-0']

    run_stop_scenario(tmp_path, _act)


# Guards against a caller that keeps sending and so holds a stop.
def test_a_caller_that_sends_on_does_not_hold_a_stop(tmp_path: Path) -> None:
    """Its connection closes once nothing passed on is owed."""

    async def _act(parts: Parts) -> None:
        parts.caller.send(make_request('p-0', path=READ))
        await asyncio.sleep(0.05)
        stopping = parts.stop()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while (answer := await _read_and_send(parts.caller)) is not None:
            assert answer.status in {200, 503}
        assert loop.time() - begun < GRACE.total_seconds() / 4
        assert parts.platform.started() == ['p-0']
        await stopping

    run_stop_scenario(tmp_path, _act)


async def _read_and_send(caller: PipeliningCaller) -> OrderedAnswer | None:
    """Sends two requests for each answer, so that some are always behind."""
    caller.send(make_request('next-0'), make_request('next-1'))
    return await caller.read()


# Guards against a caller that is told that its order may have run, though no
# upstream got it.
def test_an_interrupted_order_that_was_not_passed_on_did_not_run(
    tmp_path: Path,
) -> None:
    """It still waited behind a run that outlasts the stop."""

    async def _act(parts: Parts) -> None:
        parts.caller.send(
            make_request('p-0', path='/read/9000', deadline_ms=30_000),
            make_request('p-1', path=ORDER, method='POST', deadline_ms=30_000),
        )
        await asyncio.sleep(0.05)
        stopping = parts.stop()
        answers = await parts.caller.read_all(3)
        await stopping
        assert _outcomes(answers) == [(502, b'stopping'), REFUSED]
        assert parts.platform.started() == ['p-0']

    run_stop_scenario(tmp_path, _act, SHORT_GRACE)
