"""A request that crashes upstreams stays in quarantine."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.state import Suspect, Suspects, Verdict
from lycheedyke_daemon.work import Work
from standins.clock import ManualClock
from standins.convictions import PAUSE_S, convict, crash_trial
from standins.records import make_upstream

TEN_MINUTES_MS = 600_000


# Guards against a quarantine that ends because of the crashes that caused it.
def test_its_own_crashes_do_not_end_a_quarantine() -> None:
    """Copies in flight crash four more upstreams after the verdict."""
    clock = ManualClock()
    suspects = Suspects(clock)
    expected = [Verdict.suspect, Verdict.probation, Verdict.probation]
    expected += [Verdict.quarantined] * 5
    for number, verdict in enumerate(expected):
        suspects.record_crash(
            ['poison'],
            f'upstream {number}',
            trials=['poison'] if number in {2, 3} else (),
        )
        assert suspects.judge('poison') is verdict
        clock.advance(1.5)


# Guards against a request that is cleared, and runs side by side again, because
# so many of its runs crash that a zone seems to fail.
@given(st.integers(2, 12))
def test_a_burst_of_its_own_crashes_clears_no_request(count: int) -> None:
    """It runs only as a trial until one of them is answered."""
    clock = ManualClock()
    suspects = Suspects(clock)
    for number in range(count):
        suspects.record_crash(['poison'], f'upstream {number}')
        clock.advance(0.02)
    assert suspects.judge('poison') is Verdict.probation
    clock.advance(60)
    suspects.record_success('poison')
    assert suspects.judge('poison') is Verdict.probation
    suspects.record_success('poison', is_trial=True)
    assert suspects.judge('poison') is Verdict.clear


# Guards against a quarantine that ends because unrelated upstreams crash.
def test_other_crashes_do_not_end_a_quarantine() -> None:
    """A fifth of a service crashes three seconds after the verdict."""
    clock = ManualClock()
    suspects = Suspects(clock)
    convict(suspects, clock, 'poison')
    clock.advance(3)
    for number in range(17):
        suspects.record_crash([f'other {number}'], f'upstream {number}')
    assert suspects.judge('poison') is Verdict.quarantined
    assert len(suspects.list()) == 1


# Guards against a request that is never quarantined because its crashes are
# taken for the failure of a zone each time.
@given(st.lists(st.integers(0, 12), min_size=4, max_size=4))
def test_trials_convict_whatever_else_crashes(others: list[int]) -> None:
    """However many upstreams crash with it, the second trial is final."""
    clock = ManualClock()
    suspects = Suspects(clock)
    for moment, count in enumerate(others):
        for number in range(count):
            names = ['victim', 'other'] if number == 0 else ['other']
            suspects.record_crash(names, f'{moment} {number}')
        suspects.record_success('victim')
        trials = ['poison'] if moment > 1 else []
        suspects.record_crash(['poison'], f'{moment}', trials=trials)
        if moment == 1:
            assert suspects.judge('poison') is Verdict.probation
        clock.advance(1.5)
    assert suspects.judge('poison') is Verdict.quarantined
    assert suspects.judge('victim') is not Verdict.quarantined
    for number in range(20):
        suspects.record_crash(['other'], f'later {number}')
        assert suspects.judge('poison') is Verdict.quarantined
    assert 'poison' in {each.fingerprint for each in suspects.settled()}


# Guards against a verdict that a restarted instance drops as it learns it.
def test_old_crashes_in_a_report_are_not_the_failure_of_a_zone() -> None:
    """A report of five old crashes keeps the verdict of the sender."""
    clock = ManualClock()
    sender, receiver = Suspects(clock), Suspects(clock)
    for number in range(3):
        sender.record_crash(['poison'], f'upstream {number}')
        clock.advance(3)
    for number in range(2):
        crash_trial(sender, 'poison', f'trial {number}')
        clock.advance(3)
    clock.advance(20)
    assert receiver.merge(sender.report())
    assert receiver.judge('poison') is Verdict.quarantined
    assert not receiver.merge(sender.report())


# Guards against reports of an earlier version, whose crashes would count as
# crashes of this moment and as the failure of a zone.
def test_a_report_without_times_changes_nothing() -> None:
    """Such reports name other fingerprints, too."""
    clock = ManualClock()
    suspects = Suspects(clock)
    old = tuple(f'upstream {number}' for number in range(5))
    suspects.record_crash(['poison'], 'kassa-1')
    assert not suspects.merge([Suspect('request', old, TEN_MINUTES_MS)])
    assert suspects.judge('request') is Verdict.clear
    assert suspects.judge('poison') is Verdict.suspect


# Guards against a victim that is refused everywhere, because a process that
# stood still dates its crash later than others do.
def test_a_report_that_is_read_late_adds_no_crash() -> None:
    """One crash counts once, whenever it is learnt."""
    clock = ManualClock()
    observer, stalled, other = (Suspects(clock) for _ in range(3))
    observer.record_crash(['victim'], 'kassa-1')
    report = observer.report()
    other.merge(report)
    clock.advance(3)
    stalled.merge(report)
    other.merge(stalled.report())
    assert other.judge('victim') is Verdict.suspect
    clock.advance(5)
    assert not other.settled()


# Guards against a victim that is refused everywhere, though an upstream has
# answered it between two unrelated crashes.
def test_an_answer_between_two_crashes_counts_everywhere() -> None:
    """The instance that saw the answer corrects the others."""
    clock = ManualClock()
    answered, observer, peer = (Suspects(clock) for _ in range(3))
    answered.record_crash(['popular'], 'kassa-1')
    for known in (observer, peer):
        known.merge(answered.report())
    clock.advance(1)
    answered.record_success('popular')
    clock.advance(120)
    observer.record_crash(['popular'], 'kassa-2')
    first = observer.report_changes(0)
    peer.merge(first)
    assert peer.judge('popular') is Verdict.probation
    answered.merge(first)
    sent = observer.revision
    assert observer.merge(answered.corrections(first))
    peer.merge(observer.report_changes(sent))
    for known in (answered, observer, peer):
        assert known.judge('popular') is Verdict.suspect
    clock.advance(5)
    assert not peer.settled()
    assert not observer.settled()


# Guards against a victim that is refused everywhere, as a peer that knows a
# crash as the failure of a zone tells of it to others.
def test_a_dismissed_crash_stays_dismissed_at_peers() -> None:
    """A later crash is the first that makes it wait and run apart."""
    clock = ManualClock()
    teller, peer = Suspects(clock), Suspects(clock)
    for number in range(6):
        teller.record_crash([f'victim {number}'], f'u{number}')
    clock.advance(20)
    teller.record_crash(['victim 0'], 'u9')
    peer.merge(teller.report_changes(0))
    for known in (teller, peer):
        assert known.judge('victim 0') is Verdict.probation
        (listed,) = known.list()
        assert listed.crashed == ('u9',)
        assert known.trial_pause('victim 0').total_seconds() == PAUSE_S
    clock.advance(PAUSE_S)
    assert not peer.trial_pause('victim 0')


# Guards against a correction that reaches only the instance that relayed a
# crash of another one.
def test_a_correction_is_passed_on() -> None:
    """It is sent to all, whoever observed the crashes."""
    clock = ManualClock()
    answered, relay, peer = (Suspects(clock) for _ in range(3))
    for known in (answered, relay, peer):
        known.merge([Suspect('popular', ('u1',), TEN_MINUTES_MS, (0,))])
    clock.advance(1)
    answered.record_success('popular')
    clock.advance(5)
    for known in (relay, peer):
        known.merge([Suspect('popular', ('u2',), TEN_MINUTES_MS, (0,))])
    sent = relay.revision
    assert relay.merge(answered.corrections(relay.report()))
    peer.merge(relay.report_changes(sent))
    assert peer.judge('popular') is Verdict.suspect


# Guards against a victim that stays refused because the instance that was
# corrected knows both crashes from peers.
def test_an_answer_reaches_those_whom_a_third_instance_told() -> None:
    """Instances that started after the answer were told of both crashes."""
    clock = ManualClock()
    answered, teller, started = (Suspects(clock) for _ in range(3))
    answered.record_crash(['popular'], 'kassa-1')
    teller.merge(answered.report())
    clock.advance(1)
    answered.record_success('popular')
    clock.advance(5)
    started.record_crash(['popular'], 'kassa-2')
    teller.merge(started.report_changes(0))
    first = teller.report_changes(0)
    sent = teller.revision
    started.merge(first)
    assert started.judge('popular') is Verdict.probation
    answered.merge(first)
    assert teller.merge(answered.corrections(first))
    started.merge(teller.report_changes(sent))
    for known in (answered, teller, started):
        assert known.judge('popular') is Verdict.suspect


# Guards against a crashing request that is forgotten because many others were
# in flight at crashes.
def test_fresh_victims_do_not_displace_a_repeated_crasher() -> None:
    """Two dismissed moments weigh more than one crash."""
    clock = ManualClock()
    suspects = Suspects(clock)
    for moment in range(2):
        suspects.record_crash(['poison'], f'u{moment}')
        for number in range(5):
            suspects.record_crash(['other'], f'o{moment}-{number}')
        clock.advance(5)
    suspects.record_crash([f'victim {number}' for number in range(600)], 'v')
    assert len(suspects) == 256
    clock.advance(5)
    suspects.record_crash(['poison'], 'u9')
    assert suspects.judge('poison') is Verdict.probation
    assert suspects.describe('poison').crashed == ('u0', 'u1', 'u9')


# Guards against peers that refuse the victims of a failing zone: they hear of
# the crashes up to the fifth, and not that they are dismissed.
def test_peers_learn_that_a_zone_failed() -> None:
    """Crashes that are dismissed are reported, too."""
    clock = ManualClock()
    observer, peer = Suspects(clock), Suspects(clock)
    for number in range(6):
        observer.record_crash(['popular'], f'u{number}')
        peer.merge(observer.report())
        clock.advance(0.2)
    for known in (observer, peer):
        assert known.judge('popular') is Verdict.probation
        assert not known.is_isolated('popular')
        assert not known.trial_pause('popular')


# Guards against a request that crashes one upstream again and again.
def test_an_upstream_that_crashes_twice_counts_twice() -> None:
    """An upstream that is back under its name is another incarnation."""
    clock = ManualClock()
    suspects = Suspects(clock)
    for born in (1, 2):
        upstream = make_upstream('kassa-1', born=born)
        suspects.record_crash(['poison'], upstream.incarnation)
        suspects.record_crash(['poison'], upstream.incarnation)
        clock.advance(2)
    assert len(suspects.describe('poison').crashed) == 2
    assert suspects.judge('poison') is Verdict.probation


# Guards against evidence of many crashes that one answer erases, which may be
# that of another request of the caller that looks the same.
def test_an_answer_of_no_trial_does_not_outweigh_many_crashes() -> None:
    """A peer that knows one crash had an answer, and tells of it."""
    clock = ManualClock()
    known, peer = Suspects(clock), Suspects(clock)
    known.record_crash(['poison'], 'u0')
    peer.merge(known.report())
    for number in range(1, 6):
        clock.advance(2)
        known.record_crash(['poison'], f'u{number}')
    clock.advance(2)
    peer.record_success('poison')
    assert peer.judge('poison') is Verdict.clear
    known.merge(peer.report())
    assert known.judge('poison') is Verdict.probation
    assert not known.may_repeat('poison')


# Guards against one attempt that ends upstream after upstream while a zone
# seems to fail.
def test_no_third_run_for_one_attempt() -> None:
    """Dismissed crashes count against repeats."""
    suspects = Suspects(ManualClock())
    for number in range(6):
        assert suspects.may_repeat('poison') is (number < 2)
        suspects.record_crash(['poison'], f'upstream {number}')


@pytest.mark.parametrize(
    ('change', 'is_same', 'is_shared'),
    [
        ({'service': 'vend'}, True, True),
        ({'target': '/cups/7?page=2'}, True, True),
        ({'request_id': 'another'}, True, True),
        ({'client': '192.0.2.2'}, False, True),
        ({'method': 'PUT'}, False, False),
        ({'target': '/cups/8'}, False, False),
        ({'body': b'cup 8'}, False, False),
        ({'host': 'other.example'}, False, False),
    ],
)
# Guards against a repeated request that is not recognized: it may reach
# another service of a split route, and may have another query.
def test_a_repeated_request_is_recognized(
    change: dict[str, str], is_same: bool, is_shared: bool
) -> None:
    """Host, method, path and body identify it, and for one caller its address."""
    first = Work(
        'kassa',
        'GET',
        '/cups/7',
        (),
        b'cup 7',
        timedelta(),
        '192.0.2.1',
        host='shop.example',
    )
    second = first._replace(**change)  # type: ignore[arg-type]
    is_equal = first.repeat_fingerprint() == second.repeat_fingerprint()
    assert is_equal is is_same
    is_equal = first.shared_fingerprint() == second.shared_fingerprint()
    assert is_equal is is_shared
