"""Crashes of upstreams are noticed whatever becomes of the requests."""

import asyncio
import logging
from datetime import timedelta

import pytest

from lycheedyke.protocol import Answered, NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Suspects
from lycheedyke_daemon import crashes
from lycheedyke_daemon.work import Work
from standins.clock import ManualClock
from standins.guarded_instances import make_lone_guard, run_guarded


class _Crashing:
    """A guard over upstreams that are dead, and a report to wait for."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspects = Suspects(ManualClock())
        self.checked = asyncio.Event()
        self.reports = 0
        self._guard = make_lone_guard(self.suspects, self._report)
        monkeypatch.setattr(crashes, '_is_dead', self._is_dead)

    async def run(self, outcome: Outcome, upstream: str = 'kassa-1') -> Outcome:
        work = Work(
            'kassa',
            'GET',
            '/cups/7?page=2',
            (),
            b'',
            timedelta(),
            '192.0.2.1',
            request_id='r-1',
        )

        async def send() -> Outcome:
            return outcome

        return await run_guarded(self._guard, upstream, work, send)

    async def _report(self) -> None:
        self.reports += 1

    async def _is_dead(self, address: str) -> bool:
        await self.checked.wait()
        return True


# Guards against a crash that is forgotten because its caller leaves.
def test_a_crash_counts_though_its_caller_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The check of an upstream goes on without the request."""

    async def scenario() -> None:
        testbed = _Crashing(monkeypatch)
        request = asyncio.create_task(
            testbed.run(Unknown(Reason.upstream_broke))
        )
        await asyncio.sleep(0.01)
        request.cancel()
        await asyncio.wait([request])
        testbed.checked.set()
        await asyncio.sleep(0.01)
        assert testbed.reports == 1
        assert len(testbed.suspects.list()) == 1

    asyncio.run(scenario())


# Guards against a probe and a report for each of the requests that one crash
# has cut.
def test_one_crash_is_checked_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its requests wait for one check, and all are suspects."""

    async def scenario() -> None:
        testbed = _Crashing(monkeypatch)
        requests = [
            asyncio.create_task(testbed.run(Unknown(Reason.upstream_broke)))
            for _ in range(5)
        ]
        await asyncio.sleep(0.01)
        testbed.checked.set()
        await asyncio.wait(requests)
        assert testbed.reports == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'outcome',
    [
        Unknown(Reason.upstream_timeout),
        NotRun(Reason.no_room),
        Answered(500, (), b'', 'kassa-2'),
    ],
)
# Guards against a suspect that is cleared without having run to its end.
def test_only_an_answer_clears_a_suspect(
    monkeypatch: pytest.MonkeyPatch, outcome: Outcome
) -> None:
    """A suspect that timed out or did not run stays a suspect."""

    async def scenario() -> None:
        testbed = _Crashing(monkeypatch)
        testbed.checked.set()
        await testbed.run(Unknown(Reason.upstream_broke))
        await testbed.run(outcome, 'kassa-2')
        assert len(testbed.suspects.list()) == 1

    asyncio.run(scenario())


# Guards against logs that can't tell whether one request, sent by many callers,
# or many requests crashed upstreams.
def test_the_line_of_a_crash_names_its_requests(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """It names what the digest of a request is made of."""

    async def scenario() -> None:
        testbed = _Crashing(monkeypatch)
        testbed.checked.set()
        await testbed.run(Unknown(Reason.upstream_broke))

    with caplog.at_level(logging.WARNING):
        asyncio.run(scenario())
    (line,) = (
        record
        for record in caplog.records
        if record.getMessage() == 'upstream crashed'
    )
    (named,) = vars(line)['requests']
    assert (
        named.items()
        >= {
            'request': 'r-1',
            'caller': '192.0.2.1',
            'host': 'kassa',
            'method': 'GET',
            'path': '/cups/7',
            'body_bytes': 0,
        }.items()
    )
