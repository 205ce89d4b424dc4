"""The checks of a soak name each promise that is broken."""

from collections.abc import Sequence
from typing import Any

import pytest

from bench.soak.checks import Seen, find_broken
from bench.soak.crowd import Told
from bench.soak.faults import Caused, PlannedStop
from bench.soak.world import Upstream
from standins.scripted_upstream import Arrival


def _told(request: str = 'a', **changes: Any) -> Told:
    fields = {
        'instance': 'edge-0',
        'is_order': True,
        'sent': 10.0,
        'ended': 10.2,
        'status': 200,
        'ran': request,
        'is_sealed': True,
        'error': '',
        **changes,
    }
    return Told(request, **fields)


def _upstream(
    ran: Sequence[str] = ('a',),
    arrivals: Sequence[tuple[str, float]] = (),
    **changes: Any,
) -> Upstream:
    upstream = Upstream('i-1')
    upstream.started = list(ran)
    upstream.arrivals = [
        Arrival('GET', '/', {'Lycheedyke-Request-Id': request}, b'', at)
        for request, at in arrivals
    ]
    for name, value in changes.items():
        setattr(upstream, name, value)
    return upstream


def _find(
    told: Sequence[Told] = (),
    upstreams: Sequence[Upstream] = (),
    caused: Sequence[Caused] = (),
    stops: Sequence[PlannedStop] = (),
) -> list[str]:
    refused: dict[str, list[float]] = {'edge-0': []}
    return list(find_broken(Seen(told, upstreams, caused, stops, refused)))


LOST = _told(status=0, error='ServerDisconnectedError')
MANY = [(f'r{at}', 10.0) for at in range(60)]
AGAIN = [(request, 11.0) for request, _ in MANY]


@pytest.mark.parametrize(
    ('seen', 'words'),
    [
        (([_told()], [_upstream(), _upstream()]), 'order a ran 2 times'),
        (
            ([_told(is_order=False)], [_upstream(['a', 'a', 'a'])]),
            'in 2 attempts',
        ),
        (
            ([_told(status=503, is_sealed=False, ran='')], [_upstream()]),
            'refused with 503 and ran',
        ),
        (([_told(ran='b')], [_upstream()]), "got the answer 'b'"),
        (([_told(is_sealed=False)], [_upstream()]), 'sealed False'),
        (([_told()], []), 'never ran'),
        (([LOST], []), 'ServerDisconnectedError'),
        (
            ([], [_upstream([], [('a', 14.1)], left_at=11.0)]),
            'got work 3.1 s after it left',
        ),
        (([], [_upstream([], MANY, cold_from=9.0)]), 'cold i-1 got 60'),
        (([], [_upstream([], [*MANY, *AGAIN])]), '60 repeats of 0 requests'),
        (
            ([], [], [], [PlannedStop('edge-0', 1, 2, 70)]),
            'ended with 70',
        ),
    ],
)
def test_each_broken_promise_has_its_line(seen: Any, words: str) -> None:
    """Whatever a caller or an upstream saw that was not promised."""
    assert any(words in line for line in _find(*seen))


@pytest.mark.parametrize('kind', ['kill', 'freeze', 'link cut'])
def test_faults_excuse_what_they_touch_only(kind: str) -> None:
    """A fault of one instance or of another time excuses no loss."""
    near = Caused(kind, 'edge-0', 9, 9.5)
    far = Caused(kind, 'edge-0', 1, 2)
    other = Caused(kind, 'edge-1', 9, 11)
    assert not _find([LOST], [], [near])
    assert _find([LOST], [], [far, other])


def test_a_sound_run_has_no_line() -> None:
    """An answer, a true refusal and an upstream's failure are all promised."""
    told = [
        _told(),
        _told('b', status=503, ran='', is_sealed=False),
        _told('c', status=500, ran=''),
    ]
    assert not _find(told, [_upstream(['a', 'c'], [('a', 10.1)])])
