"""Any mix of requests, closes and delays on one connection keeps its order."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.gateway_testbed import GatewayTestbed, run_scenario
from standins.pipelining_caller import (
    OrderedAnswer,
    PipeliningCaller,
    make_request,
    run_of_path,
)

UNKNOWN = '/nowhere/1'
GARBAGE = b'\x01\x02 not HTTP\r\n\r\n'

_ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just('read'), st.sampled_from([0, 5, 30, 300, 900])),
        st.tuples(st.just('order'), st.sampled_from([0, 30, 300])),
        st.tuples(st.just('unknown'), st.just(0)),
        st.tuples(st.just('brief'), st.sampled_from([300, 900])),
        st.tuples(st.just('close'), st.sampled_from([0, 300])),
        st.tuples(st.just('garbage'), st.just(0)),
        st.tuples(st.just('stop'), st.just(0)),
        st.tuples(st.just('leave'), st.just(0)),
        st.tuples(st.just('pause'), st.sampled_from([10, 100, 500])),
    ),
    min_size=2,
    max_size=12,
)


@settings(max_examples=60, deadline=None)
@given(actions=_ACTIONS)
def test_each_request_gets_its_answer_or_never_ran(
    tmp_path_factory: pytest.TempPathFactory,
    actions: list[tuple[str, int]],
) -> None:
    """Whatever closes, fails or is late, answers keep their order.

    An order without an answer never ran, unless its caller left: an order
    that was passed on is never cut.
    """

    async def _scene(platform: GatewayTestbed) -> None:
        address = platform.settings[0].caller_address
        async with PipeliningCaller(address) as caller:
            play = _Play(platform, caller)
            for kind, number in actions:
                await play.act(kind, number)
            await play.check()

    folder = tmp_path_factory.mktemp('pipelining')
    run_scenario(folder, _scene, limit_s=120)


class _Play:
    """Sends what a list of actions tells, and checks what came of it."""

    def __init__(
        self, platform: GatewayTestbed, caller: PipeliningCaller
    ) -> None:
        self._platform = platform
        self._caller = caller
        self._sent: list[str] = []
        self._orders: set[str] = set()
        self._left = False
        self._stopping: asyncio.Task[None] | None = None
        for upstream in platform.upstreams:
            upstream.run_of_path = run_of_path

    async def act(self, kind: str, number: int) -> None:
        """Performs one action."""
        name = f'p-{len(self._sent):02}'
        path = f'/read/{number}'
        if kind == 'pause':
            await asyncio.sleep(number / 1000)
        elif kind == 'stop' and self._stopping is None:
            instance = self._platform.instances.pop()
            self._stopping = asyncio.create_task(instance.stop())
        elif kind == 'leave':
            self._left = True
            self._caller.leave()
        elif kind == 'garbage':
            self._caller.send(GARBAGE)
        elif kind != 'stop':
            self._sent.append(name)
            if kind == 'order':
                self._orders.add(name)
            self._caller.send(
                {
                    'read': make_request(name, path=path),
                    'brief': make_request(name, path=path, deadline_ms=100),
                    'unknown': make_request(name, path=UNKNOWN),
                    'close': make_request(name, path=path, closes=True),
                    'order': make_request(
                        name, path=f'/order/{number}', method='POST', body=b'x'
                    ),
                }[kind]
            )

    async def check(self) -> None:
        """Checks the answers against what ran."""
        answers = [] if self._left else await self._read()
        if self._stopping is not None:
            await self._stopping
        await asyncio.sleep(1)
        upstreams = self._platform.upstreams
        ran = [name for each in upstreams for name in each.started]
        assert all(ran.count(name) == 1 for name in self._orders & set(ran))
        if self._left:
            return
        answered = self._sent[: len(answers)]
        for name, answer in zip(answered, answers, strict=False):
            if answer.status == 200:
                assert answer.request == name
                assert name in ran
            if answer.status in {404, 503}:
                assert name not in ran
        unanswered = set(self._sent[len(answers) :])
        assert not unanswered & set(ran)
        assert not any(answer.closes for answer in answers[:-1])

    async def _read(self) -> list[OrderedAnswer]:
        """Returns the answers that come before the connection is quiet."""
        found: list[OrderedAnswer] = []
        while True:
            try:
                async with asyncio.timeout(6):
                    answer = await self._caller.read()
            except TimeoutError:
                return found
            if answer is None:
                return found
            found.append(answer)
