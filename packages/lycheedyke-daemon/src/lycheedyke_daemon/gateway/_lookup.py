"""Answers callers' look-ups of the entry instances to use."""

import logging
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping
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
    list_entries,
    ramp_shares,
)
from lycheedyke_daemon.gateway._registry_view import RegistryView

REFRESH_INTERVAL = timedelta(milliseconds=250)
# Changes of callers between regions are bounded per window of this length.
SHIFT_WINDOW = timedelta(seconds=2)
# The other half is a margin: which callers look up in a window is random.
SHIFT_FRACTION = 0.5
# Smaller changes of a share are not logged.
MIN_LOGGED_CHANGE = 0.05

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


class _CallerShares:
    """The shares of the zones in the callers of one host and zone.

    Changes of upstreams and instances take effect at once, those of the
    configuration, of homes and of limits step by step.

    Attributes:
        shares: the current share of each zone.
    """

    def __init__(
        self,
        number: int,
        shares: Mapping[str, float],
        homes: HostHomes | None,
        clock: Clock,
    ) -> None:
        """Starts with the shares of the configuration with this number."""
        self.shares = dict(shares)
        self._clock = clock
        self._updated_at = clock.elapsed()
        self._logged = self.shares
        self._number = number
        self._homes = homes
        self._is_ramping = False

    def __repr__(self) -> str:
        """Returns the shares."""
        return f'<_CallerShares {self.shares}>'

    def update(
        self,
        number: int,
        target: Mapping[str, float],
        capacities: Collection[ZoneCapacity],
        max_change: float,
        *,
        homes: HostHomes | None,
        has_limits: bool,
    ) -> None:
        """Moves the shares to the target, at once or by one step.

        Args:
            number: the number of the configuration that the target is from.
            target: the shares to reach.
            capacities: the capacity of each zone.
            max_change: the maximum fraction of the callers that may change
                their region in a window.
            homes: the homes of the host's routes.
            has_limits: whether limits of upstreams change their capacity.
        """
        now = self._clock.elapsed()
        windows = min((now - self._updated_at) / SHIFT_WINDOW, 1)
        self._updated_at = now
        is_changed = number != self._number or homes != self._homes
        if is_changed or has_limits:
            self._number = number
            self._homes = homes
            self._is_ramping = True
        if self._is_ramping:
            step = max_change * SHIFT_FRACTION * windows
            self.shares = ramp_shares(self.shares, target, capacities, step)
            self._is_ramping = self.shares != target
        else:
            self.shares = dict(target)

    def log_change(self, host: str, zone: str) -> None:
        """Logs the shares if they differ enough from those last logged."""
        logged = self._logged
        names = set(self.shares) | set(logged)
        if all(
            abs(self.shares.get(name, 0) - logged.get(name, 0))
            < MIN_LOGGED_CHANGE
            for name in names
        ):
            return
        self._logged = self.shares
        shares = {name: round(part, 2) for name, part in self.shares.items()}
        _logger.info(
            'share moved',
            extra={
                'host': host,
                'callers_zone': zone,
                'shares': shares,
                'version': self._number,
                'is_ramping': self._is_ramping,
            },
        )


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
        self._own = own
        self._registry_view = registry_view
        self._upstream_table = upstream_table
        self._times = times
        self._zones = zones
        self._shift_most = shift_most
        self._clock = clock
        self._refreshed = timedelta()
        self._shares: dict[tuple[str, str], _CallerShares] = {}
        self._answers: dict[tuple[str, str], list[str]] = {}
        self._regions: dict[tuple[str, str], frozenset[str]] = {}

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<LookupDirectory of {self._own.name}>'

    def find(self, host: str, zone: str) -> list[str]:
        """Returns the addresses for the callers of a zone.

        Args:
            host: the host of the callers' requests.
            zone: the zone of the callers.
        """
        now = self._clock.elapsed()
        if now >= self._refreshed + REFRESH_INTERVAL:
            self._refreshed = now
            self._answers.clear()
            self._drop_unknown()
        listed = self._answers.get((host, zone))
        if listed is None:
            listed = self._compute(host, zone)
            self._answers[host, zone] = listed
        return listed

    def _compute(self, host: str, zone: str) -> list[str]:
        homes = self._registry_view.homes_of(host)
        entries = self._allowed_entries(host, zone, homes)
        shares = self._current_shares(
            host, zone, homes, self._zone_capacities(host, entries)
        )
        listed = list_entries(zone, shares, entries)
        return listed or [self._own.caller_address]

    def _allowed_entries(
        self, host: str, zone: str, homes: HostHomes | None
    ) -> dict[str, tuple[str, ...]]:
        """Returns the instances by zone that the callers of a zone may use.

        A look-up does not tell the path, so these instances must suit all
        routes of the host: those in the regions that are homes of all its
        restricted routes, and those in the callers' own region. Only if there
        are none, the homes of any route follow, and the other regions last.
        """
        entries = self._entries_by_zone()
        if homes is None:
            self._regions.pop((host, zone), None)
            return entries
        own = frozenset((self._zones[zone],) if zone in self._zones else ())
        for regions in (homes.of_all | own, homes.of_any):
            allowed = {
                name: addresses
                for name, addresses in entries.items()
                if self._zones.get(name) in regions
            }
            if allowed:
                self._log_homes(host, zone, homes, regions)
                return allowed
        self._log_homes(host, zone, homes, frozenset())
        return entries

    def _log_homes(
        self,
        host: str,
        zone: str,
        homes: HostHomes,
        regions: frozenset[str],
    ) -> None:
        """Logs the regions that callers are restricted to, if they change."""
        is_logged = self._regions.get((host, zone)) == regions
        if is_logged or not self._is_known(host, zone):
            return
        self._regions[host, zone] = regions
        _logger.info(
            'look-up restricted',
            extra={
                'host': host,
                'callers_zone': zone,
                'homes_of_all': sorted(homes.of_all),
                'homes_of_any': sorted(homes.of_any),
                'regions': sorted(regions),
                'version': self._registry_view.number,
            },
        )

    def _current_shares(
        self,
        host: str,
        zone: str,
        homes: HostHomes | None,
        capacities: list[ZoneCapacity],
    ) -> dict[str, float]:
        target = compute_zone_shares(capacities).get(zone, {})
        if not self._is_known(host, zone):
            return target
        number = self._registry_view.number
        shares = self._shares.get((host, zone))
        if shares is None:
            shares = _CallerShares(number, target, homes, self._clock)
            self._shares[host, zone] = shares
        shares.update(
            number,
            target,
            capacities,
            self._shift_most,
            homes=homes,
            has_limits=self._has_limits(host),
        )
        shares.log_change(host, zone)
        return shares.shares

    def _is_known(self, host: str, zone: str) -> bool:
        table = self._registry_view.table
        is_routed = table is not None and table.has_host(host)
        return is_routed and zone in self._zones

    def _drop_unknown(self) -> None:
        """Drops the shares of hosts that no route names any more."""
        for host, zone in list(self._shares):
            if not self._is_known(host, zone):
                self._shares.pop((host, zone))
                self._regions.pop((host, zone), None)

    def _zone_capacities(
        self,
        host: str,
        entries: Mapping[str, tuple[str, ...]],
    ) -> list[ZoneCapacity]:
        now = self._clock.elapsed()
        slots: defaultdict[str, float] = defaultdict(float)
        for state in self._serving(host):
            mean = self._times.of_service(state.record.service)
            share = state.capacity_share(mean, now)
            slots[state.record.zone] += state.record.slots * share
        return [
            ZoneCapacity(name, region, slots[name], entries.get(name, ()))
            for name, region in self._zones.items()
        ]

    def _has_limits(self, host: str) -> bool:
        """Returns whether limits change the capacity for a host's callers."""
        now = self._clock.elapsed()
        return not all(
            state.wishes.limit.is_settled(now) for state in self._serving(host)
        )

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
        listed = self._directory.find(host, zone)
        return web.Response(
            body=self._format.encode(listed, self._answer_life),
            content_type='application/json',
        )
