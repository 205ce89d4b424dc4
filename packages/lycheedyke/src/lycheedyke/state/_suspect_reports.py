"""The form in which suspects are reported to peers and operators."""

import itertools
from collections.abc import Iterator
from datetime import timedelta

import msgspec

from lycheedyke.state._crash_evidence import (
    Answer,
    Crash,
    Evidence,
)

MILLISECOND = timedelta(milliseconds=1)


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A suspect as reported to peers and operators.

    Attributes:
        fingerprint: the digest that equal requests share, in hex; those of one
            caller, or of all.
        crashed: the upstreams that crashed while it was in flight there.
        remaining_ms: the time until the suspect expires, in ms.
        ages_ms: how long ago each of these crashes was, in ms. Reports of
            earlier versions have none.
        answered_ms: how long ago an upstream answered it, in ms; None if that
            is not known.
        dismissed: those of the crashed upstreams whose crash was attributed to
            the failure of a zone or region.
        isolated: the same as `trials`, for earlier versions.
        trials: those of the crashed upstreams at which it ran as a trial.
            Reports of earlier versions have none.
        is_conclusive: whether the answer outweighs any number of crashes.
        callers: the digests of the callers whose requests were in flight at
            each of these crashes. Reports of earlier versions have none.
    """

    fingerprint: str
    crashed: tuple[str, ...]
    remaining_ms: int
    ages_ms: tuple[int, ...] = ()
    answered_ms: int | None = None
    dismissed: tuple[str, ...] = ()
    isolated: tuple[str, ...] = ()
    trials: tuple[str, ...] = ()
    is_conclusive: bool = False
    callers: tuple[tuple[str, ...], ...] = ()

    @property
    def has_times(self) -> bool:
        """Whether the age of each crash is known."""
        return len(self.ages_ms) == len(self.crashed)

    @property
    def quarantined(self) -> bool:
        """Whether all instances refuse the request."""
        return Evidence(tuple(self.crashes(timedelta()))).is_convicted

    def crashes(self, now: timedelta) -> Iterator[Crash]:
        """Yields the crashes, dated back from now on the monotonic clock."""
        callers = itertools.chain(self.callers, itertools.repeat(()))
        for upstream, age, known in zip(
            self.crashed, self.ages_ms, callers, strict=False
        ):
            time = _date_back(now, age)
            is_trial = upstream in self.trials
            yield Crash(time, upstream, is_trial, frozenset(known))


def describe(fingerprint: str, evidence: Evidence, now: timedelta) -> Suspect:
    """Returns the report on a request.

    Args:
        fingerprint: the digest of the request, in hex.
        evidence: the evidence on it.
        now: the time on the monotonic clock, from which ages count.
    """
    answer = evidence.answer
    crashes = evidence.crashes
    trials = tuple(crash.upstream for crash in crashes if crash.is_trial)
    return Suspect(
        fingerprint,
        tuple(crash.upstream for crash in crashes),
        max(0, (evidence.expiry - now) // MILLISECOND),
        tuple((now - crash.time) // MILLISECOND for crash in crashes),
        None if answer is None else (now - answer.time) // MILLISECOND,
        tuple(crash.upstream for crash in evidence.dismissed),
        isolated=trials,
        trials=trials,
        is_conclusive=answer is not None and answer.is_conclusive,
        callers=tuple(tuple(sorted(crash.callers)) for crash in crashes),
    )


def add_reported(
    evidence: Evidence, suspect: Suspect, now: timedelta
) -> Evidence:
    """Returns the evidence with the answer and the crashes of a report."""
    if suspect.answered_ms is not None:
        time = _date_back(now, suspect.answered_ms)
        evidence = evidence.add_answer(Answer(time, suspect.is_conclusive))
    for crash in suspect.crashes(now):
        evidence = evidence.add(crash)
        if crash.upstream in suspect.dismissed:
            evidence = evidence.dismiss_of(crash.upstream)
    return evidence


def adds_to_report(known: Evidence, suspect: Suspect, now: timedelta) -> bool:
    """Returns whether more is known than a report that was merged."""
    if known.answer is None:
        is_same = len(known.crashes) == len(suspect.crashed)
        if is_same and known.trials == len(suspect.trials):
            return False
    told = add_reported(Evidence(), suspect, now)
    more = told
    if known.answer is not None:
        more = more.add_answer(known.answer)
    for crash in known.crashes:
        more = more.add(crash)
    return more.crashes != told.crashes


def _date_back(now: timedelta, age_ms: int) -> timedelta:
    # A negative age of a peer would date its crash in the future.
    return now - max(0, age_ms) * MILLISECOND
