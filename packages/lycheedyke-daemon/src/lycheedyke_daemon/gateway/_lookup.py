"""Answers callers' look-ups of the entry instances to use."""

import logging
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.protocol import EntryRecord
from lycheedyke.state import (
    Counters,
    HostHomes,
    RunTimeStats,
    UpstreamState,
    UpstreamTable,
    ZoneCapacity,
    compute_zone_shares,
)
from lycheedyke.state.demand import caller_class
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway.demand import DemandSteering
from lycheedyke_daemon.gateway.lookups import (
    ANYWHERE,
    Callers,
    CallerShares,
    EntryOrders,
    HostSlots,
    ListPlan,
    ZoneShares,
    count_slots,
    homes_of_tenant,
    known_homes,
    restrict_homes,
)

AUTHORIZATION = 'Authorization'
REFRESH_INTERVAL = timedelta(milliseconds=250)

_logger = logging.getLogger(__name__)


class LookupFormat(NamedTuple):
    """The request and answer format of look-ups in a deployment.

    Attributes:
        path: the path of look-ups.
        host_field: the query field with the host of the caller's requests.
        zone_field: the query field with the caller's zone.
        encode: encodes the addresses and how long callers may cache them.
    """

    path: str
    host_field: str
    zone_field: str
    encode: Callable[[list[str], timedelta], bytes]


class LookupDirectory:
    """Computes the answers to look-ups, and caches them for a short time.

    Args:
        own: this instance.
        registry_view: provides the entry instances and routes.
        upstream_table: provides the upstreams.
        times: provides the run times of the services.
        zones: the region of each zone.
        shift_most: the maximum fraction of a region's callers that may
            change their region in a window.
        clock: the time source.

    Attributes:
        steering: follows the demand of the callers; None if shares do not
            depend on it.
    """

    def __init__(
        self,
        own: EntryRecord,
        registry_view: RegistryView,
        upstream_table: UpstreamTable,
        times: RunTimeStats,
        zones: Mapping[str, str],
        shift_most: float,
        clock: Clock,
    ) -> None:
        """Starts without cached answers."""
        self.steering: DemandSteering | None = None
        self._own = own
        self._registry_view = registry_view
        self._upstream_table = upstream_table
        self._times = times
        self._zones = zones
        self._shift_most = shift_most
        self._clock = clock
        self._refreshed = timedelta()
        self._shares: dict[Callers, CallerShares] = {}
        self._answers: dict[tuple[Callers, int], list[str]] = {}
        self._plans: dict[Callers, ListPlan] = {}
        self._regions: dict[Callers, frozenset[str]] = {}
        self._orders = EntryOrders()
        # What all callers have in common, until the next refresh.
        self._entries: dict[str, tuple[str, ...]] = {}
        self._slots: dict[str, HostSlots] = {}
        self._static: dict[tuple[str, frozenset[str]], ZoneShares] = {}

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<LookupDirectory of {self._own.name}>'

    def find(
        self,
        host: str,
        zone: str,
        caller: str = '',
        authorizations: Sequence[str] = (),
    ) -> list[str]:
        """Returns the addresses for the callers of a zone.

        Args:
            host: the host of the callers' requests.
            zone: the zone of the callers.
            caller: the address of the caller.
            authorizations: the values of its `Authorization` fields.
        """
        now = self._clock.elapsed()
        if now >= self._refreshed + REFRESH_INTERVAL:
            self._refreshed = now
            self._refresh()
        table = self._registry_view.table
        callers = Callers(host, zone, homes_of_tenant(table, authorizations))
        plan = self._plans.get(callers)
        if plan is None:
            plan = self._make_plan(callers)
            self._plans[callers] = plan
        of_class = 0 if plan.orders is None else caller_class(caller)
        listed = self._answers.get((callers, of_class))
        if listed is None:
            listed = plan.list_for(of_class) or [self._own.caller_address]
            self._answers[callers, of_class] = listed
        return listed

    def _refresh(self) -> None:
        self._answers.clear()
        self._plans.clear()
        self._slots.clear()
        self._static.clear()
        self._entries = self._entries_by_zone()
        self._orders.update(self._registry_view.active_entries())
        self._drop_unknown()
        self._follow_demand()

    def _make_plan(self, callers: Callers) -> ListPlan:
        entries, shares = self._find_shares(callers)
        used = [zone for zone in shares if entries.get(zone)]
        orders = self._orders.for_callers(callers.zone, used)
        return ListPlan(callers.zone, shares, entries, orders)

    def _find_shares(
        self, callers: Callers
    ) -> tuple[dict[str, tuple[str, ...]], dict[str, float]]:
        """Returns the instances that callers may use, and the zones' shares."""
        homes = restrict_homes(
            self._registry_view.homes_of(callers.host), callers.homes
        )
        entries = self._allowed_entries(callers, homes)
        shares = self._current_shares(
            callers, homes, self._zone_capacities(callers.host, entries)
        )
        return entries, shares

    def _follow_demand(self) -> None:
        """Moves the shares of all hosts that callers look up with demand."""
        if self.steering is None:
            return
        hosts = {callers.host for callers in self._shares}
        self.steering.retain(hosts)
        for host in sorted(hosts):
            self._follow_host(self.steering, host)

    def _follow_host(self, steering: DemandSteering, host: str) -> None:
        given = {
            zone: self._find_shares(Callers(host, zone, ANYWHERE))[1]
            for zone in self._zones
        }
        table = self._registry_view.table
        steering.update(
            host,
            table.services_of(host) if table else frozenset(),
            given,
            self._zone_capacities(host, self._entries),
            self._shift_most,
        )

    def _allowed_entries(
        self, callers: Callers, homes: HostHomes | None
    ) -> dict[str, tuple[str, ...]]:
        """Returns the instances by zone that the callers of a zone may use.

        A look-up does not tell the path, so these instances must suit all
        routes of the host: those in the regions that are homes of all its
        restricted routes, and those in the callers' own region. Only if there
        are none, the homes of any route follow, and the other regions last.
        """
        entries = self._entries
        if homes is None:
            self._regions.pop(callers, None)
            return entries
        zone = callers.zone
        own = frozenset((self._zones[zone],) if zone in self._zones else ())
        for regions in (homes.of_all | own, homes.of_any):
            allowed = {
                name: addresses
                for name, addresses in entries.items()
                if self._zones.get(name) in regions
            }
            if allowed:
                self._log_homes(callers, homes, regions)
                return allowed
        self._log_homes(callers, homes, frozenset())
        return entries

    def _log_homes(
        self,
        callers: Callers,
        homes: HostHomes,
        regions: frozenset[str],
    ) -> None:
        """Logs the regions that callers are restricted to, if they change."""
        is_logged = self._regions.get(callers) == regions
        if is_logged or not self._is_known(callers):
            return
        self._regions[callers] = regions
        _logger.info(
            'look-up restricted',
            extra={
                'host': callers.host,
                'callers_zone': callers.zone,
                'homes_of_all': sorted(homes.of_all),
                'homes_of_any': sorted(homes.of_any),
                'regions': sorted(regions),
                'version': self._registry_view.number,
            },
        )

    def _current_shares(
        self,
        callers: Callers,
        homes: HostHomes | None,
        capacities: list[ZoneCapacity],
    ) -> dict[str, float]:
        host, zone, _ = callers
        static = self._static_shares(host, capacities).get(zone, {})
        if not self._is_known(callers):
            return static
        steered = self._steered(host, zone, capacities)
        number = self._registry_view.number
        shares = self._shares.get(callers)
        if shares is None:
            shares = CallerShares(number, static, homes, self._clock)
            self._shares[callers] = shares
        shares.update(
            number,
            steered or static,
            capacities,
            self._shift_most,
            homes=homes,
            has_limits=self._slots_of(host).has_limits,
            is_steered=steered is not None,
        )
        shares.log_change(host, zone)
        return shares.shares

    def _steered(
        self, host: str, zone: str, capacities: list[ZoneCapacity]
    ) -> dict[str, float] | None:
        """Returns the shares by demand among the zones that may be used."""
        target = self.steering.target(host, zone) if self.steering else None
        usable = {
            each.zone for each in capacities if each.entries and each.slots > 0
        }
        held = {
            name: share
            for name, share in (target or {}).items()
            if name in usable
        }
        total = sum(held.values())
        return {name: share / total for name, share in held.items()} or None

    def _is_known(self, callers: Callers) -> bool:
        return self._is_routed(callers.host) and callers.zone in self._zones

    def _is_routed(self, host: str) -> bool:
        table = self._registry_view.table
        return table is not None and table.has_host(host)

    def _drop_unknown(self) -> None:
        """Drops the shares of hosts and homes that nothing names any more."""
        homes = known_homes(self._registry_view.table)
        for callers in list(self._shares):
            if callers.homes not in homes or not self._is_known(callers):
                self._shares.pop(callers)
                self._regions.pop(callers, None)

    def _static_shares(
        self, host: str, capacities: list[ZoneCapacity]
    ) -> ZoneShares:
        """Returns the shares that do not depend on demand."""
        zones = frozenset(each.zone for each in capacities if each.entries)
        shares = self._static.get((host, zones))
        if shares is None:
            shares = compute_zone_shares(capacities)
            self._static[host, zones] = shares
        return shares

    def _zone_capacities(
        self,
        host: str,
        entries: Mapping[str, tuple[str, ...]],
    ) -> list[ZoneCapacity]:
        slots = self._slots_of(host).by_zone
        return [
            ZoneCapacity(
                name, region, slots.get(name, 0), entries.get(name, ())
            )
            for name, region in self._zones.items()
        ]

    def _slots_of(self, host: str) -> HostSlots:
        found = self._slots.get(host)
        if found is None:
            found = count_slots(
                self._serving(host), self._times, self._clock.elapsed()
            )
            if self._is_routed(host):
                self._slots[host] = found
        return found

    def _serving(self, host: str) -> list[UpstreamState]:
        table = self._registry_view.table
        services = table.services_of(host) if table else frozenset()
        return [
            state
            for service in services
            for state in self._upstream_table.serving(service)
        ]

    def _entries_by_zone(self) -> dict[str, tuple[str, ...]]:
        found: defaultdict[str, list[str]] = defaultdict(list)
        for entry in self._registry_view.active_entries():
            found[entry.zone].append(entry.caller_address)
        return {zone: tuple(sorted(each)) for zone, each in found.items()}


class LookupApi:
    """Serves look-ups in the format of the deployment.

    Args:
        lookup_format: the format of requests and answers.
        directory: computes the answers.
        answer_life: how long callers may cache an answer.
        counters: counts look-ups.
    """

    def __init__(
        self,
        lookup_format: LookupFormat,
        directory: LookupDirectory,
        answer_life: timedelta,
        counters: Counters,
    ) -> None:
        """Initializes the API."""
        self._format = lookup_format
        self._directory = directory
        self._answer_life = answer_life
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the path of look-ups."""
        return f'<LookupApi at {self._format.path}>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the look-up port."""
        return [web.get(self._format.path, self._find)]

    async def _find(self, request: web.Request) -> web.Response:
        self._counters.count('lookup')
        host = request.query.get(self._format.host_field, '')
        zone = request.query.get(self._format.zone_field, '')
        listed = self._directory.find(
            host,
            zone,
            request.remote or '',
            request.headers.getall(AUTHORIZATION, ()),
        )
        return web.Response(
            body=self._format.encode(listed, self._answer_life),
            content_type='application/json',
        )
