"""Whether this instance may issue the full quotas of tenants."""

from collections import deque
from datetime import timedelta

# All instances learn within this time that another one is listed.
KNOWN_TIME = timedelta(seconds=2)
# A pause of the process after which others may have replaced it.
MAX_PAUSE = timedelta(seconds=1)
# An issuer that reaches a smaller share of its sample is demoted.
REACHED_SHARE = 0.5
REACH_ROUNDS = 2


class IssuerStatus:
    """Decides whether an instance that ranks first issues in full.

    At most one instance may do so for each tenant. A new instance waits until
    the other candidates know it, and one that reaches less than half of a
    sample of its peers stops, as others may have replaced it.
    """

    def __init__(self) -> None:
        """Initializes an instance that is not listed."""
        self._listed_at: timedelta | None = None
        self._is_known = False
        self._checked_at: timedelta | None = None
        self._reached: deque[int] = deque(maxlen=REACH_ROUNDS)
        self._asked: deque[int] = deque(maxlen=REACH_ROUNDS)

    def __repr__(self) -> str:
        """Returns the state."""
        return f'<IssuerStatus known={self._is_known}>'

    @property
    def is_demoted(self) -> bool:
        """Whether too few peers were reached."""
        return sum(self._reached) < REACHED_SHARE * sum(self._asked)

    def check(self, now: timedelta, *, is_listed: bool) -> bool:
        """Records that the process runs, and whether it is listed.

        Returns:
            Whether the instance has just been listed, so that the other
            candidates must be told.
        """
        if self._has_paused(now):
            self.distrust(now)
        self._checked_at = now
        is_new = is_listed and self._listed_at is None
        if not is_listed:
            self._listed_at = None
        elif is_new:
            self._listed_at = now
            self._is_known = False
        return is_new

    def mark_known(self) -> None:
        """Records that all other candidates know this instance."""
        self._is_known = True

    def distrust(self, now: timedelta) -> None:
        """Waits until this instance has learned of its replacement."""
        self._is_known = False
        if self._listed_at is not None:
            self._listed_at = now

    def record_reach(self, reached: int, asked: int, now: timedelta) -> None:
        """Records how many peers of a sample have answered."""
        was_demoted = self.is_demoted
        self._reached.append(reached)
        self._asked.append(asked)
        if was_demoted and not self.is_demoted:
            self.distrust(now)

    def may_issue(self, now: timedelta) -> bool:
        """Returns whether to issue in full where this instance ranks first."""
        if self._listed_at is None or self.is_demoted or self._has_paused(now):
            return False
        return self._is_known or now - self._listed_at >= KNOWN_TIME

    def _has_paused(self, now: timedelta) -> bool:
        checked = self._checked_at
        return checked is not None and now - checked > MAX_PAUSE
