"""The checks of the soak test report each violated guarantee."""

from collections.abc import Sequence
from typing import Any

import pytest

from bench.soak.checks import Observations, find_violations
from bench.soak.faults import InjectedFault, PlannedStop
from bench.soak.load_generator import CallResult
from bench.soak.testbed import EchoUpstream
from standins.scripted_upstream import Arrival


def _make_result(request: str = 'a', **changes: Any) -> CallResult:
    fields = {
        'instance': 'edge-0',
        'is_order': True,
        'sent': 10.0,
        'ended': 10.2,
        'status': 200,
        'response_id': request,
        'is_sealed': True,
        'error': '',
        **changes,
    }
    return CallResult(request, **fields)


def _make_upstream(
    ran: Sequence[str] = ('a',),
    arrivals: Sequence[tuple[str, float]] = (),
    **changes: Any,
) -> EchoUpstream:
    upstream = EchoUpstream('i-1')
    upstream.started = list(ran)
    upstream.arrivals = [
        Arrival('GET', '/', {'Lycheedyke-Request-Id': request}, b'', at)
        for request, at in arrivals
    ]
    for name, value in changes.items():
        setattr(upstream, name, value)
    return upstream


def _find_violations(
    results: Sequence[CallResult] = (),
    upstreams: Sequence[EchoUpstream] = (),
    injected: Sequence[InjectedFault] = (),
    stops: Sequence[PlannedStop] = (),
) -> list[str]:
    refused: dict[str, list[float]] = {'edge-0': []}
    return list(
        find_violations(
            Observations(results, upstreams, injected, stops, refused)
        )
    )


LOST_RESPONSE = _make_result(status=0, error='ServerDisconnectedError')
FIRST_ARRIVALS = [(f'r{at}', 10.0) for at in range(60)]
RETRIES = [(request, 11.0) for request, _ in FIRST_ARRIVALS]


@pytest.mark.parametrize(
    ('seen', 'words'),
    [
        (
            ([_make_result()], [_make_upstream(), _make_upstream()]),
            'order a ran 2 times',
        ),
        (
            ([_make_result(is_order=False)], [_make_upstream(['a', 'a', 'a'])]),
            'in 2 attempts',
        ),
        (
            (
                [_make_result(status=503, is_sealed=False, response_id='')],
                [_make_upstream()],
            ),
            'refused with 503 and ran',
        ),
        (
            ([_make_result(response_id='b')], [_make_upstream()]),
            "received the response for 'b'",
        ),
        (
            ([_make_result(is_sealed=False)], [_make_upstream()]),
            'sealed: False',
        ),
        (([_make_result()], []), 'never ran'),
        (([LOST_RESPONSE], []), 'ServerDisconnectedError'),
        (
            ([], [_make_upstream([], [('a', 14.1)], left_at=11.0)]),
            'received a request 3.1 s after it left',
        ),
        (
            ([], [_make_upstream([], FIRST_ARRIVALS, cold_from=9.0)]),
            'cold i-1 received 60',
        ),
        (
            ([], [_make_upstream([], [*FIRST_ARRIVALS, *RETRIES])]),
            '60 retries of 0 requests',
        ),
        (
            ([], [], [], [PlannedStop('edge-0', 1, 2, 70)]),
            'exited with status 70',
        ),
    ],
)
def test_each_broken_promise_has_its_line(seen: Any, words: str) -> None:
    """Each violation that callers or upstreams observe is reported."""
    assert any(words in line for line in _find_violations(*seen))


@pytest.mark.parametrize('kind', ['kill', 'freeze', 'link cut'])
def test_faults_excuse_what_they_touch_only(kind: str) -> None:
    """A fault of another instance or another time excuses no lost response."""
    near = InjectedFault(kind, 'edge-0', 9, 9.5)
    far = InjectedFault(kind, 'edge-0', 1, 2)
    other = InjectedFault(kind, 'edge-1', 9, 11)
    assert not _find_violations([LOST_RESPONSE], [], [near])
    assert _find_violations([LOST_RESPONSE], [], [far, other])


def test_a_sound_run_has_no_line() -> None:
    """Answers, refusals without a run and upstream errors are no violations."""
    results = [
        _make_result(),
        _make_result('b', status=503, response_id='', is_sealed=False),
        _make_result('c', status=500, response_id=''),
    ]
    assert not _find_violations(
        results, [_make_upstream(['a', 'c'], [('a', 10.1)])]
    )
