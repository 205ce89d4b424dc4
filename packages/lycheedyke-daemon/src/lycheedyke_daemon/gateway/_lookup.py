"""Tells callers which entry instances to use."""

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
    UpstreamTable,
    ZoneCapacity,
    compute_zone_shares,
    list_entries,
    ramp_shares,
)
from lycheedyke_daemon.gateway._registry_view import RegistryView

REFRESH_INTERVAL = timedelta(milliseconds=250)
# The users count the callers that change their region by windows of that.
SHIFT_WINDOW = timedelta(seconds=2)
# Leaves the other half to the chance of which callers ask in a window.
SHIFT_PART = 0.5
# A smaller change of a share gets no line in the log.
TOLD_CHANGE = 0.05

_logger = logging.getLogger(__name__)


class LookupFormat(NamedTuple):
    """How the callers of a deployment ask which instances to use.

    Attributes:
        path: where they ask.
        host_field: the query field with the host that they will ask for.
        zone_field: the query field with their zone.
        encode: makes an answer of addresses and how long it may be kept.
    """

    path: str
    host_field: str
    zone_field: str
    encode: Callable[[list[str], timedelta], bytes]


class _Steering:
    """The shares of the callers of one host and zone.

    They follow upstreams and instances at once, and a new configuration
    step by step.

    Attributes:
        shares: the present share of each zone.
    """

    def __init__(
        self,
        number: int,
        shares: Mapping[str, float],
        clock: Clock,
    ) -> None:
        """Takes in the first shares, of a numbered configuration."""
        self.shares = dict(shares)
        self._clock = clock
        self._at = clock.elapsed()
        self._told = self.shares
        self._number = number
        self._is_ramping = False

    def __repr__(self) -> str:
        """Returns the shares."""
        return f'<_Steering {self.shares}>'

    def follow(
        self,
        number: int,
        wanted: Mapping[str, float],
        supplies: Collection[ZoneCapacity],
        most: float,
    ) -> None:
        """Moves the shares to the wanted ones, or some way.

        Args:
            number: of the configuration that asks for them.
            wanted: the shares to get to.
            supplies: what each zone can carry.
            most: the part of the callers that may change their region in a
                window.
        """
        now = self._clock.elapsed()
        windows = min((now - self._at) / SHIFT_WINDOW, 1)
        self._at = now
        if number != self._number:
            self._number = number
            self._is_ramping = True
        if self._is_ramping:
            step = most * SHIFT_PART * windows
            self.shares = ramp_shares(self.shares, wanted, supplies, step)
            self._is_ramping = self.shares != wanted
        else:
            self.shares = dict(wanted)

    def tell(self, host: str, zone: str) -> None:
        """Writes a line if the shares have moved much since the last."""
        told = self._told
        names = set(self.shares) | set(told)
        if all(
            abs(self.shares.get(name, 0) - told.get(name, 0)) < TOLD_CHANGE
            for name in names
        ):
            return
        self._told = self.shares
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
    """Makes look-up answers, ahead of the look-ups.

    Args:
        own: this instance.
        beliefs: the entry instances and routes.
        fleet: the upstreams.
        zones: the region of each zone.
        shift_most: the part of a region's callers that may change their
            region in a window.
        clock: the time.
    """

    def __init__(
        self,
        own: EntryRecord,
        beliefs: RegistryView,
        fleet: UpstreamTable,
        zones: Mapping[str, str],
        shift_most: float,
        clock: Clock,
    ) -> None:
        """Makes a directory without answers."""
        self._own = own
        self._beliefs = beliefs
        self._fleet = fleet
        self._zones = zones
        self._shift_most = shift_most
        self._clock = clock
        self._made = timedelta()
        self._steering: dict[tuple[str, str], _Steering] = {}
        self._lists: dict[tuple[str, str], list[str]] = {}

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<Directory of {self._own.name}>'

    def find(self, host: str, zone: str) -> list[str]:
        """Returns the addresses for the callers of a zone.

        Args:
            host: the host that they will ask for.
            zone: the zone of the callers.
        """
        now = self._clock.elapsed()
        if now >= self._made + REFRESH_INTERVAL:
            self._made = now
            self._lists.clear()
            self._drop_unknown()
        listed = self._lists.get((host, zone))
        if listed is None:
            listed = self._make(host, zone)
            self._lists[host, zone] = listed
        return listed

    def _make(self, host: str, zone: str) -> list[str]:
        entries = self._entries_by_zone()
        homes = self._homes(host)
        allowed = {
            name: addresses
            for name, addresses in entries.items()
            if not homes
            or self._zones.get(name, '') in homes | {self._zones.get(zone, '')}
        }
        entries = allowed or entries
        shares = self._steer(host, zone, self._supplies(host, entries))
        listed = list_entries(zone, shares, entries)
        return listed or [self._own.caller_address]

    def _steer(
        self,
        host: str,
        zone: str,
        supplies: list[ZoneCapacity],
    ) -> dict[str, float]:
        wanted = compute_zone_shares(supplies).get(zone, {})
        if not self._is_known(host, zone):
            return wanted
        number = self._beliefs.number
        steering = self._steering.get((host, zone))
        if steering is None:
            steering = _Steering(number, wanted, self._clock)
            self._steering[host, zone] = steering
        steering.follow(number, wanted, supplies, self._shift_most)
        steering.tell(host, zone)
        return steering.shares

    def _is_known(self, host: str, zone: str) -> bool:
        table = self._beliefs.table
        is_routed = table is not None and table.has_host(host)
        return is_routed and zone in self._zones

    def _drop_unknown(self) -> None:
        """Forgets hosts that no route has any more."""
        for host, zone in list(self._steering):
            if not self._is_known(host, zone):
                self._steering.pop((host, zone))

    def _homes(self, host: str) -> frozenset[str]:
        table = self._beliefs.table
        return table.homes_of(host) if table else frozenset()

    def _supplies(
        self,
        host: str,
        entries: Mapping[str, tuple[str, ...]],
    ) -> list[ZoneCapacity]:
        table = self._beliefs.table
        services = table.services_of(host) if table else frozenset()
        slots: defaultdict[str, float] = defaultdict(float)
        for service in services:
            for state in self._fleet.serving(service):
                slots[state.record.zone] += state.record.slots
        return [
            ZoneCapacity(name, region, slots[name], entries.get(name, ()))
            for name, region in self._zones.items()
        ]

    def _entries_by_zone(self) -> dict[str, tuple[str, ...]]:
        found: defaultdict[str, list[str]] = defaultdict(list)
        for entry in self._beliefs.active_entries():
            found[entry.zone].append(entry.caller_address)
        return {zone: tuple(sorted(each)) for zone, each in found.items()}


class LookupApi:
    """Serves look-ups in the form that a deployment's callers speak.

    Args:
        form: how they ask.
        directory: finds the instances.
        answer_life: how long an answer may be kept.
        counters: counts look-ups.
    """

    def __init__(
        self,
        form: LookupFormat,
        directory: LookupDirectory,
        answer_life: timedelta,
        counters: Counters,
    ) -> None:
        """Makes an API over a directory."""
        self._form = form
        self._directory = directory
        self._answer_life = answer_life
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the path."""
        return f'<LookupApi at {self._form.path}>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the look-up port."""
        return [web.get(self._form.path, self._find)]

    async def _find(self, request: web.Request) -> web.Response:
        self._counters.count('lookup')
        host = request.query.get(self._form.host_field, '')
        zone = request.query.get(self._form.zone_field, '')
        listed = self._directory.find(host, zone)
        return web.Response(
            body=self._form.encode(listed, self._answer_life),
            content_type='application/json',
        )
