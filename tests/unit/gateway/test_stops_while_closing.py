"""Requests on a connection that a planned stop closes behind refusals."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path

import pytest

from standins.pipelining_caller import HOST, make_request
from standins.stop_scenario import Parts, run_stop_scenario

# The platform's `lossSlack`.
LOSS_SLACK_SECONDS = 0.2
# Longer than `lossSlack`.
READ = '/read/600'
ORDER = '/order/600'
FIRST = make_request('p-0', path='/read/316')


def _make_late(path: str, method: str) -> tuple[bytes, bytes]:
    """Returns a request that lacks a byte of its body, and this byte."""
    whole = make_request('p-1', path=path, method=method, body=b'ab')
    return whole[:-1], whole[-1:]


def _make_expecting(path: str, method: str) -> tuple[bytes, bytes]:
    """Returns a request that is begun in its turn."""
    whole = make_request('p-1', path=path, method=method)
    return whole.replace(b'\r\n\r\n', b'\r\nExpect: 100-continue\r\n\r\n'), b''


# Guards against a request that is passed on after the answer behind which no
# further request is begun: what was read while it ran was dropped, and its
# connection ended later than `lossSlack` after its last byte.
@pytest.mark.parametrize('make', [_make_late, _make_expecting])
@pytest.mark.parametrize(('path', 'method'), [(READ, 'GET'), (ORDER, 'POST')])
def test_a_stop_passes_nothing_on_while_a_connection_closes(
    tmp_path: Path,
    make: Callable[[str, str], tuple[bytes, bytes]],
    path: str,
    method: str,
) -> None:
    """It is refused, and a further request is answered or the close comes."""
    begin, rest = make(path, method)

    async def _act(parts: Parts) -> None:
        parts.caller.send(FIRST, begin)
        await asyncio.sleep(0.05)
        stopping = parts.stop()
        assert await parts.caller.read()
        parts.caller.send(rest)
        await asyncio.sleep(0.05)
        parts.caller.send(make_request('p-2'))
        async with asyncio.timeout(LOSS_SLACK_SECONDS):
            answers = await parts.caller.read_all(4)
        await stopping
        assert answers[-1].status == HTTPStatus.SERVICE_UNAVAILABLE
        assert parts.platform.started() == ['p-0']

    run_stop_scenario(tmp_path, _act)


# Guards against requests that are dropped behind one that the server itself
# answers, without the handlers that refuse in a stop.
@pytest.mark.parametrize(
    'head',
    [
        'OPTIONS * HTTP/1.1',
        'GET http://xn--a-ecp.ru/ HTTP/1.1',
        'GET /read/1 HTTP/1.1\r\nExpect: other',
    ],
)
def test_a_stop_refuses_what_is_behind_an_answer_of_the_server(
    tmp_path: Path, head: str
) -> None:
    """The first answer decides to close; the second keeps those behind it."""

    async def _act(parts: Parts) -> None:
        stopping = parts.stop()
        await asyncio.sleep(0.05)
        odd = f'{head}\r\nHost: {HOST}\r\n\r\n'.encode()
        parts.caller.send(FIRST, odd, make_request('p-2'))
        answers = await parts.caller.read_all(4)
        await stopping
        statuses = [answer.status for answer in answers]
        assert len(statuses) == 3
        assert statuses[::2] == [HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE]
        assert [answer.closes for answer in answers] == [False, False, True]
        assert parts.platform.started() == ['p-0']

    run_stop_scenario(tmp_path, _act)
