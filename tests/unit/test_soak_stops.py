"""The soak test tells requests that cross the end of a stop from lost ones."""

from collections.abc import Sequence
from typing import Any

import pytest

from bench.soak.checks import find_violations
from bench.soak.echo_upstream import EchoUpstream
from bench.soak.fault_records import PlannedStop
from bench.soak.load_generator import CallResult
from bench.soak.observations import Observations
from bench.soak.stalls import Stall
from standins.scripted_upstream import Arrival

# Asked to stop at 8 s; the call of the tests lasts from 10.4 s to 10.5 s.
STOP = PlannedStop('edge-0', 8.0, 10.9, 0)
CROSSED = CallResult(
    'a',
    'edge-0',
    is_order=True,
    sent=10.4,
    ended=10.5,
    status=0,
    response_id='',
    is_sealed=False,
    path='/order/a',
    reason='',
    error='ServerDisconnectedError',
)
REFUSED = CROSSED._replace(
    request='b', status=503, reason='stopping', error='', sent=10.95, ended=11
)


def _find_violations(
    results: Sequence[CallResult],
    stops: Sequence[PlannedStop] = (STOP,),
    upstreams: Sequence[EchoUpstream] = (),
    stalls: Sequence[Stall] = (),
) -> list[str]:
    return list(
        find_violations(
            Observations(
                results,
                upstreams,
                [],
                stops,
                {'edge-0': [], 'edge-1': []},
                '/read/crash',
                [],
                [],
                stalls,
            )
        )
    )


@pytest.mark.parametrize(
    'error',
    [
        'ConnectionClosed',
        'ServerDisconnectedError',
        'ClientOSError',
        'ClientConnectionResetError',
    ],
)
def test_a_request_may_cross_the_end_of_a_stop(error: str) -> None:
    """However long the process takes to exit."""
    crossed = CROSSED._replace(error=error)
    assert not _find_violations([crossed])
    assert not _find_violations([crossed], [STOP._replace(exited=14.0)])
    assert not _find_violations([CROSSED._replace(ended=10.59)])


def test_no_stop_excuses_a_request_that_was_passed_on() -> None:
    """It was read, so its answer is owed whatever stops."""
    upstream = EchoUpstream('i-1')
    headers = {
        'Lycheedyke-Request-Id': 'a',
        'Lycheedyke-Expect-Instance': 'i-1',
    }
    upstream.arrivals = [Arrival('POST', '/order/a', headers, b'', 10.45)]
    (line,) = _find_violations([CROSSED], upstreams=[upstream])
    assert 'was passed on by edge-0' in line


@pytest.mark.parametrize(
    'changes',
    [
        {'ended': 10.61},
        {'error': 'TimeoutError'},
        {'error': 'ClientPayloadError'},
        {'instance': 'edge-1'},
        # Within the time in which the process serves on.
        {'sent': 9.9, 'ended': 9.99},
        # Sent after the exit, by a caller to which no connect failed.
        {'sent': 10.91, 'ended': 10.92},
        # Before the signal.
        {'sent': 7.8, 'ended': 7.9},
    ],
)
def test_a_stop_excuses_no_other_lost_response(changes: dict[str, Any]) -> None:
    """The excuse holds for this process, this time and a close alone."""
    assert _find_violations([CROSSED._replace(**changes)])


def test_a_stop_excuses_no_close_by_a_process_that_serves_on() -> None:
    """Its connections are not at their end."""
    long = STOP._replace(exited=12.0)
    later = REFUSED._replace(sent=11.01, ended=11.02)
    assert not _find_violations([CROSSED, REFUSED], [long])
    assert _find_violations([CROSSED, later], [long])
    elsewhere = later._replace(instance='edge-1')
    assert not _find_violations([CROSSED, elsewhere], [long])
    # Answered by the next process.
    assert not _find_violations([CROSSED, later], [STOP])


@pytest.mark.parametrize(
    ('ended', 'seconds', 'is_excused'),
    [(10.7, 0.15, True), (10.7, 0.05, False), (10.4, 0.5, False)],
)
def test_stalls_of_the_soak_itself_count_not_as_the_call(
    ended: float, seconds: float, *, is_excused: bool
) -> None:
    """Only by what they share with the call."""
    late = CROSSED._replace(ended=10.7)
    lines = _find_violations([late], stalls=[Stall(ended, seconds)])
    assert is_excused != bool(lines)
