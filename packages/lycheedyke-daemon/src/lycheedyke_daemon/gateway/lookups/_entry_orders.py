"""The orders in which callers use the instances of each zone."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lycheedyke.protocol import EntryRecord
from lycheedyke.state import list_entries
from lycheedyke.state.demand import (
    EntryStrength,
    ZoneOrders,
    equal_strengths,
    list_by_strength,
    relative_strengths,
)


class Callers(NamedTuple):
    """The callers that get the same shares.

    Attributes:
        host: the host of their requests.
        zone: their zone.
        homes: the regions that they are restricted to; empty if they are not.
    """

    host: str
    zone: str
    homes: frozenset[str]


class ListPlan(NamedTuple):
    """What the lists of some callers depend on.

    Attributes:
        zone: their zone.
        shares: the share of each zone.
        entries: the addresses of each zone that they may use.
        orders: the orders of the classes of callers; None if all callers get
            the same list.
    """

    zone: str
    shares: Mapping[str, float]
    entries: Mapping[str, tuple[str, ...]]
    orders: Mapping[str, ZoneOrders] | None

    def list_for(self, of_class: int) -> list[str]:
        """Returns the addresses for a class of callers."""
        listed: list[str] = []
        if self.orders is not None:
            listed = list_by_strength(of_class, self.shares, self.orders)
        return listed or list_entries(
            self.zone, dict(self.shares), dict(self.entries)
        )


class EntryOrders:
    """Orders of instances by capacity, computed where instances change."""

    def __init__(self) -> None:
        """Starts without instances."""
        self._strengths: dict[str, tuple[EntryStrength, ...]] = {}
        self._orders: dict[str, ZoneOrders] = {}

    def __repr__(self) -> str:
        """Returns the zones."""
        return f'<EntryOrders of {sorted(self._strengths)}>'

    def update(self, entries: Iterable[EntryRecord]) -> None:
        """Sets the instances."""
        found: defaultdict[str, list[EntryStrength]] = defaultdict(list)
        for entry in entries:
            found[entry.zone].append(
                EntryStrength(
                    entry.caller_address, entry.capacity, entry.link_mbps
                )
            )
        strengths = {zone: tuple(sorted(each)) for zone, each in found.items()}
        for zone, before in self._strengths.items():
            if strengths.get(zone) != before:
                self._orders.pop(zone, None)
        self._strengths = strengths

    def for_callers(
        self, zone: str, used: Iterable[str]
    ) -> dict[str, ZoneOrders] | None:
        """Returns the orders of the zones that callers use.

        Args:
            zone: the zone of the callers.
            used: the zones with instances that they use.

        Returns:
            None if the instances of their own zone have the same capacity, or
            the capacity of any of them is not known.
        """
        if relative_strengths(self._strengths.get(zone, ())) is None:
            return None
        return {name: self._of(name) for name in used}

    def _of(self, zone: str) -> ZoneOrders:
        orders = self._orders.get(zone)
        if orders is None:
            strengths = self._strengths.get(zone, ())
            orders = ZoneOrders(
                relative_strengths(strengths) or equal_strengths(strengths)
            )
            self._orders[zone] = orders
        return orders
