"""Tells callers which entry instances to use."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.protocol import EntryRecord
from lycheedyke.state import (
    Counters,
    Fleet,
    ZoneSupply,
    list_entries,
    share_supply,
)
from lycheedyke_daemon.gateway._beliefs import Beliefs

REFRESH_INTERVAL = timedelta(milliseconds=250)


class LookupForm(NamedTuple):
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


class Directory:
    """Makes look-up answers, ahead of the look-ups.

    Args:
        own: this instance.
        beliefs: the entry instances and routes.
        fleet: the upstreams.
        zones: the region of each zone.
        clock: the time.
    """

    def __init__(
        self,
        own: EntryRecord,
        beliefs: Beliefs,
        fleet: Fleet,
        zones: Mapping[str, str],
        clock: Clock,
    ) -> None:
        """Makes a directory without answers."""
        self._own = own
        self._beliefs = beliefs
        self._fleet = fleet
        self._zones = zones
        self._clock = clock
        self._made = timedelta()
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
        shares = share_supply(self._supplies(host, entries)).get(zone, {})
        listed = list_entries(zone, shares, entries)
        return listed or [self._own.caller_address]

    def _homes(self, host: str) -> frozenset[str]:
        table = self._beliefs.table
        return table.homes_of(host) if table else frozenset()

    def _supplies(
        self,
        host: str,
        entries: Mapping[str, tuple[str, ...]],
    ) -> list[ZoneSupply]:
        table = self._beliefs.table
        services = table.services_of(host) if table else frozenset()
        slots: defaultdict[str, float] = defaultdict(float)
        for service in services:
            for state in self._fleet.serving(service):
                slots[state.record.zone] += state.record.slots
        return [
            ZoneSupply(name, region, slots[name], entries.get(name, ()))
            for name, region in self._zones.items()
        ]

    def _entries_by_zone(self) -> dict[str, tuple[str, ...]]:
        found: defaultdict[str, list[str]] = defaultdict(list)
        for entry in self._beliefs.present():
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
        form: LookupForm,
        directory: Directory,
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
