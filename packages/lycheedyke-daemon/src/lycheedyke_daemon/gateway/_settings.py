"""Settings of an entry instance that replicates a registry."""

import os
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

from lycheedyke.exceptions import SettingsInvalid
from lycheedyke.state.rates import QuotaBounds
from lycheedyke_daemon.ini import (
    ADDRESS_RULE,
    BOUND_RULE,
    COUNT_RULE,
    DURATION_RULE,
    FRACTION_RULE,
    LABEL_RULE,
    NUMBER_RULE,
    SWITCH_RULE,
    WINDOW_RULE,
    Field,
    find_unknown_keys,
    parse_ini,
    read_address,
    read_addresses,
    read_bound,
    read_count,
    read_duration,
    read_fields,
    read_fraction,
    read_label,
    read_level,
    read_number,
    read_optional_count,
    read_switch,
    read_window,
)

ZONES_SECTION = 'zones'
MEGABYTE = 1_000_000
# One part of so many is for the bodies of all requests, another for those of
# all answers. A body that is written out exists twice, and the process itself
# takes a third of the smallest machines.
BODIES_SHARE = 16
MAX_BODIES_BYTES = 67_108_864


class GatewaySettings(NamedTuple):
    """The effective settings.

    Attributes:
        name: the instance's name.
        region: its region.
        zone: its availability zone.
        caller_address: where callers send requests.
        ready_address: where the platform checks whether it is ready.
        lookup_address: where callers look up the instances to use.
        peer_address: where other entry instances send requests.
        metrics_address: where metrics are scraped.
        seeds: peer addresses of some instances, which may be down.
        registry_address: the address of the registry.
        registry_timeout: the timeout of one call to the registry.
        reappearance: how long after an outage of the registry the record
            of a running upstream may be missing.
        stop_grace: the maximum duration of a planned stop.
        answer_life: how long callers may cache a look-up answer.
        repeat_ratio: the repeats allowed per request of a window.
        repeat_window: the length of the window of repeat_ratio.
        repeat_extra: the repeats allowed in addition to repeat_ratio, for
            all instances together.
        quota_window: the length of the windows in which quotas are checked.
        quota_over: the fraction of its quota that a tenant may exceed in a
            window.
        quota_slack: the requests that it may exceed in addition.
        shift_most: the maximum fraction of a region's callers that may
            change the region in 2 s after a change of configuration.
        by_demand: whether the demand of zones determines where their callers
            are sent.
        allocates_slots: whether slots are allocated between callers that
            compete, where the configuration has tenants.
        max_homes: the maximum number of upstreams of a pool that are homes of
            one object; 1 gives each object one home, 0 none.
        zone_trip: the round trip to another zone of the region.
        region_trip: the round trip to another region.
        zone_charge: the cost of traffic between zones, as time.
        region_charge: the cost of traffic between regions, as time.
        memory_mb: the memory of the process, in millions of bytes.
        cores: the speed of its processor, in cores; 0 if not known.
        cpu_share: the share of the processor that it gets.
        link_mbps: the bandwidth of its link, in Mbit/s; 0 if not known.
        body_memory_bytes: the memory limit of all request bodies together.
        answer_memory_bytes: the memory limit of all answers of upstreams
            together.
        upstream_body_bytes: the bytes of request bodies that the instance may
            have in flight to one upstream; 0 for no bound.
        log_level: the minimum level that is logged.
        log_sampled_of: one of this many successful requests is logged.
        log_lines_per_s: the maximum number of log lines on requests per
            second.
        zones: the region of each zone.
    """

    name: str
    region: str
    zone: str
    caller_address: str
    ready_address: str
    lookup_address: str
    peer_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    registry_address: str
    registry_timeout: timedelta
    reappearance: timedelta
    stop_grace: timedelta
    answer_life: timedelta
    repeat_ratio: float
    repeat_window: timedelta
    repeat_extra: int
    quota_window: timedelta
    quota_over: float
    quota_slack: int
    shift_most: float
    by_demand: bool
    allocates_slots: bool
    max_homes: int
    zone_trip: timedelta
    region_trip: timedelta
    zone_charge: timedelta
    region_charge: timedelta
    memory_mb: int
    cores: float
    cpu_share: float
    link_mbps: float
    body_memory_bytes: int
    answer_memory_bytes: int
    upstream_body_bytes: int
    log_level: str
    log_sampled_of: int
    log_lines_per_s: int
    zones: Mapping[str, str]

    @property
    def quota_bounds(self) -> QuotaBounds:
        """How much a tenant may exceed its quota."""
        return QuotaBounds(self.quota_window, self.quota_over, self.quota_slack)


_FIELDS = MappingProxyType(
    {
        'name': Field('instance', 'name', read_label, LABEL_RULE),
        'region': Field('instance', 'region', read_label, LABEL_RULE),
        'zone': Field('instance', 'zone', read_label, LABEL_RULE),
        'caller_address': Field('listen', 'caller', read_address, ADDRESS_RULE),
        'ready_address': Field('listen', 'ready', read_address, ADDRESS_RULE),
        'lookup_address': Field('listen', 'lookup', read_address, ADDRESS_RULE),
        'peer_address': Field('listen', 'peer', read_address, ADDRESS_RULE),
        'metrics_address': Field(
            'listen', 'metrics', read_address, ADDRESS_RULE
        ),
        'seeds': Field(
            'peers',
            'seeds',
            read_addresses,
            'peer addresses of other instances, separated by commas',
            '',
        ),
        'registry_address': Field(
            'registry', 'address', read_address, ADDRESS_RULE
        ),
        'registry_timeout': Field(
            'registry', 'timeout', read_duration, DURATION_RULE, '700ms'
        ),
        'reappearance': Field(
            'registry', 'reappearance', read_duration, DURATION_RULE, '2s'
        ),
        'stop_grace': Field(
            'limits', 'stop_grace', read_duration, DURATION_RULE, '6s'
        ),
        'answer_life': Field(
            'limits', 'answer_life', read_duration, DURATION_RULE, '2s'
        ),
        'repeat_ratio': Field(
            'repeats', 'ratio', read_number, NUMBER_RULE, '0.2'
        ),
        'repeat_window': Field(
            'repeats', 'window', read_window, WINDOW_RULE, '10s'
        ),
        'repeat_extra': Field('repeats', 'extra', read_bound, BOUND_RULE, '0'),
        'quota_window': Field(
            'quotas', 'window', read_window, WINDOW_RULE, '5s'
        ),
        'quota_over': Field(
            'quotas', 'over', read_fraction, FRACTION_RULE, '0.1'
        ),
        'quota_slack': Field('quotas', 'slack', read_bound, BOUND_RULE, '20'),
        'shift_most': Field(
            'shifts', 'most', read_fraction, FRACTION_RULE, '0.15'
        ),
        'by_demand': Field(
            'shifts', 'by_demand', read_switch, SWITCH_RULE, 'no'
        ),
        'allocates_slots': Field(
            'placement', 'allocate_slots', read_switch, SWITCH_RULE, 'yes'
        ),
        'max_homes': Field(
            'placement', 'max_homes', read_bound, BOUND_RULE, '1'
        ),
        'zone_trip': Field(
            'distances', 'zone_trip', read_duration, DURATION_RULE, '1ms'
        ),
        'region_trip': Field(
            'distances', 'region_trip', read_duration, DURATION_RULE, '70ms'
        ),
        'zone_charge': Field(
            'distances', 'zone_charge', read_duration, DURATION_RULE, '60ms'
        ),
        'region_charge': Field(
            'distances', 'region_charge', read_duration, DURATION_RULE, '40ms'
        ),
        'memory_mb': Field(
            'limits', 'memory_mb', read_optional_count, COUNT_RULE, ''
        ),
        'cores': Field('limits', 'cores', read_number, NUMBER_RULE, '0'),
        'cpu_share': Field(
            'limits', 'cpu_share', read_fraction, FRACTION_RULE, '1'
        ),
        'link_mbps': Field(
            'limits', 'link_mbps', read_number, NUMBER_RULE, '0'
        ),
        'body_memory_bytes': Field(
            'limits', 'body_memory_bytes', read_optional_count, COUNT_RULE, ''
        ),
        'answer_memory_bytes': Field(
            'limits', 'answer_memory_bytes', read_optional_count, COUNT_RULE, ''
        ),
        'upstream_body_bytes': Field(
            'limits', 'upstream_body_bytes', read_optional_count, COUNT_RULE, ''
        ),
        'log_sampled_of': Field(
            'logs', 'sampled_of', read_count, COUNT_RULE, '32'
        ),
        'log_lines_per_s': Field(
            'logs', 'lines_per_s', read_count, COUNT_RULE, '20'
        ),
        'log_level': Field(
            'logs',
            'level',
            read_level,
            'debug, info, warning or error',
            'info',
        ),
    }
)


def read_gateway_settings(path: Path) -> GatewaySettings:
    """Reads and checks a settings file.

    Raises:
        SettingsInvalid: the file has faults; each is a line that names the
            file, the section, the key, the value and what is allowed.
    """
    parser = parse_ini(path)
    faults = list(find_unknown_keys(path, parser, _FIELDS, (ZONES_SECTION,)))
    found = read_fields(path, parser, _FIELDS, faults)
    zones = (
        dict(parser.items(ZONES_SECTION))
        if parser.has_section(ZONES_SECTION)
        else {}
    )
    zone = found.get('zone', '')
    if zones.get(zone) != found.get('region'):
        faults.append(
            f'{path}: [{ZONES_SECTION}] {zone} = {zones.get(zone)!r}: '
            f'allowed is the region of the instance',
        )
    if faults:
        raise SettingsInvalid(faults)
    settings = GatewaySettings(**found, zones=MappingProxyType(zones))
    return _derive_memory(settings)


def _derive_memory(settings: GatewaySettings) -> GatewaySettings:
    """Returns the settings with memory limits that follow from the memory."""
    memory_mb = settings.memory_mb or _machine_memory() // MEGABYTE
    share = min(memory_mb * MEGABYTE // BODIES_SHARE, MAX_BODIES_BYTES)
    return settings._replace(
        memory_mb=memory_mb,
        body_memory_bytes=settings.body_memory_bytes or share,
        answer_memory_bytes=settings.answer_memory_bytes or share,
    )


def _machine_memory() -> int:
    return os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
