"""Checks that each request that was passed on to an upstream is answered."""

from collections.abc import Iterator

from bench.soak.fault_records import InjectedFault
from bench.soak.load_generator import CallResult
from bench.soak.observations import Observations, format_time

# Bytes that a link held pass within this time after its fault has ended.
LINK_DRAIN_SECONDS = 0.2
# Faults that hold bytes back until the caller gives up.
HOLDING_FAULTS = frozenset(('link cut', 'link there', 'link back'))


def find_lost_answers(observations: Observations) -> Iterator[str]:
    """Yields requests that upstreams accepted and callers got no answer to.

    A kill of the instance and a broken link between the caller and the
    instance excuse it; a frozen instance does if the caller gave up. Planned
    stops, faults elsewhere and delays excuse nothing.
    """
    passed_on = {
        arrival.headers['Lycheedyke-Request-Id']
        for upstream in observations.upstreams
        for arrival in upstream.arrivals
        if upstream.accepts(arrival)
    }
    for result in observations.results:
        if result.status or result.request not in passed_on:
            continue
        if any(_was_cut(result, each) for each in observations.injected):
            continue
        took = result.ended - result.sent
        yield (
            f'{result.request} was passed on by {result.instance} and got no '
            f'answer: {result.error} after {took:.2f} s, '
            f'sent at {format_time(result.sent)}'
        )


def _was_cut(result: CallResult, fault: InjectedFault) -> bool:
    """Returns whether a fault cut the connection of a call."""
    is_own_link = fault.name == f'callers {result.instance}'
    is_during = fault.started <= result.ended and result.sent <= fault.ended
    if fault.kind == 'link reset':
        return is_own_link and is_during
    if fault.kind in HOLDING_FAULTS:
        end = fault.ended + LINK_DRAIN_SECONDS
        return (
            is_own_link and fault.started <= result.ended and result.sent <= end
        )
    if fault.name != result.instance:
        return False
    if fault.kind == 'kill':
        return result.sent <= fault.started <= result.ended
    return fault.kind == 'freeze' and is_during and 'Timeout' in result.error
