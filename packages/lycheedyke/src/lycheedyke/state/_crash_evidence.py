"""The crashes of upstreams at which one request was in flight."""

import itertools
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple, Self

# Crashes within this time of the first of them may have one common cause.
MOMENT = timedelta(seconds=1)
CONFIRMATIONS = 2
# A request that was in flight at crashes in this many moments causes them.
PROVEN_MOMENTS = 3
MAX_CRASHES = 16


class Crash(NamedTuple):
    """The crash of an upstream.

    Attributes:
        time: when it was observed, on the monotonic clock.
        upstream: the name of the upstream.
    """

    time: timedelta
    upstream: str


class Evidence(NamedTuple):
    """The crashes at which one request was in flight.

    Attributes:
        crashes: the crashes by time, at most `MAX_CRASHES`.
        dismissed: those of them that were attributed to the failure of a zone
            or region.
        expiry: when the evidence expires.
        is_first_hand: whether this instance observed one of the crashes.
    """

    crashes: tuple[Crash, ...] = ()
    dismissed: frozenset[Crash] = frozenset()
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
        """Whether the request must not run again."""
        return len(self.standing) >= CONFIRMATIONS

    def includes(self, crash: Crash) -> bool:
        """Returns whether a crash is known, perhaps by another observer.

        An upstream that crashes again does so in another moment.
        """
        return any(
            known.upstream == crash.upstream
            and abs(known.time - crash.time) <= MOMENT
            for known in self.crashes
        )

    def add(self, crash: Crash) -> Self:
        """Returns the evidence with one more crash.

        Above the limit, the crash closest to the one before it is left out,
        so that the number of moments stays.
        """
        crashes = sorted((*self.crashes, crash))
        if len(crashes) > MAX_CRASHES:
            gaps = [
                after.time - before.time
                for before, after in itertools.pairwise(crashes)
            ]
            crashes.pop(gaps.index(min(gaps)) + 1)
        return self._replace(crashes=tuple(crashes))

    def dismiss(self, crashes: Iterable[Crash]) -> Self:
        """Returns the evidence with crashes that a failing zone explains."""
        return self._replace(dismissed=self.dismissed.union(crashes))
