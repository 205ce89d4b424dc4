"""Requests that arrive after a planned stop has waited for all others.

An instance is not obliged to answer a request that it has not read as it closes
the connection. A refusal is better for the caller: it tells that the request
did not run.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.pipelining_caller import (
    OrderedAnswer,
    PipeliningCaller,
    make_request,
)

LIMIT_SECONDS = 40
# The platform's `lossSlack`.
LOSS_SLACK_SECONDS = 0.2
ON_ITS_WAY_SECONDS = 0.05
REFUSED = (503, b'stopping')


class LateCall(NamedTuple):
    """A call that was sent late in a stop.

    Attributes:
        answer: its answer; None if the connection was closed.
        took_s: until the answer or the close, in seconds.
    """

    answer: OrderedAnswer | None
    took_s: float


Call = Callable[[PipeliningCaller], Awaitable[LateCall]]


async def _call_after(
    caller: PipeliningCaller, delay_s: float, request: str = 'p-1'
) -> LateCall:
    await asyncio.sleep(delay_s)
    loop = asyncio.get_running_loop()
    sent = loop.time()
    caller.send(make_request(request))
    answer = await caller.read()
    return LateCall(answer, loop.time() - sent)


async def _stop_and_call(platform: GatewayTestbed, call: Call) -> LateCall:
    """Stops the instance; calls it once it has waited for all requests.

    Args:
        platform: the testbed; its only instance is stopped.
        call: gets a kept connection, on which one request was answered.
    """
    instance: Any = platform.instances.pop()
    finish_requests = instance._finish_requests
    calls: list[asyncio.Future[LateCall]] = []
    address = platform.settings[0].caller_address
    async with PipeliningCaller(address) as kept:
        kept.send(make_request('p-0'))
        assert await kept.read()

        async def _finish_and_call() -> None:
            await finish_requests()
            calls.append(asyncio.ensure_future(call(kept)))

        instance._finish_requests = _finish_and_call
        await instance.stop()
        late = await calls[0]
    assert platform.started() == ['p-0']
    return late


def _is_refusal(answer: OrderedAnswer | None) -> bool:
    assert answer is not None
    return (answer.status, answer.body) == REFUSED and answer.closes


# Guards against a stop that closes connections as soon as it has waited for
# all requests: those on their way were lost with the connection.
@pytest.mark.parametrize('delay_s', [0, 0.001, ON_ITS_WAY_SECONDS, 0.15])
@pytest.mark.parametrize('is_new', [False, True])
def test_a_request_on_its_way_at_the_end_of_a_stop_is_refused(
    tmp_path: Path, delay_s: float, *, is_new: bool
) -> None:
    """On a kept connection and on one that was opened for it."""

    async def _scene(platform: GatewayTestbed) -> None:
        address = platform.settings[0].caller_address

        async def _call(kept: PipeliningCaller) -> LateCall:
            if not is_new:
                return await _call_after(kept, delay_s)
            async with PipeliningCaller(address) as caller:
                return await _call_after(caller, delay_s)

        late = await _stop_and_call(platform, _call)
        assert _is_refusal(late.answer)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against connections that are accepted and then dropped.
def test_no_connection_is_accepted_while_late_requests_are_refused(
    tmp_path: Path,
) -> None:
    """New callers turn to another instance at once."""

    async def _scene(platform: GatewayTestbed) -> None:
        address = platform.settings[0].caller_address

        async def _call(kept: PipeliningCaller) -> LateCall:
            await asyncio.sleep(ON_ITS_WAY_SECONDS)
            with pytest.raises(ConnectionRefusedError):
                await PipeliningCaller(address).__aenter__()
            return await _call_after(kept, 0)

        late = await _stop_and_call(platform, _call)
        assert _is_refusal(late.answer)

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against a close that comes later than the platform allows, and against
# requests that are passed on as it comes.
@pytest.mark.parametrize('delay_s', [0.199, 0.2, 0.201, 0.3])
def test_a_request_that_crosses_the_close_is_not_passed_on(
    tmp_path: Path, delay_s: float
) -> None:
    """It is refused, or its caller learns of the close at once."""

    async def _scene(platform: GatewayTestbed) -> None:
        late = await _stop_and_call(
            platform, lambda kept: _call_after(kept, delay_s)
        )
        assert late.answer is None or _is_refusal(late.answer)
        assert late.took_s < LOSS_SLACK_SECONDS

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


# Guards against requests that are read as the connections are closed, and end
# without an answer.
@pytest.mark.parametrize('count', [1, 3])
def test_a_request_that_is_read_as_connections_close_is_refused(
    tmp_path: Path, count: int
) -> None:
    """So are those behind it; the last refusal closes the connection."""

    async def _scene(platform: GatewayTestbed) -> None:
        instance: Any = platform.instances.pop()
        close = instance._servers.close
        requests = [make_request(f'p-{at}') for at in range(count)]
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:

            async def _send_and_close() -> None:
                caller.send(*requests)
                await close()

            instance._servers.close = _send_and_close
            await instance.stop()
            answers = await caller.read_all(count)
        assert len(answers) == count
        assert {(each.status, each.body) for each in answers} == {REFUSED}
        assert [each.closes for each in answers].index(True) == count - 1
        assert not platform.started()

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)
