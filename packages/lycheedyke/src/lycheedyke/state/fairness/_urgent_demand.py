"""The demand of more urgent requests, for which slots are reserved."""

from collections import OrderedDict
from datetime import timedelta

from lycheedyke.state._bounded import keep_recent
from lycheedyke.state.fairness._decay import DecayingSum

MAX_PRIORITIES = 16
DEMAND_TIME = timedelta(seconds=2)
# Without a request of a priority for this long, no slot is reserved for it.
DEMAND_LIFE = timedelta(seconds=4)
# How long an urgent request that had to wait keeps others out of the reserved
# slots altogether; beyond it, they only expect to wait longer.
WAIT_LIFE = timedelta(seconds=2)
# The least share of an upstream's slots that is reserved while there is demand.
MIN_RESERVED_SHARE = 1 / 3


class _Demand:
    def __init__(self) -> None:
        self.slot_time = DecayingSum(DEMAND_TIME)
        self.seen_at = timedelta()
        self.waited_at: timedelta | None = None


class UrgentDemand:
    """The slot time that the requests of one service asked for, by priority."""

    def __init__(self) -> None:
        """Initializes without demand."""
        self._demands: OrderedDict[str, _Demand] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the number of priorities."""
        return f'<UrgentDemand of {len(self._demands)} priorities>'

    def record(self, priority: float, seconds: float, now: timedelta) -> None:
        """Records the slot time that a request asks for."""
        key = str(priority)
        found = self._demands.get(key) or _Demand()
        keep_recent(self._demands, key, found, MAX_PRIORITIES)
        found.slot_time.add(seconds, now)
        found.seen_at = now

    def reserved_share(self, priority: float, now: timedelta) -> float:
        """Returns the share of slots that requests of a priority don't get."""
        total: float = 0
        urgent: float = 0
        is_seen = False
        for key, demand in self._demands.items():
            slot_time = demand.slot_time.at(now)
            total += slot_time
            if float(key) < priority:
                urgent += slot_time
                is_seen = is_seen or now - demand.seen_at <= DEMAND_LIFE
        if not is_seen:
            return 0
        return max(MIN_RESERVED_SHARE, urgent / total)

    def record_wait(self, priority: float | None, now: timedelta) -> None:
        """Records that a request had to wait or was refused."""
        found = self._demands.get(str(priority))
        if found is not None:
            found.waited_at = now

    def is_urgent_waiting(self, priority: float | None, now: timedelta) -> bool:
        """Returns whether more urgent requests had to wait lately."""
        return any(
            demand.waited_at is not None and now - demand.waited_at <= WAIT_LIFE
            for key, demand in self._demands.items()
            if priority is not None and float(key) < priority
        )
