"""The checks of the soak test report each violated guarantee."""

import os
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

import pytest

from bench.soak.checks import find_violations
from bench.soak.echo_upstream import EchoUpstream
from bench.soak.fault_records import InjectedFault, PlannedStop
from bench.soak.load_generator import NEVER, CallResult
from bench.soak.memory import MAX_PROCESS_BYTES, MemoryUse, read_memory
from bench.soak.observations import Observations
from bench.soak.stalls import Stall
from bench.soak.testbed import ConfigWrite
from standins.scripted_upstream import Arrival

CRASHING_PATH = '/read/crash'


def _make_result(request: str = 'a', **changes: Any) -> CallResult:
    fields = {
        'instance': 'edge-0',
        'is_order': True,
        'sent': 10.0,
        'ended': 10.2,
        'status': 200,
        'response_id': request,
        'is_sealed': True,
        'path': '/read/a',
        'reason': '',
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


def _make_crashed(
    crashed_at: float | None, *arrived_at: float, expected: str = 'i-1'
) -> EchoUpstream:
    """Returns an upstream that received the crashing request."""
    upstream = _make_upstream([], crashed_at=crashed_at)
    headers = {
        'Lycheedyke-Request-Id': 'crash-1',
        'Lycheedyke-Expect-Instance': expected,
    }
    upstream.arrivals = [
        Arrival('GET', f'{CRASHING_PATH}?at=1', headers, b'', at)
        for at in arrived_at
    ]
    return upstream


def _find_violations(
    results: Sequence[CallResult] = (),
    upstreams: Sequence[EchoUpstream] = (),
    injected: Sequence[InjectedFault] = (),
    stops: Sequence[PlannedStop] = (),
    memory: Sequence[MemoryUse] = (),
    config_writes: Sequence[ConfigWrite] = (),
    stalls: Sequence[Stall] = (),
) -> list[str]:
    refused: dict[str, list[float]] = {'edge-0': []}
    return list(
        find_violations(
            Observations(
                results,
                upstreams,
                injected,
                stops,
                refused,
                CRASHING_PATH,
                memory,
                config_writes,
                stalls,
            )
        )
    )


# The third crash is at 12 s, so three requests may arrive after 16 s.
THREE_CRASHES = [_make_crashed(at, at - 0.1) for at in (10.0, 11.0, 12.0)]
FOUR_LATE = [_make_crashed(None, 16.1, 17.0, 18.0, 19.0)]
CRASHING_RESULT = _make_result(
    'crash-1', is_order=False, status=502, is_sealed=False, path=CRASHING_PATH
)
PASSED_ON = _make_upstream([])
PASSED_ON.arrivals = [
    Arrival(
        'POST',
        '/order/a',
        {
            'Lycheedyke-Request-Id': 'a',
            'Lycheedyke-Expect-Instance': 'i-1',
        },
        b'',
        10.1,
    )
]
LOST_RESPONSE = _make_result(status=0, error='ServerDisconnectedError')
# The connection may be closed from 0.6 s after its last use.
IDLE_LIMITS = [
    ConfigWrite(1.0, 2, timedelta(seconds=1.2)),
    ConfigWrite(8.0, 5, timedelta(seconds=0.6)),
    ConfigWrite(9.0, 6, timedelta(seconds=0.9)),
]
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
            ([_make_result(status=503, response_id='')], [_make_upstream()]),
            'refused with 503 and ran',
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
        (
            ([CRASHING_RESULT], [*THREE_CRASHES, *FOUR_LATE]),
            'the crashing request reached upstreams 4 times',
        ),
        (
            ([_make_result(status=503, reason='quarantined')], []),
            'a to /read/a was quarantined',
        ),
        (([LOST_RESPONSE], [PASSED_ON]), 'was passed on by edge-0'),
        (
            ([], [], [], [], [MemoryUse('edge-0', 7, 1, 122_000_000)]),
            'edge-0 (pid 7) 0.0 MB at the end, 122.0 MB at its peak',
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


@pytest.mark.parametrize(
    ('kind', 'name'),
    [
        ('kill', 'edge-0'),
        ('signals', 'edge-0'),
        ('link cut', 'store edge-0'),
        ('link reset', 'callers edge-0'),
        ('store lose', 'store'),
        ('link delay', 'i-1'),
    ],
)
def test_faults_excuse_late_retries_for_the_stable_time(
    kind: str, name: str
) -> None:
    """Instances in touch only are bound, unless the upstream's link holds."""
    seen = ([CRASHING_RESULT], [*THREE_CRASHES, *FOUR_LATE])
    # The first of the four requests arrives at 16.1 s.
    assert not _find_violations(*seen, [InjectedFault(kind, name, 12.0, 12.2)])
    assert _find_violations(*seen, [InjectedFault(kind, name, 12.0, 12.0)])


@pytest.mark.parametrize(
    ('kind', 'name'),
    [
        ('kill', 'edge-1'),
        ('link cut', 'store edge-1'),
        ('link delay', 'callers edge-0'),
        ('link delay', 'i-2'),
        ('store forget', 'store'),
        ('replace', 'i-1'),
    ],
)
def test_other_faults_excuse_no_late_retries(kind: str, name: str) -> None:
    """Others' faults, delays and a shorter history leave instances in touch."""
    seen = ([CRASHING_RESULT], [*THREE_CRASHES, *FOUR_LATE])
    assert _find_violations(*seen, [InjectedFault(kind, name, 9, 20)])


def test_late_retries_are_counted_from_the_third_crash() -> None:
    """Three may come late; upstreams that refuse a request do not count."""
    three = _make_crashed(None, 15.9, 16.1, 17.0, 18.0)
    elsewhere = _make_crashed(None, 17.0, 18.0, expected='i-2')
    assert not _find_violations(
        [CRASHING_RESULT], [*THREE_CRASHES, three, elsewhere]
    )
    assert not _find_violations(
        [CRASHING_RESULT], [*THREE_CRASHES[1:], *FOUR_LATE]
    )


def test_a_crashing_request_is_refused_as_quarantined() -> None:
    """Its own refusal is no violation."""
    refused = CRASHING_RESULT._replace(status=503, reason='quarantined')
    assert not _find_violations([refused])


@pytest.mark.parametrize(
    ('kind', 'name', 'error'),
    [
        ('kill', 'edge-0', 'ServerDisconnectedError'),
        ('freeze', 'edge-0', 'TimeoutError'),
        ('link cut', 'callers edge-0', 'ServerDisconnectedError'),
        ('link reset', 'callers edge-0', 'ClientOSError'),
        ('link back', 'callers edge-0', 'TimeoutError'),
    ],
)
def test_a_cut_connection_excuses_a_lost_answer(
    kind: str, name: str, error: str
) -> None:
    """The fault must have been there while the call was under way."""
    lost = LOST_RESPONSE._replace(error=error)
    during = InjectedFault(kind, name, 10.1, 11)
    before = InjectedFault(kind, name, 9, 9.7)
    assert not _find_violations([lost], [PASSED_ON], [during])
    assert any(
        'was passed on' in line
        for line in _find_violations([lost], [PASSED_ON], [before])
    )


@pytest.mark.parametrize(
    ('kind', 'name'),
    [
        ('stop', 'edge-0'),
        ('signals', 'edge-0'),
        ('freeze', 'edge-0'),
        ('kill', 'edge-1'),
        ('link cut', 'store edge-0'),
        ('link cut', 'i-1'),
        ('link delay', 'callers edge-0'),
        ('store down', 'store'),
        ('replace', 'i-1'),
    ],
)
def test_other_faults_excuse_no_lost_answer(kind: str, name: str) -> None:
    """Neither a planned stop nor a fault behind the instance does."""
    fault = InjectedFault(kind, name, 9, 11)
    stop = PlannedStop('edge-0', 9, 10.1, 0)
    lines = _find_violations([LOST_RESPONSE], [PASSED_ON], [fault], [stop])
    assert any('was passed on' in line for line in lines)


@pytest.mark.parametrize(
    'error',
    [
        'ConnectionClosed',
        'ServerDisconnectedError',
        'ClientOSError',
        'ClientConnectionResetError',
    ],
)
def test_a_request_may_cross_an_idle_close(error: str) -> None:
    """Only if nothing passed it on, whatever the idle limits were."""
    crossed = LOST_RESPONSE._replace(error=error, idle_since=9.5)
    assert not _find_violations([crossed], config_writes=IDLE_LIMITS)
    lines = _find_violations([crossed], [PASSED_ON], config_writes=IDLE_LIMITS)
    assert any('was passed on' in line for line in lines)


@pytest.mark.parametrize(
    'changes',
    [
        {'idle_since': 9.7},
        {'idle_since': NEVER},
        {'error': 'TimeoutError'},
        {'idle_since': 9.9, 'ended': 11.0},
        {'error': 'ClientPayloadError'},
    ],
)
def test_connections_that_are_not_idle_excuse_nothing(
    changes: dict[str, Any],
) -> None:
    """Nor do limits that were written after the call."""
    crossed = LOST_RESPONSE._replace(idle_since=9.5)
    assert _find_violations(
        [crossed._replace(**changes)], config_writes=IDLE_LIMITS
    )
    later = [each._replace(at=10.3) for each in IDLE_LIMITS[1:]]
    assert _find_violations([crossed], config_writes=[IDLE_LIMITS[0], *later])


@pytest.mark.parametrize(
    ('ended', 'seconds', 'is_excused'),
    [(10.3, 0.15, True), (10.3, 0.05, False), (9.9, 0.5, False)],
)
def test_stalls_of_the_soak_itself_extend_a_crossing(
    ended: float, seconds: float, *, is_excused: bool
) -> None:
    """Only by what they share with the call, which arrives within 0.4 s."""
    crossed = LOST_RESPONSE._replace(idle_since=9.9, ended=11.0)
    lines = _find_violations(
        [crossed], config_writes=IDLE_LIMITS, stalls=[Stall(ended, seconds)]
    )
    assert is_excused != bool(lines)


@pytest.mark.parametrize('kind', ['pause', 'freeze', 'stop', 'link delay'])
def test_no_fault_excuses_an_idle_close_in_use(kind: str) -> None:
    """A paused instance passes on and answers, or closes before."""
    crossed = LOST_RESPONSE._replace(idle_since=9.0)
    fault = InjectedFault(kind, 'edge-0', 10.0, 10.1)
    lines = _find_violations(
        [crossed], [PASSED_ON], [fault], config_writes=IDLE_LIMITS
    )
    assert any('was passed on' in line for line in lines)


def test_short_pauses_excuse_no_lost_response() -> None:
    """An instance answers after a pause for a moment."""
    pause = InjectedFault('pause', 'edge-0', 10.0, 10.1)
    lines = _find_violations([LOST_RESPONSE], injected=[pause])
    assert any('ServerDisconnectedError' in line for line in lines)


def test_a_process_may_need_four_fifths_of_the_smallest_machine() -> None:
    """Of 152 MB; its peak is read while it runs."""
    assert MAX_PROCESS_BYTES == 121_600_000
    most = MemoryUse('edge-0', 7, MAX_PROCESS_BYTES, MAX_PROCESS_BYTES)
    assert not _find_violations(memory=[most])
    own = read_memory('edge-0', os.getpid())
    assert own is not None
    assert 0 < own.end_bytes <= own.peak_bytes


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
