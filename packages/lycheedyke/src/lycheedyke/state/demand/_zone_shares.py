"""Determines from the demand of each zone which zones serve its callers."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

import xxhash

from lycheedyke.state._entry_lists import (
    ZoneCapacity,
    compute_zone_shares,
    slot_shares,
)

# Demand that differs less than this from an even one is taken as even.
EVEN_TOLERANCE = 0.2
# Callers who were sent away, though their own zone could serve them now, come
# back at this fraction of the pace. If demand goes up and down, they would
# have to leave again before they had all come back.
RETURN_FRACTION = 0.125
# A smaller share that does not grow is dropped.
MIN_SHARE = 0.005
NEGLIGIBLE = 1e-9

Shares = Mapping[str, Mapping[str, float]]


def deviation_of(zones: Collection[str], demand: Mapping[str, float]) -> float:
    """Returns the greatest relative difference of a zone from even demand.

    Args:
        zones: all zones; those without known demand count as even.
        demand: the known demand of zones, in any unit.
    """
    known = [demand[zone] for zone in zones if zone in demand]
    mean = sum(known) / len(known) if known else 0
    if mean <= 0:
        return 0
    return max(abs(each / mean - 1) for each in known)


def steer_shares(
    before: Shares,
    capacities: Collection[ZoneCapacity],
    demand: Mapping[str, float],
    max_step: float,
) -> dict[str, dict[str, float]]:
    """Returns the next share of each zone's callers that goes to each zone.

    A zone serves its own callers first. Callers leave a zone only as far as
    it would be overloaded: first those of other zones whose own zone has
    spare slots, then the other ones, its own callers last. They go to zones
    with spare slots: to those of their own region first, and to other regions
    in proportion to their spare slots. In a region, they go to the zones that
    serve them already first, as these have loaded their objects.

    A zone is overloaded if its share of all demand exceeds its share of all
    slots.

    Args:
        before: the present shares of each zone's callers.
        capacities: the capacity of each zone.
        demand: the expected demand of each zone's callers, in any unit; a zone
            that is not named is taken to have a mean demand, and its callers
            are not moved.
        max_step: the maximum share of a zone's callers that may change their
            region.
    """
    static = compute_zone_shares(capacities)
    step = _Step(before, static, capacities, demand, max_step)
    step.relieve()
    step.bring_back()
    return {
        zone: step.row(zone) if zone in demand else shares
        for zone, shares in static.items()
    }


class _Step:
    """One step of the shares; loads and slots are fractions of the whole."""

    def __init__(
        self,
        before: Shares,
        static: Shares,
        capacities: Collection[ZoneCapacity],
        demand: Mapping[str, float],
        max_step: float,
    ) -> None:
        self._regions = {each.zone: each.region for each in capacities}
        self._slots = slot_shares(capacities)
        self._by_region = _group(self._slots, self._regions)
        self._demand = _fractions(self._regions, demand)
        self._rows = {
            zone: self._usable(before.get(zone, shares))
            for zone, shares in static.items()
        }
        for name, shares in static.items():
            self._rows[name] = self._rows[name] or dict(shares)
        self._held = {zone: dict(row) for zone, row in self._rows.items()}
        self._movable = [zone for zone in sorted(self._rows) if zone in demand]
        # The share of each zone's callers that may still change region.
        self._left = dict.fromkeys(self._movable, max_step)
        self._return_step = max_step * RETURN_FRACTION
        self._loads: defaultdict[str, float] = defaultdict(float)
        for callers, row in self._rows.items():
            for target, share in row.items():
                self._loads[target] += share * self._demand[callers]

    def row(self, zone: str) -> dict[str, float]:
        """Returns the shares of a zone's callers, without negligible ones."""
        row = {
            target: share
            for target, share in self._rows[zone].items()
            if share > min(MIN_SHARE, self._held[zone].get(target, 0))
        }
        total = sum(row.values())
        return {target: share / total for target, share in row.items()}

    def relieve(self) -> None:
        """Moves callers from overloaded zones to those with spare slots."""
        zones = sorted(
            self._slots,
            key=lambda name: (-self._loads[name] / self._slots[name], name),
        )
        for zone in zones:
            self._send_home(zone)
            for callers in sorted(self._movable, key=zone.__eq__):
                self._send_away(callers, zone)

    def bring_back(self) -> None:
        """Moves callers slowly to their own zone as far as it has spare slots."""
        for zone in self._movable:
            row = self._rows[zone]
            self._left[zone] = min(self._left[zone], self._return_step)
            others = [target for target in row if target != zone]
            away = sum(row[target] for target in others)
            if not away or zone not in self._slots:
                continue
            amount = min(self._left[zone] * self._demand[zone], away)
            amount = min(amount, self._spare(zone))
            for target in others:
                self._move(zone, target, zone, amount * row[target] / away)

    def _usable(self, row: Mapping[str, float]) -> dict[str, float]:
        """Returns the shares among the zones with slots."""
        held = {
            zone: share
            for zone, share in row.items()
            if share > 0 and zone in self._slots
        }
        total = sum(held.values())
        return {zone: share / total for zone, share in held.items()}

    def _send_home(self, zone: str) -> None:
        """Sends callers of other zones back, as far as these have slots."""
        for home in self._movable:
            if home != zone and home in self._slots:
                amount = min(self._excess(zone), self._spare(home))
                self._move(home, zone, home, amount)

    def _send_away(self, callers: str, zone: str) -> None:
        """Sends callers that an overloaded zone serves to other zones."""
        region = self._regions[callers]
        self._fill(
            callers,
            zone,
            self._by_region[region],
            min(self._excess(zone), self._spare_of(region)),
        )
        spare = {
            name: self._spare_of(name)
            for name in self._by_region
            if name != region
        }
        total = sum(spare.values())
        amount = min(
            self._excess(zone),
            total,
            self._rows[callers].get(zone, 0) * self._demand[callers],
            self._left[callers] * self._demand[callers],
        )
        if amount > NEGLIGIBLE:
            for name, part in spare.items():
                targets = self._by_region[name]
                self._fill(callers, zone, targets, amount * part / total)

    def _fill(
        self, callers: str, zone: str, targets: Iterable[str], amount: float
    ) -> None:
        for target in self._ranked(callers, targets):
            amount -= self._move(
                callers, zone, target, min(amount, self._spare(target))
            )

    def _move(
        self, callers: str, source: str, target: str, amount: float
    ) -> float:
        """Moves demand of callers, as far as they may; returns how much."""
        demand = self._demand[callers]
        row = self._rows[callers]
        if amount <= NEGLIGIBLE or demand <= 0 or source == target:
            return 0
        share = min(amount / demand, row.get(source, 0), self._left[callers])
        self._left[callers] -= share
        row[source] = row.get(source, 0) - share
        row[target] = row.get(target, 0) + share
        self._loads[source] -= share * demand
        self._loads[target] += share * demand
        return share * demand

    def _spare_of(self, region: str) -> float:
        return sum(map(self._spare, self._by_region[region]))

    def _excess(self, zone: str) -> float:
        return max(0, self._loads[zone] - self._slots.get(zone, 0))

    def _spare(self, zone: str) -> float:
        return max(0, self._slots[zone] - self._loads[zone])

    def _ranked(self, callers: str, targets: Iterable[str]) -> list[str]:
        """Returns zones, those first that serve the callers already."""
        row = self._rows[callers]
        return sorted(
            targets,
            key=lambda target: (
                -row.get(target, 0),
                xxhash.xxh64_intdigest(f'{callers} {target}'.encode()),
            ),
        )


def _fractions(
    zones: Collection[str], demand: Mapping[str, float]
) -> dict[str, float]:
    """Returns the fraction of all demand that each zone has."""
    known = [demand[zone] for zone in zones if zone in demand]
    mean = sum(known) / len(known) if known else 1
    if mean <= 0:
        return dict.fromkeys(zones, 1 / max(1, len(zones)))
    return {zone: demand.get(zone, mean) / mean / len(zones) for zone in zones}


def _group(
    zones: Collection[str], regions: Mapping[str, str]
) -> dict[str, list[str]]:
    """Returns the zones of each region."""
    return {
        region: [zone for zone in sorted(zones) if regions[zone] == region]
        for region in sorted(set(regions.values()))
    }
