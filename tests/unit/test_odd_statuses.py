"""Responses whose status is none: no caller gets them as an answer."""

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest

from lycheedyke.exceptions import TransportError
from lycheedyke.transport import (
    BodySink,
    ExchangeChecks,
    HttpClient,
    HttpResponse,
)
from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.scripted_server import serving
from standins.streaming import PACK_BYTES, Pack, serve_packs

LIMIT = timedelta(seconds=1)
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine'
# What stands in the place of the status.
NO_STATUSES = (
    *('000', '001', '099', '0', '20', '1000', '0200'),
    *('-12', '+20', '-00', 'abc', '2x0', '', '101'),
)
FRAMINGS = {
    'length': b'Content-Length: 4\r\n\r\nodd!',
    'chunks': b'Transfer-Encoding: chunked\r\n\r\n4\r\nodd!\r\n0\r\n\r\n',
    'close': b'\r\nodd!',
    'no-body': b'Content-Length: 0\r\n\r\n',
}


async def _ask(url: str, times: int, *, is_streamed: bool) -> HttpResponse:
    """Sends a request so many times; returns the last response."""
    accepted: list[int] = []

    def _accept(status: int, *_: object) -> BodySink | None:
        accepted.append(status)
        return None

    checks = ExchangeChecks(accept=_accept if is_streamed else None)
    async with HttpClient(allow_close_delimited=True) as client:
        for _ in range(times):
            answer = await client.send('GET', url, timeout=LIMIT, checks=checks)
            await asyncio.sleep(0.01)
    assert set(accepted) <= {200}
    return answer


# Guards against MIXED: a caller got a response without a status as an answer.
@pytest.mark.parametrize('status', NO_STATUSES)
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('is_behind', [False, True])
@pytest.mark.parametrize('is_streamed', [False, True])
def test_a_response_without_a_status_is_no_answer(
    status: str, framing: str, *, is_behind: bool, is_streamed: bool
) -> None:
    """Alone, and on a kept connection behind a sound one."""
    odd = f'HTTP/1.1 {status} Odd\r\n'.encode() + FRAMINGS[framing]

    async def _scene() -> None:
        answers = (WHOLE, odd) if is_behind else (odd,)
        async with serving(*answers, close=framing == 'close') as server:
            with pytest.raises(TransportError):
                await _ask(server.url, len(answers), is_streamed=is_streamed)
        async with serving(odd, WHOLE, close=False) as server:
            with pytest.raises(TransportError):
                await _ask(server.url, 1, is_streamed=is_streamed)
            answer = await _ask(server.url, 1, is_streamed=is_streamed)
            assert (answer.status, answer.body) == (200, b'mine')

    asyncio.run(_scene())


@pytest.mark.parametrize('status', [600, 799, 999])
def test_a_status_of_three_digits_is_passed_on(status: int) -> None:
    """Callers get it unchanged, and treat it as an error of a server."""
    odd = f'HTTP/1.1 {status} Odd\r\n'.encode() + FRAMINGS['length']

    async def _scene() -> None:
        async with serving(odd, close=False) as server:
            answer = await _ask(server.url, 1, is_streamed=False)
            assert (answer.status, answer.body) == (status, b'odd!')

    asyncio.run(_scene())


# Guards against MIXED, in a running instance.
@pytest.mark.parametrize('status', ['000 Odd', '099 Odd', '0200 OK', 'abc Odd'])
@pytest.mark.parametrize(
    ('method', 'path'),
    [('GET', '/pack/1'), ('GET', '/read/1'), ('POST', '/order/1')],
)
def test_callers_get_502_for_it(
    tmp_path: Path, status: str, method: str, path: str
) -> None:
    """On each type of route; the upstream is used again afterwards."""

    async def _scene(platform: GatewayTestbed) -> None:
        await serve_packs(platform)
        pack = Pack(PACK_BYTES, status=status)
        pack.go_on.set()
        (upstream,) = platform.upstreams
        upstream.respond = pack
        reply = await platform.send(path, method=method)
        assert reply.status == 502
        assert len(reply.body) < PACK_BYTES
        upstream.respond = None
        assert (await platform.send('/read/2')).status == 200

    run_scenario(tmp_path, _scene, upstreams=1)
