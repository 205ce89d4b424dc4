"""The checks of the soak test report wishes that were not heeded."""

from typing import Any

import pytest

from bench.soak.echo_upstream import EchoUpstream, Wish
from bench.soak.fault_records import InjectedFault
from bench.soak.load_generator import CallResult
from bench.soak.observations import Observations
from bench.soak.wishes import find_wish_violations
from standins.scripted_upstream import Arrival

TOLD = 10.0


def _make_call(
    request: str, sent: float, instance: str, *, is_sealed: bool = True
) -> CallResult:
    return CallResult(
        request,
        instance,
        is_order=False,
        sent=sent,
        ended=sent + 0.2,
        status=200,
        response_id=request,
        is_sealed=is_sealed,
        path='/read/a',
        reason='',
        error='',
        idle_since=0,
    )


def _observe(
    kind: str,
    times: tuple[float, ...],
    instance: str = 'edge-0',
    injected: tuple[InjectedFault, ...] = (),
    *,
    asked: float = 0.1,
    is_passed_on: bool = True,
) -> list[str]:
    """Returns the violations of requests that come so long after a wish."""
    upstream = EchoUpstream('i-1')
    getattr(upstream, kind).append(Wish('told', TOLD))
    calls = [_make_call('told', TOLD - asked, 'edge-0', is_sealed=is_passed_on)]
    for number, time in enumerate(times):
        calls.append(_make_call(f'r-{number}', TOLD + time, instance))
        headers: dict[str, Any] = {
            'Lycheedyke-Request-Id': f'r-{number}',
            'Lycheedyke-Expect-Instance': 'i-1',
        }
        upstream.arrivals.append(
            Arrival('GET', '/read/a', headers, b'', TOLD + time + 0.01)
        )
    observations = Observations(
        calls, [upstream], injected, [], {}, '/read/crash', [], [], []
    )
    return list(find_wish_violations(observations))


@pytest.mark.parametrize(
    ('kind', 'times', 'is_violated'),
    [
        ('farewells', (3.1,), True),
        ('farewells', (0.1, 2.9), False),
        ('pauses', (0.6, 0.7, 3.9), True),
        ('pauses', (0.1, 0.2, 0.3, 0.6, 0.7), False),
        ('pauses', (0.6, 0.7, 4.1), False),
    ],
)
def test_a_wish_that_is_not_heeded_is_reported(
    kind: str, times: tuple[float, ...], is_violated: bool
) -> None:
    """From the drain time on, or within the pause, at one instance."""
    assert bool(_observe(kind, times)) is is_violated
    assert not _observe(kind, times, instance='edge-1')


def test_a_restart_excuses_a_wish() -> None:
    """The instance has forgotten it."""
    fault = InjectedFault('kill', 'edge-0', TOLD + 1, TOLD + 2)
    assert not _observe('farewells', (3.1,), injected=(fault,))


def test_a_wish_that_the_instance_has_not_read_is_no_violation() -> None:
    """It had answered its caller before, or with a time-out of its own."""
    pause = (0.6, 0.7, 3.9)
    assert _observe('pauses', pause, is_passed_on=False)
    assert not _observe('pauses', pause, asked=0.5)
    assert not _observe('farewells', (3.1,), is_passed_on=False)
    assert not _observe('farewells', (3.1,), asked=0.5)
