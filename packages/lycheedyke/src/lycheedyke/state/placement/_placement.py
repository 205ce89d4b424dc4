"""Chooses among the homes of an object."""

import logging
import math
import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence, Sized
from datetime import timedelta

from lycheedyke.state._bounded import keep_recent
from lycheedyke.state._upstream_state import UpstreamState
from lycheedyke.state.placement._home_table import (
    LOAD_BOUND,
    Home,
    assign_homes,
)
from lycheedyke.state.placement._object_use import ObjectUse, Popularity
from lycheedyke.state.placement._pools import Pools
from lycheedyke.state.placement._ranking import Ranking

# How often homes are assigned anew. Between, an object keeps its homes, so
# that they stay warm.
ASSIGN_INTERVAL = timedelta(seconds=5)
# Popular objects of a pool with less use of its slots need fewer homes.
BUSY_USE = 0.3
# Reports of the load of upstreams count for so long.
REPORT_LIFE = timedelta(seconds=5)
# A change of the homes of a service is logged once in this time.
LOG_INTERVAL = timedelta(seconds=30)
# More services than one deployment has; removed ones would stay without it.
MAX_SERVICES = 256

_logger = logging.getLogger(__name__)


class Placement:
    """Gives popular objects as many homes as their load needs.

    Args:
        max_homes: the maximum number of homes of an object in a pool; 1 leaves
            each object at its first home, 0 gives it none.
        pools: the pools of upstreams.
        zone: the zone of this instance.
    """

    def __init__(self, max_homes: int, pools: Pools, zone: str) -> None:
        """Initializes without objects."""
        self.max_homes = max_homes
        self._pools = pools
        self._zone = zone
        self._services: OrderedDict[str, _ServiceHomes] = OrderedDict()

    def __repr__(self) -> str:
        """Returns the zone and the maximum number of homes."""
        return f'<Placement in {self._zone} of {self.max_homes} homes>'

    @property
    def is_spread(self) -> bool:
        """Whether load decides where requests run."""
        return self.max_homes != 1

    def record(self, service: str, object_key: str, now: timedelta) -> None:
        """Counts a request for an object."""
        if self.max_homes > 1 and object_key:
            found = self._services.get(service)
            if found is None:
                found = _ServiceHomes(service, self.max_homes)
            keep_recent(self._services, service, found, MAX_SERVICES)
            found.use.record(object_key, now)

    def choose(
        self,
        service: str,
        object_key: str,
        first: str,
        states: Sequence[UpstreamState],
        now: timedelta,
    ) -> str:
        """Returns the home for the next request of an object.

        Args:
            service: the service of the request.
            object_key: the key of the object.
            first: the first home of the object.
            states: the upstreams that may run the request.
            now: the time of the choice.
        """
        found = self._services.get(service)
        if found is None:
            return first
        if found.is_due(now):
            found.assign(self._pools.members(self._zone, states), now)
        return found.choose(object_key, states, now) or first


class _ServiceHomes:
    """The homes of the popular objects of one service."""

    def __init__(self, service: str, max_homes: int) -> None:
        self.use = ObjectUse()
        self._service = service
        self._max_homes = max_homes
        self._homes: dict[str, tuple[Home, ...]] = {}
        self._ranking = Ranking(frozenset())
        self._assigned_at: timedelta | None = None
        self._logged_at = -LOG_INTERVAL

    def is_due(self, now: timedelta) -> bool:
        if self._assigned_at is None:
            return True
        return now - self._assigned_at >= ASSIGN_INTERVAL

    def assign(self, members: Sequence[UpstreamState], now: timedelta) -> None:
        self._assigned_at = now
        slots = {state.record.name: state.record.slots for state in members}
        if self._ranking.names != slots.keys():
            self._ranking = Ranking(frozenset(slots))
        popularity = self.use.popularity(now, len(slots))
        self._ranking.retain((*popularity.plain, *popularity.popular))
        bound = LOAD_BOUND * _idle_factor(members, now)
        homes = assign_homes(
            popularity, slots, self._ranking, self._max_homes, bound
        )
        if homes != self._homes and now >= self._logged_at + LOG_INTERVAL:
            self._logged_at = now
            self._tell(popularity, homes, bound)
        self._homes = homes

    def choose(
        self,
        object_key: str,
        states: Sequence[UpstreamState],
        now: timedelta,
    ) -> str | None:
        """Returns a home by its load, or None without a usable one."""
        homes = self._homes.get(object_key)
        if homes is None:
            return None
        by_name = {state.record.name: state for state in states}
        usable = [home for home in homes if home.upstream in by_name]
        if not usable:
            return None
        chosen = random.choices(usable, [home.load for home in usable])[0]
        if _is_full(by_name[chosen.upstream], now):
            for home in usable:
                if not _is_full(by_name[home.upstream], now):
                    return home.upstream
        return chosen.upstream

    def _tell(
        self,
        popularity: Popularity,
        homes: Mapping[str, Sized],
        bound: float,
    ) -> None:
        extra = {
            'service': self._service,
            'objects': len(popularity.plain) + len(popularity.popular),
            'popular': len(popularity.popular),
            'homes': sum(map(len, homes.values())),
            'most': max(map(len, homes.values()), default=0),
            'bound': round(bound, 2),
        }
        _logger.info('homes assigned', extra=extra)


def _is_full(state: UpstreamState, now: timedelta) -> bool:
    return state.load_at(now) >= state.record.slots


def _idle_factor(states: Sequence[UpstreamState], now: timedelta) -> float:
    """Returns how far above the mean the load of a home may be.

    It is 1 if the slots are in use, and a higher power of 2 the less they are:
    instances that round to the same power agree on the homes. Without reports
    the slots count as in use.
    """
    uses = [
        state.reported.load / max(1, state.record.slots)
        for state in states
        if state.reported is not None and now - state.reported.at <= REPORT_LIFE
    ]
    if not uses:
        return 1
    use = max(sum(uses) / len(uses), 1 / 64)
    return max(1, 2.0 ** math.floor(math.log2(BUSY_USE / use)))
