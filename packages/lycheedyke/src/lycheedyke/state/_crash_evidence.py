"""The crashes of upstreams at which one request was in flight."""

import itertools
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple, Self

# Crashes within this time of the first of them may have one common cause.
MOMENT = timedelta(seconds=1)
CONFIRMATIONS = 2
# A crash is reported this long after it was noticed at the earliest, and only
# then repeated: runs whose upstreams crash sooner after each other were side by
# side, and one cause may have ended both.
MIN_REPEAT_GAP = timedelta(milliseconds=50)
# A request that was in flight at crashes in this many moments causes them.
PROVEN_MOMENTS = 3
# A report of a crash reaches all peers within this time, though another one that
# is being sent comes first.
REPORT_TIME = timedelta(milliseconds=500)
MAX_CRASHES = 16
# Two observers may date one crash as differently as a process may stand still
# before it reads a report.
SAME_CRASH = timedelta(seconds=30)


class Crash(NamedTuple):
    """The crash of an upstream.

    Attributes:
        time: when it was observed, on the monotonic clock.
        upstream: the name of the upstream, or of its incarnation.
        is_isolated: whether the request ran there on its own, as a suspect.
    """

    time: timedelta
    upstream: str
    is_isolated: bool = False


class Strength(NamedTuple):
    """How much speaks against a request; compares by importance."""

    is_confirmed: bool
    moments: int
    crashes: int
    expiry: timedelta


class Evidence(NamedTuple):
    """The crashes at which one request was in flight.

    Attributes:
        crashes: the crashes by time, at most `MAX_CRASHES`.
        dismissed: those of them that were attributed to the failure of a zone
            or region.
        answered: when an upstream last answered the request; None if that is
            not known. Earlier crashes do not count.
        expiry: when the evidence expires.
        is_first_hand: whether this instance observed one of the crashes.
    """

    crashes: tuple[Crash, ...] = ()
    dismissed: frozenset[Crash] = frozenset()
    answered: timedelta | None = None
    expiry: timedelta = timedelta()
    is_first_hand: bool = False

    @property
    def moments(self) -> int:
        """The number of separate moments of crashes."""
        count = 0
        ends = None
        for crash in self.crashes:
            if ends is None or crash.time > ends:
                count += 1
                ends = crash.time + MOMENT
        return count

    @property
    def is_proven(self) -> bool:
        """Whether the failure of a zone or region can't explain the crashes."""
        return self.moments >= PROVEN_MOMENTS

    @property
    def standing(self) -> tuple[Crash, ...]:
        """The crashes that count against the request."""
        if self.is_proven:
            return self.crashes
        return tuple(
            crash for crash in self.crashes if crash not in self.dismissed
        )

    @property
    def is_confirmed(self) -> bool:
        """Whether the request must not run again.

        A request that is sent often is in flight at every crash. So one of
        the crashes must be that of a run on its own, after an earlier one.
        """
        if self._successive < CONFIRMATIONS:
            return False
        later = self.standing[1:]
        return self.is_proven or any(crash.is_isolated for crash in later)

    @property
    def reported_by(self) -> timedelta:
        """When all peers' reports on the crashes that convict are in.

        Other requests change nothing about evidence that is conclusive.
        """
        if self._is_conclusive:
            return timedelta()
        return self.standing[-1].time + REPORT_TIME

    @property
    def strength(self) -> Strength:
        """The order in which evidence is kept if there is too much of it."""
        return Strength(
            self.is_confirmed, self.moments, len(self.crashes), self.expiry
        )

    def includes(self, crash: Crash) -> bool:
        """Returns whether a crash is known, perhaps by another observer."""
        return any(
            known.upstream == crash.upstream
            and abs(known.time - crash.time) <= SAME_CRASH
            for known in self.crashes
        )

    def add(self, crash: Crash) -> Self:
        """Returns the evidence with one more crash, unless it is known.

        Above the limit, the crash closest to the one before it is left out,
        so that the number of moments stays.
        """
        is_outweighed = self.answered is not None and (
            crash.time <= self.answered
        )
        if is_outweighed or self.includes(crash):
            return self
        crashes = sorted((*self.crashes, crash))
        if len(crashes) > MAX_CRASHES:
            gaps = [
                after.time - before.time
                for before, after in itertools.pairwise(crashes)
            ]
            crashes.pop(gaps.index(min(gaps)) + 1)
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

    def answer(self, time: timedelta) -> Self:
        """Returns the evidence after an answer: only later crashes count."""
        if self.answered is not None and self.answered >= time:
            return self
        later = tuple(crash for crash in self.crashes if crash.time > time)
        return self._replace(
            crashes=later,
            dismissed=self.dismissed.intersection(later),
            answered=time,
        )

    def is_convicting(self, others: Iterable[Self]) -> bool:
        """Returns whether no other request explains the crashes of this one.

        Instances do not keep each other's suspects apart, so a victim may be
        in flight at two crashes of another request. It then stays a suspect
        until another run, on its own, tells which of them causes crashes.

        Args:
            others: the evidence on the other requests.
        """
        if self._is_conclusive:
            return True
        crashed = self._upstreams
        return not any(
            crashed & other._upstreams
            for other in others
            if len(other.standing) >= len(crashed)
        )

    @property
    def _is_conclusive(self) -> bool:
        return len(self.standing) > CONFIRMATIONS or self.moments > 1

    @property
    def _upstreams(self) -> frozenset[str]:
        return frozenset(crash.upstream for crash in self.standing)

    @property
    def _successive(self) -> int:
        """The number of crashes that may be those of successive runs."""
        count = 0
        last = None
        for crash in self.standing:
            if last is None or crash.time - last >= MIN_REPEAT_GAP:
                count += 1
                last = crash.time
        return count
