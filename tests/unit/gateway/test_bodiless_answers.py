"""Answers of upstreams that end with their head reach their callers."""

import asyncio
from pathlib import Path

import pytest

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.pipelining_caller import make_request

NO_CONTENT = '204 No Content\r\n'
LIMIT_SECONDS = 5
# More failures than an upstream is excluded for.
REQUESTS = 6


async def _read_heads(
    testbed: GatewayTestbed, count: int, *requests: bytes
) -> tuple[list[list[str]], bytes]:
    """Sends requests on one connection; returns the lines of so many heads.

    Returns:
        The lines of each head, and what was read behind the last one.
    """
    host, _, port = testbed.settings[0].caller_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    heads = []
    for request in requests:
        writer.write(request)
        head = await reader.readuntil(b'\r\n\r\n')
        heads.append(head.decode().strip().split('\r\n'))
    assert len(heads) == count
    surplus = b''
    try:
        async with asyncio.timeout(0.2):
            surplus = await reader.read(1)
    except TimeoutError:
        pass
    writer.close()
    return heads, surplus


def _names(head: list[str]) -> set[str]:
    return {line.partition(':')[0].lower() for line in head[1:]}


# Guards against a sound answer that reaches its caller as 502, and is asked for
# at a second upstream, since it names no length and has no body.
@pytest.mark.parametrize(
    'fields',
    [
        '',
        'Content-Length: 0\r\n',
        'Transfer-Encoding: chunked\r\n',
        'Connection: close\r\n',
    ],
)
@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('POST', '/order/1', NO_CONTENT),
        ('GET', '/read/1', NO_CONTENT),
        ('DELETE', '/order/1', NO_CONTENT),
        ('GET', '/read/1', '304 Not Modified\r\n'),
        ('HEAD', '/read/1', '200 OK\r\n'),
        ('HEAD', '/read/1', '404 Not Found\r\n'),
    ],
)
def test_an_answer_without_body_reaches_its_caller(
    tmp_path: Path, method: str, path: str, status: str, fields: str
) -> None:
    """It runs once, and the upstream does not count as failing."""

    async def _scene(testbed: GatewayTestbed) -> None:
        for upstream in testbed.upstreams:
            upstream.bodiless = status + fields
        for _ in range(REQUESTS):
            reply = await testbed.send(path, method=method)
            assert reply.status == int(status[:3])
            assert reply.body == b''
            assert 'Lycheedyke-Server-Seal' in reply.headers
        assert len(testbed.started()) == REQUESTS
        for state in testbed.instances[0]._upstream_table.all():
            assert not state._failures
            assert not state.is_ejected

    run_scenario(tmp_path, _scene)


# Guards against callers that take the head of a later answer for a body.
@pytest.mark.parametrize(
    'fields',
    ['', 'Content-Length: 0\r\n', 'Content-Length: 5000\r\n'],
)
def test_the_head_of_an_empty_answer_names_no_body(
    tmp_path: Path, fields: str
) -> None:
    """The caller's connection is kept, and no byte follows the heads."""

    async def _scene(testbed: GatewayTestbed) -> None:
        for upstream in testbed.upstreams:
            upstream.bodiless = NO_CONTENT + fields
        requests = [
            make_request(f'q-{at}', path='/order/1', method='POST', body=b'x')
            for at in range(REQUESTS)
        ]
        heads, surplus = await _read_heads(testbed, REQUESTS, *requests)
        for head in heads:
            assert head[0] == 'HTTP/1.1 204 No Content'
            assert not _names(head) & {
                'content-length',
                'transfer-encoding',
                'connection',
            }
        assert surplus == b''

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_an_answer_to_a_head_request_names_the_length_of_the_body(
    tmp_path: Path,
) -> None:
    """The length is the upstream's, and no body follows."""

    async def _scene(testbed: GatewayTestbed) -> None:
        for upstream in testbed.upstreams:
            upstream.bodiless = '200 OK\r\nContent-Length: 5000\r\n'
        requests = [
            make_request(f'q-{at}', method='HEAD') for at in range(REQUESTS)
        ]
        heads, surplus = await _read_heads(testbed, REQUESTS, *requests)
        for head in heads:
            assert head[0] == 'HTTP/1.1 200 OK'
            assert 'Content-Length: 5000' in head
        assert surplus == b''

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)
