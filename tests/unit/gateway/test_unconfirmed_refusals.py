"""Refusals of upstreams that do not say that the request has not run."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.scripted_upstream import REQUEST_ID, SEAL

STATUSES = ('408 Too Long', '429 Too Many', '503 Busy')


def _refuse(
    status: str, extra: str = ''
) -> Callable[[asyncio.StreamWriter, str], Awaitable[bool]]:
    """Returns what answers a request that has run with a refusal."""

    async def _respond(writer: asyncio.StreamWriter, request: str) -> bool:
        writer.write(
            f'HTTP/1.1 {status}\r\nContent-Length: 2\r\n{SEAL}{extra}'
            f'{REQUEST_ID}: {request}\r\n\r\nno'.encode()
        )
        await writer.drain()
        return True

    return _respond


# Guards against orders that run twice, as their callers are told that they have
# not run.
@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('extra', ['', 'Retry-After: 1\r\n'])
def test_an_order_that_has_run_is_not_refused(
    tmp_path: Path, status: str, extra: str
) -> None:
    """The outcome is unknown, and no other upstream gets the order."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.respond = _refuse(status, extra)
        reply = await platform.send('/order/1', method='POST', body=b'x')
        assert reply.status == 502
        assert 'Lycheedyke-Server-Seal' not in reply.headers
        assert 'Retry-After' not in reply.headers
        assert len(platform.started()) == 1
        counts = platform.instances[0]._counters.counts
        assert counts['unknown.refusal-unconfirmed'] == 1

    run_scenario(tmp_path, _scene)


@pytest.mark.parametrize('status', STATUSES)
def test_a_read_that_is_refused_is_answered_unchanged(
    tmp_path: Path, status: str
) -> None:
    """It may run again."""

    async def _scene(platform: GatewayTestbed) -> None:
        for upstream in platform.upstreams:
            upstream.respond = _refuse(status)
        reply = await platform.send('/read/1')
        assert (reply.status, reply.body) == (int(status[:3]), b'no')
        assert reply.headers['Lycheedyke-Server-Seal'] == 'seal-1'

    run_scenario(tmp_path, _scene)
