"""Decides which changes of the owner record an instance may write.

Only the owner appoints a deputy, and only the deputy gives up its own role.
Other instances replace an incarnation only once it is proven to have ended
and its work has ended too. So a record that has not reached an instance yet
never withdraws slots that the instance still uses.
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
        limits: the limits of each upstream by its name.
        in_flight: returns the number of this instance's requests that an
            upstream may be running.
    """

    own: InstanceInfo
    live: list[InstanceInfo]
    limits: Mapping[str, UpstreamLimits]
    in_flight: InFlight


class OwnershipPlanner:
    """Plans the changes of the owner record that one instance may make.

    Args:
        allowance: the slots that the record in force allows.
        zone: the present state of the zone.
    """

    def __init__(self, allowance: SlotAllowance, zone: ZoneState) -> None:
        """Initializes the planner with the state of one moment."""
        self._allowance = allowance
        self._zone = zone
        self._own = zone.own.incarnation

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<OwnershipPlanner at {self._zone.own.name}>'

    def changes(self) -> dict[str, OwnerPair]:
        """Returns the new pair of each upstream whose pair should change."""
        changes = {}
        for name, limits in self._zone.limits.items():
            pair = self._allowance.record.pairs.get(name)
            wanted = self._plan(name, limits, pair)
            if wanted is not None and wanted != pair:
                changes[name] = wanted
        return changes

    def make_record(self, changes: Mapping[str, OwnerPair]) -> OwnerRecord:
        """Returns the next record, with the changes applied."""
        present = self._allowance.record
        pairs = {**present.pairs, **changes}
        known = dict(present.addresses)
        for info in self._zone.live:
            known[info.incarnation] = info.control_address
        used = {
            incarnation
            for pair in pairs.values()
            for incarnation in _incarnations(pair)
        }
        return OwnerRecord(
            present.epoch + 1,
            pairs,
            {each: known[each] for each in sorted(used)},
        )

    def should_hand_over(self, name: str) -> bool:
        """Returns whether this owner should leave an upstream to its deputy."""
        pair = self._allowance.record.pairs.get(name)
        if pair is None or pair.owner != self._own or not pair.deputy:
            return False
        order = self._order(name)
        if pair.deputy not in order or not self._allowance.is_responsive(
            pair.deputy
        ):
            return False
        if self._own not in order:
            return True
        return order.index(pair.deputy) < order.index(self._own)

    def _plan(
        self, name: str, limits: UpstreamLimits, pair: OwnerPair | None
    ) -> OwnerPair | None:
        order = self._order(name)
        if pair is None:
            return self._claim(order)
        if pair.owner == self._own:
            return self._plan_as_owner(name, limits, pair, order)
        if pair.deputy == self._own:
            return self._plan_as_deputy(name, limits, pair, order)
        if all(
            self._allowance.has_work_ended(incarnation, limits.run_limit)
            for incarnation in _incarnations(pair)
        ):
            return self._claim(order)
        return None

    def _claim(self, order: list[str]) -> OwnerPair | None:
        if order and order[0] == self._own:
            return OwnerPair(self._own)
        return None

    def _plan_as_owner(
        self,
        name: str,
        limits: UpstreamLimits,
        pair: OwnerPair,
        order: list[str],
    ) -> OwnerPair | None:
        if pair.deputy and not self._allowance.has_work_ended(
            pair.deputy,
            limits.run_limit,
        ):
            is_handed_over = (
                limits.slots and self._allowance.granted(name) >= limits.slots
            )
            if is_handed_over and not self._zone.in_flight(name):
                return OwnerPair(pair.deputy)
            return None
        others = (each for each in order if each != self._own)
        return OwnerPair(self._own, next(others, ''))

    def _plan_as_deputy(
        self,
        name: str,
        limits: UpstreamLimits,
        pair: OwnerPair,
        order: list[str],
    ) -> OwnerPair | None:
        if self._allowance.has_work_ended(pair.owner, limits.run_limit):
            return OwnerPair(self._own)
        is_idle = not self._zone.in_flight(name)
        has_no_slots = not self._allowance.usable_slots(name, limits)
        if is_idle and has_no_slots and self._own not in order[:2]:
            return OwnerPair(pair.owner) if len(order) > 1 else None
        return None

    def _order(self, name: str) -> list[str]:
        return [
            info.incarnation
            for info in rank(name, self._zone.live)
            if not self._allowance.has_ended(info.incarnation)
        ]


def _incarnations(pair: OwnerPair) -> list[str]:
    return [each for each in (pair.owner, pair.deputy) if each]
