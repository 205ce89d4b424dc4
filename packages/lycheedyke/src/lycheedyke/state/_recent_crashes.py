"""The recent crashes of all upstreams, which show that a zone is failing."""

import bisect
from collections.abc import Iterable
from datetime import timedelta

from lycheedyke.state._crash_evidence import Evidence

# If more upstreams than this crash within `FAILURE_SPREAD` of each other, the
# cause may be the failure of a zone or region, not a request.
MAX_CRASHED_UPSTREAMS = 4
FAILURE_SPREAD = timedelta(seconds=2)
# After this time no report of a peer on a failing zone is on its way.
SETTLING_TIME = timedelta(seconds=4)


class RecentCrashes:
    """When upstreams crashed within the last `SETTLING_TIME`."""

    def __init__(self) -> None:
        """Initializes without crashes."""
        self._times: dict[str, timedelta] = {}

    def __repr__(self) -> str:
        """Returns the number of upstreams."""
        return f'<RecentCrashes of {len(self._times)} upstreams>'

    @property
    def upstreams(self) -> list[str]:
        """The names of the upstreams, sorted."""
        return sorted(self._times)

    def record(self, upstream: str, time: timedelta) -> None:
        """Records a crash that this instance observed."""
        self._times[upstream] = time

    def record_reported(
        self, upstream: str, time: timedelta, now: timedelta
    ) -> None:
        """Records a crash that a peer reported, unless it is known or old."""
        if time > now - SETTLING_TIME:
            self._times.setdefault(upstream, time)

    def drop_old(self, now: timedelta) -> None:
        """Drops the crashes before the last `SETTLING_TIME`."""
        self._times = {
            upstream: time
            for upstream, time in self._times.items()
            if time > now - SETTLING_TIME
        }

    def dismiss_from(
        self, entries: Iterable[tuple[str, Evidence]]
    ) -> dict[str, Evidence]:
        """Returns the evidence that has crashes which a failing zone explains.

        Args:
            entries: the evidence by fingerprint.

        Returns:
            The changed evidence, without these crashes.
        """
        if len(self._times) <= MAX_CRASHED_UPSTREAMS:
            return {}
        times = sorted(self._times.values())
        changed = {}
        for fingerprint, evidence in entries:
            dismissed = evidence.dismiss(
                crash
                for crash in evidence.crashes
                if _count_near(times, crash.time) > MAX_CRASHED_UPSTREAMS
            )
            if len(dismissed.standing) < len(evidence.standing):
                changed[fingerprint] = dismissed
        return changed


def _count_near(times: list[timedelta], time: timedelta) -> int:
    """Returns how many of the sorted times lie within the spread of a time."""
    first = bisect.bisect_left(times, time - FAILURE_SPREAD)
    return bisect.bisect_right(times, time + FAILURE_SPREAD) - first
