"""Crashes convict a request only if no other one explains them."""

from lycheedyke.state import Suspects, Verdict
from standins.clock import ManualClock


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
    assert suspects.judge('victim') is Verdict.suspect
    assert suspects.judge('poison') is Verdict.suspect
    clock.advance(10)
    assert suspects.settled() == ()
    suspects.record_success('victim')
    assert suspects.judge('victim') is Verdict.clear
    assert suspects.judge('poison') is Verdict.quarantined


def test_a_third_crash_tells_the_victim_from_the_cause() -> None:
    """The request that crashes upstreams runs once more, and no more often."""
    clock, suspects = _share_two_crashes()
    clock.advance(0.1)
    suspects.record_crash(['poison'], 'u-2')
    assert suspects.judge('poison') is Verdict.quarantined
    assert suspects.judge('victim') is Verdict.suspect


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
    assert suspects.judge('copied') is Verdict.suspect
    clock.advance(0.1)
    suspects.record_crash(['copied'], 'u-2')
    assert suspects.judge('copied') is Verdict.quarantined


def test_a_crash_that_another_explains_convicts_nobody() -> None:
    """Soak seed 15: the second crash of a victim was that of a crasher."""
    clock = ManualClock()
    suspects = Suspects(clock)
    suspects.record_crash(['victim'], 'u-0')
    suspects.record_crash(['poison'], 'u-1')
    clock.advance(0.1)
    suspects.record_crash(['victim', 'poison'], 'u-2')
    assert suspects.judge('victim') is Verdict.suspect


def test_a_request_that_is_always_in_flight_is_not_convicted() -> None:
    """Soak seed 118: copies of a path ran at each upstream that crashed.

    Only a run on its own, after an earlier crash, tells its cause. Instances
    learn from reports whether a run was one.
    """
    clock = ManualClock()
    own, peer = Suspects(clock), Suspects(clock)
    for at in range(2):
        own.record_crash(['popular', f'o-{at}'], f'u-{at}', is_isolated=False)
        clock.advance(0.2)
    peer.record_crash(['popular'], 'v-0', is_isolated=False)
    own.merge(peer.report())
    assert own.judge('popular') is Verdict.suspect
    own.record_crash(['popular'], 'u-9', is_isolated=True)
    peer.merge(own.report())
    assert own.judge('popular') is Verdict.quarantined
    assert peer.judge('popular') is Verdict.quarantined
