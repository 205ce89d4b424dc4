"""Callers that come back before they were told to."""

from datetime import timedelta

from lycheedyke.state import CallerRequest, Returns
from standins.clock import ManualClock

TILL = CallerRequest('10.0.0.7', '/token/1')
SECOND = timedelta(seconds=1)
ZERO = timedelta()


def test_a_repeat_before_its_time_is_early() -> None:
    """It counts for the same request of the same caller only."""
    clock = ManualClock()
    returns = Returns(clock)
    assert returns.left(TILL) == ZERO
    returns.note(TILL, SECOND)
    clock.pass_time(0.4)
    assert timedelta(seconds=0.5) < returns.left(TILL) <= SECOND * 0.6
    assert returns.left(CallerRequest('10.0.0.8', '/token/1')) == ZERO
    assert returns.left(CallerRequest('10.0.0.7', '/token/2')) == ZERO
    clock.pass_time(0.6)
    assert returns.left(TILL) == ZERO


def test_repeats_at_once_do_not_put_the_time_off() -> None:
    """A caller that asks all the time is let in as others are, in time."""
    clock = ManualClock()
    returns = Returns(clock)
    for _ in range(10):
        returns.note(TILL, SECOND)
        clock.pass_time(0.1)
    assert returns.left(TILL) == ZERO


def test_what_is_remembered_is_bounded() -> None:
    """The oldest refusals are forgotten first."""
    returns = Returns(ManualClock(), most_known=3)
    for at in range(5):
        returns.note(CallerRequest(str(at), '/'), SECOND)
    known = [bool(returns.left(CallerRequest(str(at), '/'))) for at in range(5)]
    assert known == [False, False, True, True, True]
