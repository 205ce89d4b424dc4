"""Crashes of other requests convict nobody."""

from lycheedyke.state import Suspects, Verdict
from standins.clock import ManualClock
from standins.convictions import LONG_PAUSE_S, PAUSE_S, crash_trial


def _share_two_crashes() -> tuple[ManualClock, Suspects]:
    """Returns what is known after two instances sent a suspect each.

    Both were in flight at the same two crashes, and are known to this
    instance from its own crashes and the report of the other one.
    """
    clock = ManualClock()
    own, peer = Suspects(clock), Suspects(clock)
    for at in range(2):
        own.record_crash(['poison'], f'u-{at}')
        peer.record_crash(['victim'], f'u-{at}')
        clock.advance(0.1)
    own.merge(peer.report())
    return clock, own


def test_a_victim_at_both_crashes_of_another_is_not_quarantined() -> None:
    """Soak seed 4: a sound request was refused for ten minutes.

    Two instances sent one suspect each to the same upstream.
    """
    clock, suspects = _share_two_crashes()
    assert suspects.judge('victim') is Verdict.probation
    assert suspects.judge('poison') is Verdict.probation
    assert suspects.trial_pause('victim').total_seconds() <= PAUSE_S
    clock.advance(10)
    assert suspects.settled() == ()
    suspects.record_success('victim', is_trial=True)
    assert suspects.judge('victim') is Verdict.clear
    for number in range(2):
        crash_trial(suspects, 'poison', f'trial {number}')
    assert suspects.judge('poison') is Verdict.quarantined
    assert suspects.judge('victim') is Verdict.clear


def test_a_third_crash_tells_the_victim_from_the_cause() -> None:
    """The request that crashes upstreams waits longer, the victim does not."""
    clock, suspects = _share_two_crashes()
    clock.advance(PAUSE_S)
    crash_trial(suspects, 'poison', 'u-2')
    assert suspects.trial_pause('poison').total_seconds() == LONG_PAUSE_S
    assert not suspects.trial_pause('victim')
    clock.advance(LONG_PAUSE_S)
    crash_trial(suspects, 'poison', 'u-3')
    assert suspects.judge('poison') is Verdict.quarantined
    assert suspects.judge('victim') is Verdict.probation


def test_copies_that_run_side_by_side_are_no_two_runs() -> None:
    """Soak seed 31: two upstreams crashed for a reason of their own.

    A caller had sent the same path twice, pipelined, and each upstream ran one
    of the two; neither run was a repeat of the other.
    """
    clock = ManualClock()
    suspects = Suspects(clock)
    suspects.record_crash(['copied', 'other'], 'u-0')
    clock.advance(0.014)
    suspects.record_crash(['copied', 'third'], 'u-1')
    clock.advance(0.1)
    suspects.record_crash(['copied'], 'u-2')
    assert suspects.judge('copied') is Verdict.probation
    clock.advance(PAUSE_S)
    assert not suspects.trial_pause('copied')
    suspects.record_success('copied', is_trial=True)
    assert suspects.judge('copied') is Verdict.clear


def test_a_crash_that_another_explains_convicts_nobody() -> None:
    """Soak seed 15: the second crash of a victim was that of a crasher."""
    clock = ManualClock()
    suspects = Suspects(clock)
    suspects.record_crash(['victim'], 'u-0')
    suspects.record_crash(['poison'], 'u-1')
    clock.advance(0.1)
    suspects.record_crash(['victim', 'poison'], 'u-2')
    assert suspects.judge('victim') is Verdict.probation
    clock.advance(PAUSE_S)
    assert not suspects.trial_pause('victim')


def test_a_request_that_is_always_in_flight_is_not_convicted() -> None:
    """Soak seed 118: copies of a path ran at each upstream that crashed.

    Only a trial tells its cause. Instances learn from reports which runs were
    trials.
    """
    clock = ManualClock()
    own, peer = Suspects(clock), Suspects(clock)
    for at in range(2):
        own.record_crash(['popular', f'o-{at}'], f'u-{at}')
        clock.advance(0.2)
    for at in range(6):
        peer.record_crash(['popular'], f'v-{at}')
    own.merge(peer.report())
    assert own.judge('popular') is Verdict.probation
    for at in range(2):
        crash_trial(own, 'popular', f'trial {at}')
        peer.merge(own.report())
        expected = Verdict.quarantined if at else Verdict.probation
        assert own.judge('popular') is expected
        assert peer.judge('popular') is expected
