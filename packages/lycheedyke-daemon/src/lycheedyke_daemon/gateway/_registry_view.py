"""This instance's view of the registry: routing, upstreams and entries."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from datetime import timedelta

from lycheedyke.clock import Clock
from lycheedyke.coordination import (
    ConfigurationArrivals,
    ConfigurationDocuments,
)
from lycheedyke.protocol import (
    EntryFault,
    EntryRecord,
    EvacuationRecord,
    QuarantineRecord,
    RegistryItem,
    RegistryRecord,
    RoutingRecord,
    SuspectRecord,
    UpstreamRecord,
)
from lycheedyke.state import (
    Counters,
    HostHomes,
    RouteTable,
    RouteUse,
    StoredEvidence,
    Suspects,
    UpstreamTable,
)
from lycheedyke.state.demand import ArrivalCounts

MILLISECOND = timedelta(milliseconds=1)
# An instance whose record is missing may be disconnected and still run, so it
# counts for this long.
ENTRY_RETENTION = timedelta(minutes=10)

_logger = logging.getLogger(__name__)


class RegistryView:
    """The configuration in force, the upstreams and the entry instances.

    Args:
        upstream_table: holds the upstreams.
        suspects: holds the requests in quarantine.
        counters: counts entries of configurations that can't be read.
        clock: measures how long ago an entry instance was last listed.

    Attributes:
        configuration_arrivals: tells where configurations came from.
        documents: the contents of the latest configurations.
    """

    def __init__(
        self,
        upstream_table: UpstreamTable,
        suspects: Suspects,
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Starts without a configuration, upstreams and entry instances."""
        self.table: RouteTable | None = None
        self.entries: dict[str, EntryRecord] = {}
        self.on_entry_removed: Callable[[str], None] | None = None
        self.on_routes_changed: Callable[[frozenset[str]], None] | None = None
        self.in_force = asyncio.Event()
        self.configuration_arrivals = ConfigurationArrivals(clock)
        self.documents = ConfigurationDocuments()
        self.evidence = StoredEvidence(suspects, clock)
        self.route_use = RouteUse(clock)
        self.arrivals = ArrivalCounts()
        self._upstream_table = upstream_table
        self._suspects = suspects
        self._counters = counters
        self._clock = clock
        self._evacuated: set[str] = set()
        self._last_listed: dict[str, timedelta] = {}
        self._leaving: dict[str, str] = {}

    def __repr__(self) -> str:
        """Returns the number of the configuration in force."""
        return f'<RegistryView of version {self.number}>'

    @property
    def number(self) -> int:
        """The number of the configuration in force; 0 if there is none."""
        return self.table.number if self.table else 0

    def homes_of(self, host: str) -> HostHomes | None:
        """Returns the homes of a host's routes; None if not restricted."""
        if self.table is None:
            return None
        return self.table.homes_of(host, self.route_use.is_in_use)

    @property
    def idle_limit(self) -> timedelta | None:
        """How long callers' connections may be idle; None if not known."""
        return self.table.limits.idle_timeout if self.table else None

    def active_entries(self) -> list[EntryRecord]:
        """Returns the entry instances that have not announced a stop."""
        return [
            entry
            for entry in self.entries.values()
            if self._leaving.get(entry.name) != entry.incarnation
        ]

    def mark_leaving(self, entry: EntryRecord) -> None:
        """Marks this incarnation of an entry instance as leaving."""
        if self._leaving.get(entry.name) != entry.incarnation:
            _logger.info('entry instance leaving', extra={'peer': entry.name})
        self._leaving[entry.name] = entry.incarnation

    @property
    def max_instances(self) -> int:
        """The maximum number of entry instances that may be running.

        It counts the instances that were listed within `ENTRY_RETENTION`.
        """
        now = self._clock.elapsed()
        self._last_listed.update(dict.fromkeys(self.entries, now))
        self._last_listed = {
            name: listed
            for name, listed in self._last_listed.items()
            if now - listed < ENTRY_RETENTION
        }
        return max(1, len(self._last_listed))

    def apply(self, item: RegistryItem, before: RegistryRecord | None) -> None:
        """Applies a change of the registry.

        Args:
            item: the item after the change.
            before: its record before the change.
        """
        match item.record:
            case RoutingRecord() as routing:
                self._apply_routing(routing, item.revision)
            case UpstreamRecord() as upstream:
                self._apply_upstream(upstream, before)
            case EvacuationRecord(zone):
                self._evacuate(zone)
            case EntryRecord() as entry:
                self._apply_entry(entry)
            case QuarantineRecord(fingerprint):
                self._suspects.register(fingerprint)
            case SuspectRecord() as suspect:
                self.evidence.register(suspect)
            case None:
                self._apply_removal(before)

    def _apply_routing(self, routing: RoutingRecord, revision: int) -> None:
        if routing.number <= self.number:
            return
        self.table = RouteTable(routing)
        self.documents.of(routing)
        self.in_force.set()
        self.route_use.retain(frozenset(route.name for route in routing.routes))
        if self.on_routes_changed is not None:
            self.on_routes_changed(
                frozenset(route.name for route in routing.routes)
            )
        tenants = self.table.tenants
        _logger.info(
            'configuration in force',
            extra={
                'version': routing.number,
                'routes': len(routing.routes),
                'tenants': 0 if tenants is None else len(tenants),
                **self.configuration_arrivals.describe(revision),
            },
        )
        self._report_faults(
            (*routing.faults, *(tenants.faults if tenants else ()))
        )

    def _report_faults(self, faults: Iterable[EntryFault]) -> None:
        """Logs and counts the entries of a configuration that are not used."""
        for fault in faults:
            self._counters.count(f'configuration.{fault.kind.value}-unreadable')
            _logger.warning(
                'configuration entry not understood',
                extra={
                    'version': self.number,
                    'kind': fault.kind.value,
                    'entry': fault.name,
                    'fault': fault.fault,
                    'in_force': fault.in_force,
                },
            )

    def _apply_upstream(
        self,
        upstream: UpstreamRecord,
        before: RegistryRecord | None,
    ) -> None:
        self._upstream_table.apply(upstream)
        known = before if isinstance(before, UpstreamRecord) else None
        fields = {'upstream': upstream.name, 'service': upstream.service}
        if known is None:
            _logger.info('upstream seen', extra=fields)
        elif upstream.leaving and not known.leaving:
            _logger.info(
                'upstream leaving', extra={**fields, 'told_by': 'registry'}
            )
        if upstream.cold and not (known is not None and known.cold):
            left = upstream.cold // MILLISECOND
            _logger.info('upstream cold', extra={**fields, 'cold_ms': left})

    def _apply_entry(self, entry: EntryRecord) -> None:
        if self.entries.get(entry.name) != entry:
            _logger.info('entry instance seen', extra={'peer': entry.name})
        self.entries[entry.name] = entry

    def _evacuate(self, zone: str) -> None:
        self._evacuated.add(zone)
        self._upstream_table.evacuated_zones = frozenset(self._evacuated)
        _logger.info('zone evacuated', extra={'zone_name': zone})

    def _apply_removal(self, before: RegistryRecord | None) -> None:
        match before:
            case UpstreamRecord(name):
                self._upstream_table.remove(name)
                _logger.info('upstream gone', extra={'upstream': name})
            case EvacuationRecord(zone):
                self._evacuated.discard(zone)
                self._upstream_table.evacuated_zones = frozenset(
                    self._evacuated
                )
                _logger.info('zone taken back', extra={'zone_name': zone})
            case EntryRecord(name):
                self.entries.pop(name, None)
                self._leaving.pop(name, None)
                _logger.info('entry instance gone', extra={'peer': name})
                if self.on_entry_removed is not None:
                    self.on_entry_removed(name)
            case QuarantineRecord(fingerprint):
                self._suspects.unregister(fingerprint)
            case SuspectRecord(fingerprint):
                self.evidence.unregister(fingerprint)
            case RoutingRecord() | None:
                # The last readable configuration stays in force.
                return
