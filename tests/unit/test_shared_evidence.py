"""Evidence on a request whoever sends it, and on those of one caller."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from lycheedyke.state import Suspect, Suspects, Verdict
from standins.clock import ManualClock

ONE = ('one',)
OTHER = ('other',)
TEN_MINUTES_MS = 600_000


def _crash(
    suspects: Suspects,
    upstream: str,
    callers: tuple[str, ...],
    *,
    is_trial: bool = False,
) -> None:
    """Records a crash of the request `path`, sent by some callers."""
    suspects.record_crash(
        ['path', *callers],
        upstream,
        trials=['path', *callers] if is_trial else (),
        callers={'path': callers},
    )


# Guards against evidence on one request that is split among its callers.
def test_crashes_of_two_callers_count_together() -> None:
    """The second crash puts the request on probation for all."""
    suspects = Suspects(ManualClock())
    _crash(suspects, 'u-0', ONE)
    assert suspects.judge('path') is Verdict.clear
    _crash(suspects, 'u-1', OTHER)
    assert suspects.judge_all(('path', 'third')) == (Verdict.probation, 'path')
    assert not suspects.may_repeat('path')


# Guards against a path that is refused to all callers for what one of them
# sends with it.
@given(st.lists(st.booleans(), min_size=1, max_size=20))
def test_crashes_of_one_caller_concern_no_other(trials: list[bool]) -> None:
    """Whatever crashes, alone or beside others, it was in flight at each."""
    clock = ManualClock()
    suspects = Suspects(clock)
    for number, is_trial in enumerate(trials):
        beside = () if is_trial else (f'victim {number}',)
        _crash(suspects, f'u-{number}', (*ONE, *beside), is_trial=is_trial)
        clock.advance(2)
    assert suspects.judge_all(('path', 'third')).verdict is Verdict.clear
    assert suspects.may_repeat('path')
    assert not suspects.is_isolated('path')
    own = suspects.judge_all(('path', 'one'))
    assert own.fingerprint == 'one'
    assert own.verdict >= min(Verdict.probation, len(trials))
    assert 'path' not in {each.fingerprint for each in suspects.settled()}


# Guards against a popular path that is refused for ten minutes, as a crash by
# chance adds another caller to the trials of one.
def test_trials_of_one_caller_convict_no_other() -> None:
    """Others are on probation until one of their trials is answered."""
    clock = ManualClock()
    suspects, peer = Suspects(clock), Suspects(clock)
    _crash(suspects, 'chance', OTHER)
    for number in range(2):
        _crash(suspects, f'u-{number}', ONE, is_trial=True)
        clock.advance(8)
    peer.merge(suspects.report())
    for known in (suspects, peer):
        assert known.judge('path') is Verdict.probation
        assert known.judge('one') is Verdict.quarantined
        assert [each.fingerprint for each in known.settled()] == ['one']
        known.record_success('path', is_trial=True, caller='third')
        assert known.judge('path') is Verdict.clear
        assert known.judge('one') is Verdict.quarantined


# Guards against a crashing request that is never convicted as each of its
# trials is that of another caller.
def test_trials_of_two_callers_convict_all() -> None:
    """No caller explains both."""
    clock = ManualClock()
    suspects, peer = Suspects(clock), Suspects(clock)
    for number, callers in enumerate((ONE, OTHER)):
        _crash(suspects, f'u-{number}', callers, is_trial=True)
        clock.advance(8)
    peer.merge(msgspec.msgpack.decode(_encoded(suspects), type=list[Suspect]))
    for known in (suspects, peer):
        assert known.judge_all(('path', 'third')) == (
            Verdict.quarantined,
            'path',
        )
        assert {each.fingerprint for each in known.settled()} == {'path'}
        assert [each.quarantined for each in known.list()] == [
            each.fingerprint == 'path' for each in known.list()
        ]


def _encoded(suspects: Suspects) -> bytes:
    return msgspec.msgpack.encode(suspects.report())


# Guards against a crash by chance that adds to the crashes of one caller, though
# others have been answered since.
def test_an_answer_of_another_caller_clears_the_path() -> None:
    """It says nothing of the caller that was at all crashes."""
    clock = ManualClock()
    suspects, peer = Suspects(clock), Suspects(clock)
    for number in range(3):
        _crash(suspects, f'u-{number}', ONE)
        clock.advance(2)
    peer.merge(suspects.report())
    suspects.record_success('path', caller='one')
    assert len(suspects.describe('path').crashed) == 3
    suspects.record_success('path', caller='other')
    peer.merge(suspects.report())
    for known in (suspects, peer):
        assert not known.describe('path').crashed
        assert known.judge('one') is Verdict.probation
    clock.advance(2)
    _crash(suspects, 'chance', OTHER)
    assert suspects.judge('path') is Verdict.clear


# Guards against a caller that seems to explain all crashes, because another
# instance saw who else was in flight there.
def test_observers_of_one_crash_add_their_callers() -> None:
    """Both had a request at the first upstream."""
    clock = ManualClock()
    first, second = Suspects(clock), Suspects(clock)
    _crash(first, 'u-0', ONE)
    _crash(second, 'u-0', OTHER)
    first.merge(second.report())
    second.merge(first.report())
    for known in (first, second):
        assert known.describe('path').callers == (('one', 'other'),)
        clock.advance(2)
        _crash(known, 'u-1', OTHER)
        assert known.judge('path') is Verdict.clear
        clock.advance(2)
        _crash(known, 'u-2', ONE)
        assert known.judge('path') is Verdict.probation


# Guards against a report of an earlier version that can't be read.
def test_a_report_without_callers_concerns_all() -> None:
    """Earlier versions tell of requests of one caller only."""
    suspects = Suspects(ManualClock())
    report = ['request', ['u-0', 'u-1'], TEN_MINUTES_MS, [0, 0], None, []]
    suspects.merge([msgspec.convert(report, Suspect)])
    assert suspects.judge('request') is Verdict.probation
