"""Totals of the requests that arrive at each zone, and how old they are."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lycheedyke.state.demand._arrivals import MAX_SERVICES

MAX_AGE = timedelta(seconds=3)
# Until it is this old, a total is not replaced by one of less than half as
# many instances: both come from instances that are partly cut off.
PARTIAL_AGE = timedelta(seconds=1.5)
MAX_REPORTERS = 256


class ZoneTotal(NamedTuple):
    """The requests that arrive at the instances of one zone.

    Attributes:
        zone: the zone.
        reporters: the number of instances that are counted.
        measured_at: when, by the local clock.
        rates: the requests of each service, in tenths per second.
    """

    zone: str
    reporters: int
    measured_at: timedelta
    rates: Mapping[str, int]


class ZoneReports:
    """The reports of the instances of one zone.

    Args:
        zone: the zone.
    """

    def __init__(self, zone: str) -> None:
        """Starts without reports."""
        self._zone = zone
        self._reports: dict[str, tuple[timedelta, Mapping[str, int]]] = {}

    def __repr__(self) -> str:
        """Returns the zone and the number of reports."""
        return f'<ZoneReports of {self._zone}: {len(self._reports)}>'

    def add(self, name: str, rates: Mapping[str, int], now: timedelta) -> None:
        """Adds the report of an instance; it replaces the one before."""
        self._drop_old(now)
        if name in self._reports or len(self._reports) < MAX_REPORTERS:
            self._reports[name] = (now, rates)

    def total(self, now: timedelta) -> ZoneTotal | None:
        """Returns the total of the reports that are not too old, if any."""
        self._drop_old(now)
        if not self._reports:
            return None
        rates: Counter[str] = Counter()
        ages = timedelta()
        for reported_at, each in self._reports.values():
            rates.update(each)
            ages += now - reported_at
        count = len(self._reports)
        return ZoneTotal(
            self._zone,
            count,
            now - ages / count,
            dict(rates.most_common(MAX_SERVICES)),
        )

    def _drop_old(self, now: timedelta) -> None:
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report[0] <= MAX_AGE
        }


class DemandTotals:
    """The latest known total of each zone.

    Args:
        zones: the zones of which totals are kept.
    """

    def __init__(self, zones: Collection[str]) -> None:
        """Starts without totals."""
        self._zones = frozenset(zones)
        self._totals: dict[str, ZoneTotal] = {}

    def __repr__(self) -> str:
        """Returns the number of zones with totals."""
        return f'<DemandTotals of {len(self._totals)} zones>'

    def merge(self, totals: Iterable[ZoneTotal], now: timedelta) -> None:
        """Adds totals that are newer than the known ones."""
        for total in totals:
            is_usable = (
                total.zone in self._zones and now - total.measured_at <= MAX_AGE
            )
            if is_usable and self._is_better(total, now):
                self._totals[total.zone] = total

    def current(self, now: timedelta) -> list[ZoneTotal]:
        """Returns the totals that are not too old."""
        self._totals = {
            zone: total
            for zone, total in self._totals.items()
            if now - total.measured_at <= MAX_AGE
        }
        return list(self._totals.values())

    def _is_better(self, total: ZoneTotal, now: timedelta) -> bool:
        held = self._totals.get(total.zone)
        if held is None:
            return True
        is_partial = 2 * total.reporters < held.reporters
        is_held_recent = now - held.measured_at < PARTIAL_AGE
        if is_partial and is_held_recent:
            return False
        return total.measured_at > held.measured_at
