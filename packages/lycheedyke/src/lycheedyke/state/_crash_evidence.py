"""The crashes of upstreams at which one request was in flight."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple, Self

# From so many crashes on, all instances together run the request once at a time.
PROBATION_CRASHES = 2
# So many of these runs that crash their upstreams convict the request.
CONVICTING_TRIALS = 2
# A trial waits so long after the last crash, until a cause that other upstreams
# share is over.
PAUSE_AFTER_CRASH = timedelta(seconds=1)
PAUSE_AFTER_TRIAL = timedelta(seconds=8)
MAX_CRASHES = 16
# Two observers may date one crash as differently as a process may stand still
# before it reads a report.
SAME_CRASH = timedelta(seconds=30)


class Crash(NamedTuple):
    """The crash of an upstream.

    Attributes:
        time: when it was observed, on the monotonic clock.
        upstream: the name of the upstream, or of its incarnation.
        is_trial: whether the request ran there as a trial.
        callers: the digests of the callers whose requests were in flight; empty
            if they are not known, or are part of the request's own digest.
    """

    time: timedelta
    upstream: str
    is_trial: bool = False
    callers: frozenset[str] = frozenset()

    def merge(self, other: Self) -> Self:
        """Returns the crash as two observers of it know it together."""
        return self._replace(
            is_trial=self.is_trial or other.is_trial,
            callers=self.callers | other.callers,
        )


class Answer(NamedTuple):
    """The answer of an upstream to the request.

    Attributes:
        time: when it came, on the monotonic clock.
        is_conclusive: whether it outweighs any number of crashes: the request
            ran as a trial, or its caller is not the one of all crashes.
    """

    time: timedelta
    is_conclusive: bool = False


class Strength(NamedTuple):
    """How much speaks against a request; compares by importance."""

    trials: int
    crashes: int
    expiry: timedelta


def common_callers(crashes: Iterable[Crash]) -> frozenset[str]:
    """Returns the callers whose requests were in flight at all crashes."""
    callers = [crash.callers for crash in crashes]
    return frozenset.intersection(*callers) if callers else frozenset()


class Evidence(NamedTuple):
    """The crashes at which one request was in flight, and its answers.

    Most of the requests that are in flight at a crash have not caused it. From
    `PROBATION_CRASHES` on a request runs only as a trial: once at a time among
    all instances, and after a pause. A trial that is answered clears it, and
    `CONVICTING_TRIALS` that crash their upstreams convict it.

    Evidence on a request whoever sends it knows the callers of each crash. While
    one caller explains all crashes, the cause may be what only that caller
    sends, such as a query or a cookie, and others are not concerned.

    Attributes:
        crashes: the crashes by time, at most `MAX_CRASHES`.
        dismissed: those of them that were attributed to the failure of a zone
            or region.
        answer: the last answer that outweighs earlier crashes; None if there
            is none.
        expiry: when the evidence expires.
        is_first_hand: whether this instance observed one of the crashes.
    """

    crashes: tuple[Crash, ...] = ()
    dismissed: frozenset[Crash] = frozenset()
    answer: Answer | None = None
    expiry: timedelta = timedelta()
    is_first_hand: bool = False

    @property
    def trials(self) -> int:
        """The number of trials that crashed their upstreams."""
        return sum(crash.is_trial for crash in self.crashes)

    @property
    def standing(self) -> tuple[Crash, ...]:
        """The crashes that no failure of a zone or region explains."""
        return tuple(
            crash for crash in self.crashes if crash not in self.dismissed
        )

    @property
    def suspected_callers(self) -> frozenset[str]:
        """The callers each of which explains all crashes alone."""
        return common_callers(self.crashes)

    @property
    def is_on_probation(self) -> bool:
        """Whether the request may run only as a trial."""
        return len(self.crashes) >= PROBATION_CRASHES or self.trials > 0

    @property
    def is_convicted(self) -> bool:
        """Whether the request must not run."""
        trials = [crash for crash in self.crashes if crash.is_trial]
        return len(trials) >= CONVICTING_TRIALS and not common_callers(trials)

    @property
    def next_trial(self) -> timedelta:
        """When the next trial may start.

        The crashes of a failing zone delay only the requests whose own trial
        was one of them.
        """
        trials = [crash for crash in self.crashes if crash.is_trial]
        if trials:
            return trials[-1].time + PAUSE_AFTER_TRIAL
        if self.standing:
            return self.standing[-1].time + PAUSE_AFTER_CRASH
        return timedelta()

    @property
    def strength(self) -> Strength:
        """The order in which evidence is kept if there is too much of it."""
        return Strength(self.trials, len(self.crashes), self.expiry)

    def add(self, crash: Crash) -> Self:
        """Returns the evidence with one more crash, unless it is known.

        Above the limit, the earliest crash that was no trial is left out.
        """
        if self.answer is not None and crash.time <= self.answer.time:
            return self
        known = self._find_same(crash)
        if known is not None:
            return self._replace_crash(known, known.merge(crash))
        crashes = sorted((*self.crashes, crash))
        if len(crashes) > MAX_CRASHES:
            crashes.remove(
                next(
                    (each for each in crashes if not each.is_trial), crashes[0]
                )
            )
        return self._replace(
            crashes=tuple(crashes),
            dismissed=self.dismissed.intersection(crashes),
        )

    def dismiss(self, crashes: Iterable[Crash]) -> Self:
        """Returns the evidence with crashes that a failing zone explains."""
        return self._replace(dismissed=self.dismissed.union(crashes))

    def dismiss_of(self, upstream: str) -> Self:
        """Returns the evidence without the crashes of one upstream."""
        return self.dismiss(
            crash for crash in self.crashes if crash.upstream == upstream
        )

    def without_zone_failure(self) -> Self:
        """Returns the evidence without dismissed crashes.

        All crashes stay once a trial has crashed an upstream.
        """
        if self.trials:
            return self
        return self._replace(crashes=self.standing)

    def add_answer(self, answer: Answer) -> Self:
        """Returns the evidence after an answer.

        Only later crashes count then. Any answer outweighs a single crash;
        more of them are outweighed by a conclusive one alone, as other
        requests may look the same.
        """
        if self.answer is not None and self.answer.time >= answer.time:
            return self
        later = tuple(
            crash for crash in self.crashes if crash.time > answer.time
        )
        outweighed = len(self.crashes) - len(later)
        if outweighed >= PROBATION_CRASHES and not answer.is_conclusive:
            return self
        return self._replace(
            crashes=later,
            dismissed=self.dismissed.intersection(later),
            answer=answer,
        )

    def _find_same(self, crash: Crash) -> Crash | None:
        """Returns the crash as another observer may have reported it."""
        for known in self.crashes:
            is_near = abs(known.time - crash.time) <= SAME_CRASH
            if known.upstream == crash.upstream and is_near:
                return known
        return None

    def _replace_crash(self, known: Crash, merged: Crash) -> Self:
        """Returns the evidence with more known of a crash.

        The crash of a trial is not dismissed.
        """
        if merged == known:
            return self
        dismissed = self.dismissed - {known}
        if known in self.dismissed and not merged.is_trial:
            dismissed |= {merged}
        return self._replace(
            crashes=tuple(
                merged if crash == known else crash for crash in self.crashes
            ),
            dismissed=dismissed,
        )
