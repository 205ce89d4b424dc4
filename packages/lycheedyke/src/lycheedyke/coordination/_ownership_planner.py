"""Which changes of the owner record an instance may write.

Only the owner appoints a deputy, only the deputy gives up its own part, and
others replace an incarnation only once it is proven dead and its work has
ended. So a record that an instance does not know yet never takes a right
from it.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from lycheedyke.coordination._owner_ranking import rank
from lycheedyke.coordination._slot_allowance import (
    SlotAllowance,
    UpstreamLimits,
)
from lycheedyke.protocol import InstanceInfo, OwnerPair, OwnerRecord

InFlight = Callable[[str], int]


class ZoneState(NamedTuple):
    """What an instance knows of its zone.

    Attributes:
        own: this instance.
        live: the instances that may own upstreams.
        limits: upstream name to its size.
        in_flight: returns the own requests that an upstream may be running.
    """

    own: InstanceInfo
    live: list[InstanceInfo]
    limits: Mapping[str, UpstreamLimits]
    in_flight: InFlight


class OwnershipPlanner:
    """Plans the changes that are permitted to one instance.

    Args:
        rights: the rights under the record in force.
        zone: the zone as known now.
    """

    def __init__(self, rights: SlotAllowance, zone: ZoneState) -> None:
        """Makes a planner for one moment."""
        self._rights = rights
        self._zone = zone
        self._own = zone.own.incarnation

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<Planner at {self._zone.own.name}>'

    def changes(self) -> dict[str, OwnerPair]:
        """Returns the new pair of each upstream to change."""
        found = {}
        for name, size in self._zone.limits.items():
            pair = self._rights.record.pairs.get(name)
            wanted = self._next(name, size, pair)
            if wanted is not None and wanted != pair:
                found[name] = wanted
        return found

    def make_record(self, changes: Mapping[str, OwnerPair]) -> OwnerRecord:
        """Returns the record with the changes made."""
        present = self._rights.record
        pairs = {**present.pairs, **changes}
        known = dict(present.addresses)
        for info in self._zone.live:
            known[info.incarnation] = info.control_address
        used = {one for pair in pairs.values() for one in _members(pair)}
        return OwnerRecord(
            present.epoch + 1,
            pairs,
            {one: known[one] for one in sorted(used)},
        )

    def should_hand_over(self, name: str) -> bool:
        """Returns whether this owner should leave an upstream to its deputy."""
        pair = self._rights.record.pairs.get(name)
        if pair is None or pair.owner != self._own or not pair.deputy:
            return False
        order = self._order(name)
        if pair.deputy not in order or not self._rights.is_responsive(
            pair.deputy
        ):
            return False
        if self._own not in order:
            return True
        return order.index(pair.deputy) < order.index(self._own)

    def _next(
        self, name: str, size: UpstreamLimits, pair: OwnerPair | None
    ) -> OwnerPair | None:
        order = self._order(name)
        if pair is None:
            return self._claim(order)
        if pair.owner == self._own:
            return self._next_as_owner(name, size, pair, order)
        if pair.deputy == self._own:
            return self._next_as_deputy(name, size, pair, order)
        if all(
            self._rights.has_work_ended(one, size.run_limit)
            for one in _members(pair)
        ):
            return self._claim(order)
        return None

    def _claim(self, order: list[str]) -> OwnerPair | None:
        if order and order[0] == self._own:
            return OwnerPair(self._own)
        return None

    def _next_as_owner(
        self,
        name: str,
        size: UpstreamLimits,
        pair: OwnerPair,
        order: list[str],
    ) -> OwnerPair | None:
        if pair.deputy and not self._rights.has_work_ended(
            pair.deputy,
            size.run_limit,
        ):
            is_left = size.slots and self._rights.granted(name) >= size.slots
            if is_left and not self._zone.in_flight(name):
                return OwnerPair(pair.deputy)
            return None
        others = (one for one in order if one != self._own)
        return OwnerPair(self._own, next(others, ''))

    def _next_as_deputy(
        self,
        name: str,
        size: UpstreamLimits,
        pair: OwnerPair,
        order: list[str],
    ) -> OwnerPair | None:
        if self._rights.has_work_ended(pair.owner, size.run_limit):
            return OwnerPair(self._own)
        is_idle = not self._zone.in_flight(name)
        has_no_right = not self._rights.usable_slots(name, size)
        if is_idle and has_no_right and self._own not in order[:2]:
            return OwnerPair(pair.owner) if len(order) > 1 else None
        return None

    def _order(self, name: str) -> list[str]:
        return [
            info.incarnation
            for info in rank(name, self._zone.live)
            if not self._rights.has_ended(info.incarnation)
        ]


def _members(pair: OwnerPair) -> list[str]:
    return [one for one in (pair.owner, pair.deputy) if one]
